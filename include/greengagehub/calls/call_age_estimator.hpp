#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace greengagehub {

/// \brief Estimates from a call's remaining time how long ago its caller made
/// the first attempt.
///
/// A retry is as late as the first attempt was, and its answer is worth less.
/// Callers use different timeouts, so a short remaining time alone does not
/// show a retry; taken as one, it put one new call in three behind the others.
/// Retries come on new connections: requests on a reused
/// connection are taken as samples of first attempts, and a request on a new
/// connection counts as a retry if it has less time than every sample.
class CallAgeEstimator
{
public:
  /// \param aTimeLeft remaining time that the caller stated.
  /// \returns Zero if the call counts as a first attempt.
  [[nodiscard]] std::chrono::milliseconds Estimate(
    std::chrono::milliseconds aTimeLeft,
    bool aIsFirstOnConnection) const;

  /// \brief Adds a sample, unless the connection is new.
  void Record(std::chrono::milliseconds aTimeLeft, bool aIsFirstOnConnection);

private:
  /// Outliers leave the window after as many samples. With evenly distributed
  /// timeouts the least of 32 is within a thirtieth of their range.
  static constexpr std::size_t kMaxSamples = 32;
  /// With fewer samples no call counts as a retry.
  static constexpr std::size_t kMinSamples = 8;

  std::array<std::chrono::milliseconds, kMaxSamples> m_samples{};
  std::size_t m_sampleCount{ 0 };
};

}
