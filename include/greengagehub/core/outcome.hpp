#pragma once

#include "greengagehub/core/error.hpp"

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/std_result.hpp>

namespace greengagehub {

/// \brief A value or an Error.
///
/// \code
/// Outcome<Patch> patch = ParsePatch(text);
/// if (!patch) { return patch.error(); }
/// \endcode
template<class T>
using Outcome = boost::outcome_v2::
  std_result<T, Error, boost::outcome_v2::policy::all_narrow>;

}
