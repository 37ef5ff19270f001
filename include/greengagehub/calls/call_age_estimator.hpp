#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace greengagehub {

/// \brief Estimates from a call's remaining time how long ago its caller made
/// the first attempt.
///
/// Callers use different timeouts, so a short remaining time alone does not
/// show a retry. Retries come on new connections: requests on a reused
/// connection are taken as samples of first attempts, and a request on a new
/// connection counts as a retry if it has less time than every sample.
class CallAgeEstimator
{
public:
  /// \param aAsked remaining time that the caller stated.
  /// \param aIsFirstOnConnection whether it is the first request there.
  /// \returns Time since the first attempt; zero if the call is taken as one.
  [[nodiscard]] std::chrono::milliseconds Of(std::chrono::milliseconds aAsked,
                                             bool aIsFirstOnConnection) const;

  /// \brief Adds a sample, unless the connection is new.
  void Record(std::chrono::milliseconds aAsked, bool aIsFirstOnConnection);

private:
  /// Size of the sample window; outliers leave it after as many samples.
  static constexpr std::size_t kMaxSamples = 32;
  /// With fewer samples nothing is taken as a retry.
  static constexpr std::size_t kMinSamples = 8;

  std::array<std::chrono::milliseconds, kMaxSamples> m_samples{};
  std::size_t m_sampleCount{ 0 };
};

}
