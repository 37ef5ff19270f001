#pragma once

#include "greengagehub/calls/call_kind.hpp"

#include <cstddef>
#include <map>

namespace greengagehub {

/// \brief Moving means of how large the answers of one worker are, by kind.
class AnswerSizes
{
public:
  void Note(CallKind aKind, std::size_t aBytes);
  /// \returns Bytes; 0 while nothing is known of the kind.
  [[nodiscard]] std::size_t Of(CallKind aKind) const;

private:
  /// Kinds beyond these are not told apart, and count as small.
  static constexpr std::size_t kMaxKinds = 64;
  /// Weight of one answer in the mean.
  static constexpr double kWeight = 0.05;

  std::map<CallKind, double> m_means;
};

}
