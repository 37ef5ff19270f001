#pragma once

#include "greengagehub/calls/call_kind.hpp"

#include <cstddef>
#include <map>

namespace greengagehub {

/// \brief Moving average of the size of one worker's answers, for each kind.
class AnswerSizes
{
public:
  void Record(CallKind aKind, std::size_t aBytes);
  /// \returns Average in bytes; 0 before the first answer of the kind.
  [[nodiscard]] std::size_t MeanSize(CallKind aKind) const;

private:
  /// Further kinds are not tracked; MeanSize() returns 0 for them.
  static constexpr std::size_t kMaxKinds = 64;
  static constexpr double kSampleWeight = 0.05;

  std::map<CallKind, double> m_means;
};

}
