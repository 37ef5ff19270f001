#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief Exact quantiles and a histogram of a sample of durations.
class Distribution
{
public:
  explicit Distribution(std::vector<std::chrono::nanoseconds> aSample);

  /// \param aProbability In [0, 1].
  /// \returns The quantile; 0 for an empty sample.
  [[nodiscard]] std::chrono::nanoseconds Quantile(double aProbability) const;
  [[nodiscard]] std::size_t Count() const noexcept { return m_sample.size(); }
  /// \returns Quantiles in microseconds and a histogram with logarithmic bins,
  /// from 10 us to 10 s; empty bins are left out.
  [[nodiscard]] nlohmann::json ToJson() const;

private:
  std::vector<std::chrono::nanoseconds> m_sample;
};

[[nodiscard]] double
ToMicroseconds(std::chrono::nanoseconds aSpan) noexcept;

}
