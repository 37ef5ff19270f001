#include "greengagehub/calls/answer_sizes.hpp"

namespace greengagehub {

void
AnswerSizes::Record(CallKind aKind, std::size_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  const auto found = m_means.find(aKind);
  if (found != m_means.end()) {
    found->second += kSampleWeight * (bytes - found->second);
  } else if (m_means.size() < kMaxKinds) {
    m_means.emplace(aKind, bytes);
  }
}

std::size_t
AnswerSizes::MeanSize(CallKind aKind) const
{
  const auto found = m_means.find(aKind);
  return found != m_means.end() ? static_cast<std::size_t>(found->second) : 0;
}

}
