#include "testkit/distribution.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace greengagehub::testkit {

namespace {
constexpr unsigned kBins = 60;
constexpr double kMinMicroseconds = 10.0;
constexpr double kMaxMicroseconds = 10'000'000.0;
}

double
ToMicroseconds(std::chrono::nanoseconds aSpan) noexcept
{
  return std::chrono::duration<double, std::micro>(aSpan).count();
}

Distribution::Distribution(std::vector<std::chrono::nanoseconds> aSample)
  : m_sample(std::move(aSample))
{
  std::sort(m_sample.begin(), m_sample.end());
}

std::chrono::nanoseconds
Distribution::Quantile(double aProbability) const
{
  if (m_sample.empty()) {
    return {};
  }
  const auto last = static_cast<double>(m_sample.size() - 1);
  return m_sample[static_cast<std::size_t>(std::lround(aProbability * last))];
}

nlohmann::json
Distribution::ToJson() const
{
  namespace bh = boost::histogram;
  auto histogram =
    bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      kBins, kMinMicroseconds, kMaxMicroseconds));
  for (const auto& each : m_sample) {
    histogram(ToMicroseconds(each));
  }
  nlohmann::json bins = nlohmann::json::array();
  for (const auto& bin : bh::indexed(histogram)) {
    if (*bin > 0) {
      bins.push_back({ { "from_us", bin.bin().lower() },
                       { "count", static_cast<std::uint64_t>(*bin) } });
    }
  }
  return { { "count", Count() },
           { "p50_us", ToMicroseconds(Quantile(0.5)) },
           { "p99_us", ToMicroseconds(Quantile(0.99)) },
           { "p999_us", ToMicroseconds(Quantile(0.999)) },
           { "max_us", ToMicroseconds(Quantile(1.0)) },
           { "histogram", std::move(bins) } };
}

}
