#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief Quantiles of a sample, exact, and its histogram.
class Distribution
{
public:
  explicit Distribution(std::vector<std::chrono::nanoseconds> aSample);

  /// \param aShare in [0, 1].
  [[nodiscard]] std::chrono::nanoseconds Quantile(double aShare) const;
  [[nodiscard]] std::size_t Count() const noexcept { return m_sample.size(); }
  /// \returns Quantiles in microseconds and a histogram with logarithmic bins.
  [[nodiscard]] nlohmann::json ToJson() const;

private:
  std::vector<std::chrono::nanoseconds> m_sample;
};

/// \returns Microseconds, for tables.
[[nodiscard]] double
Micros(std::chrono::nanoseconds aSpan) noexcept;

}
