#include "greengagehub/calls/call_age_estimator.hpp"

#include <algorithm>
#include <numeric>

namespace greengagehub {

std::chrono::milliseconds
CallAgeEstimator::Estimate(std::chrono::milliseconds aTimeLeft,
                           bool aIsFirstOnConnection) const
{
  using std::chrono::milliseconds;
  if (!aIsFirstOnConnection || m_sampleCount < kMinSamples) {
    return milliseconds::zero();
  }
  const auto count = std::min(m_sampleCount, kMaxSamples);
  const auto end = m_samples.begin() + static_cast<std::ptrdiff_t>(count);
  if (aTimeLeft >= *std::min_element(m_samples.begin(), end)) {
    return milliseconds::zero();
  }
  const milliseconds sum =
    std::accumulate(m_samples.begin(), end, milliseconds::zero());
  return sum / static_cast<std::chrono::milliseconds::rep>(count) - aTimeLeft;
}

void
CallAgeEstimator::Record(std::chrono::milliseconds aTimeLeft,
                         bool aIsFirstOnConnection)
{
  if (!aIsFirstOnConnection) {
    m_samples[m_sampleCount % kMaxSamples] = aTimeLeft;
    ++m_sampleCount;
  }
}

}
