#include "greengagehub/calls/call_age.hpp"

#include <algorithm>
#include <numeric>

namespace greengagehub {

std::chrono::milliseconds
CallAge::Of(std::chrono::milliseconds aAsked, bool aIsFirstOnConnection) const
{
  using std::chrono::milliseconds;
  if (!aIsFirstOnConnection || m_seen < kLeastSeen) {
    return milliseconds::zero();
  }
  const auto count = std::min(m_seen, kRemembered);
  const auto end = m_firstTries.begin() + static_cast<std::ptrdiff_t>(count);
  if (aAsked >= *std::min_element(m_firstTries.begin(), end)) {
    return milliseconds::zero();
  }
  const milliseconds sum =
    std::accumulate(m_firstTries.begin(), end, milliseconds::zero());
  return sum / static_cast<std::chrono::milliseconds::rep>(count) - aAsked;
}

void
CallAge::Note(std::chrono::milliseconds aAsked, bool aIsFirstOnConnection)
{
  if (!aIsFirstOnConnection) {
    m_firstTries[m_seen % kRemembered] = aAsked;
    ++m_seen;
  }
}

}
