#include "greengagehub/calls/reservations.hpp"

#include <algorithm>

namespace greengagehub {

void
Reservations::SetSupport(const std::string& aSlot, bool aTakes)
{
  if (aTakes) {
    m_supported.insert(aSlot);
  } else {
    m_supported.erase(aSlot);
  }
}

void
Reservations::Add(Announcement aAnnouncement)
{
  ++m_counts.m_announced;
  m_calls.emplace(aAnnouncement.m_attempt, aAnnouncement.m_call);
  m_byCall[aAnnouncement.m_call].push_back(std::move(aAnnouncement));
}

std::optional<Announcement>
Reservations::Take(std::uint64_t aAttempt)
{
  const auto call = m_calls.find(aAttempt);
  if (call == m_calls.end()) {
    return std::nullopt;
  }
  const auto announced = m_byCall.find(call->second);
  m_calls.erase(call);
  std::vector<Announcement>& all = announced->second;
  const auto found = std::ranges::find(all, aAttempt, &Announcement::m_attempt);
  Announcement taken = std::move(*found);
  all.erase(found);
  if (all.empty()) {
    m_byCall.erase(announced);
  }
  return taken;
}

std::vector<Announcement>
Reservations::TakeAll(std::uint64_t aCall)
{
  const auto found = m_byCall.find(aCall);
  if (found == m_byCall.end()) {
    return {};
  }
  std::vector<Announcement> all = std::move(found->second);
  m_byCall.erase(found);
  for (const Announcement& each : all) {
    m_calls.erase(each.m_attempt);
  }
  return all;
}

std::vector<Announcement>
Reservations::TakeAllAt(const std::string& aSlot)
{
  std::vector<std::uint64_t> attempts;
  for (const auto& [call, announced] : m_byCall) {
    for (const Announcement& each : announced) {
      if (each.m_slot == aSlot) {
        attempts.push_back(each.m_attempt);
      }
    }
  }
  std::ranges::sort(attempts);
  std::vector<Announcement> all;
  for (const std::uint64_t each : attempts) {
    all.push_back(*Take(each));
  }
  return all;
}

}
