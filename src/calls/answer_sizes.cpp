#include "greengagehub/calls/answer_sizes.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

void
AnswerSizes::Record(CallKind aKind, std::size_t aBytes)
{
  auto found = m_moments.find(aKind);
  if (found == m_moments.end()) {
    if (m_moments.size() >= kMaxKinds) {
      return;
    }
    found = m_moments.emplace(aKind, Moments{}).first;
  }
  Moments& moments = found->second;
  ++moments.m_samples;
  // The plain average until enough samples are known.
  const double weight = std::max(kSampleWeight, 1.0 / moments.m_samples);
  const double difference = static_cast<double>(aBytes) - moments.m_mean;
  moments.m_mean += weight * difference;
  moments.m_variance =
    (1.0 - weight) * (moments.m_variance + weight * difference * difference);
}

AnswerSize
AnswerSizes::SizeOf(CallKind aKind) const
{
  const auto found = m_moments.find(aKind);
  if (found == m_moments.end()) {
    return {};
  }
  return { found->second.m_mean, std::sqrt(found->second.m_variance) };
}

}
