#pragma once

#include "greengagehub/calls/call_kind.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace greengagehub {

/// \brief Expected size of an answer.
struct AnswerSize
{
  /// In bytes; 0: not known.
  double m_mean{ 0.0 };
  /// Standard deviation, in bytes.
  double m_deviation{ 0.0 };
};

/// \brief Moving average of the size of answers and of its spread, for each
/// kind.
class AnswerSizes
{
public:
  void Record(CallKind aKind, std::size_t aBytes);
  /// \returns Zeros before the first answer of the kind.
  [[nodiscard]] AnswerSize SizeOf(CallKind aKind) const;
  /// \returns Average in bytes; 0 before the first answer of the kind.
  [[nodiscard]] std::size_t MeanSize(CallKind aKind) const
  {
    return static_cast<std::size_t>(SizeOf(aKind).m_mean);
  }

private:
  /// Further kinds are not tracked; SizeOf() returns zeros for them.
  static constexpr std::size_t kMaxKinds = 64;
  static constexpr double kSampleWeight = 0.05;

  struct Moments
  {
    std::uint32_t m_samples{ 0 };
    double m_mean{ 0.0 };
    double m_variance{ 0.0 };
  };
  std::map<CallKind, Moments> m_moments;
};

}
