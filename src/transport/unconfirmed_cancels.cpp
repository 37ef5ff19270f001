#include "greengagehub/transport/unconfirmed_cancels.hpp"

#include <algorithm>

namespace greengagehub {

bool
UnconfirmedCancels::Add(TimePoint aNow, std::uint64_t aCall, TimePoint aUntil)
{
  if (aUntil <= aNow || m_entries.size() >= kMaxCount) {
    return false;
  }
  m_entries.push_back({ aCall, aUntil });
  return true;
}

void
UnconfirmedCancels::OnPing(std::uint64_t aNumber) noexcept
{
  for (Entry& each : m_entries) {
    if (each.m_ping == 0) {
      each.m_ping = aNumber;
    }
  }
}

void
UnconfirmedCancels::OnPong(std::uint64_t aNumber)
{
  std::erase_if(m_entries, [aNumber](const Entry& aEach) {
    return aEach.m_ping != 0 && aEach.m_ping <= aNumber;
  });
}

std::vector<std::uint64_t>
UnconfirmedCancels::Resend(TimePoint aNow)
{
  std::erase_if(m_entries,
                [aNow](const Entry& aEach) { return aEach.m_until <= aNow; });
  std::vector<std::uint64_t> calls;
  calls.reserve(m_entries.size());
  for (Entry& each : m_entries) {
    each.m_ping = 0;
    calls.push_back(each.m_call);
  }
  return calls;
}

}
