#include "greengagehub/membership/membership.hpp"

#include <algorithm>

// What a membership does as time passes: probes, suspicions, lost members.

namespace greengagehub {

namespace {

using Kind = GossipMessage::Kind;

constexpr std::uint32_t kMaxSlowness = 8;
/// A tick that comes later than this many periods means that the process was
/// paused, not that everyone else fell silent.
constexpr int kPausePeriods = 3;

}

MembershipActions
Membership::Contact(const MemberAddress& aAddress)
{
  MembershipActions out;
  GossipMessage ping = Make(Kind::Ping);
  ping.m_sequence = ++m_sequence;
  SendTo(out, aAddress, std::move(ping));
  return out;
}

MembershipActions
Membership::OnTick(TimePoint aNow)
{
  MembershipActions out;
  if (aNow - m_lastTick > kPausePeriods * m_settings.m_period &&
      m_lastTick != TimePoint{}) {
    WokeUp(aNow);
  }
  m_lastTick = aNow;
  std::erase_if(
    m_relays, [aNow](const Relay& aRelay) { return aRelay.m_expires <= aNow; });
  ExpireSuspects(aNow, out);
  ContinueProbe(aNow, out);
  if (aNow >= m_nextProbe) {
    StartProbe(aNow, out);
  }
  return out;
}

void
Membership::WokeUp(TimePoint aNow)
{
  // This process slept; the silence was its own. Suspicions start again, and
  // the probe that was under way says nothing about its target.
  m_probe.m_active = false;
  for (const auto index : m_suspects) {
    if (m_members.Has(index)) {
      m_members.At(index).m_suspectUntil = aNow + SuspicionTime();
    }
  }
}

void
Membership::Suspect(TimePoint aNow,
                    MembershipActions& aOut,
                    MemberTable::Index aIndex)
{
  MemberRow& row = m_members.At(aIndex);
  if (row.m_record.m_state >= MemberState::Suspect) {
    return;
  }
  // One that announced that it is leaving and then falls silent is just gone.
  const bool leaving = row.m_record.m_state == MemberState::Leaving;
  m_members.SetState(aIndex, MemberState::Suspect);
  row.m_suspectUntil = leaving ? aNow : aNow + SuspicionTime();
  m_suspects.push_back(aIndex);
  MarkPending(aIndex);
  aOut.m_events.push_back({ MemberEvent::Kind::Changed, row.m_record });
}

void
Membership::ExpireSuspects(TimePoint aNow, MembershipActions& aOut)
{
  std::erase_if(m_suspects, [&](MemberTable::Index aIndex) {
    if (!m_members.Has(aIndex)) {
      return true;
    }
    MemberRow& row = m_members.At(aIndex);
    if (row.m_record.m_state != MemberState::Suspect) {
      return true;
    }
    if (row.m_suspectUntil > aNow) {
      return false;
    }
    m_members.SetState(aIndex, MemberState::Dead);
    row.m_goneSince = aNow;
    m_lost.push_back(aIndex);
    MarkPending(aIndex);
    aOut.m_events.push_back({ MemberEvent::Kind::Gone, row.m_record });
    return true;
  });
}

void
Membership::ForgetLost(TimePoint aNow)
{
  std::erase_if(m_lost, [&](MemberTable::Index aIndex) {
    if (!m_members.Has(aIndex) ||
        IsPresent(m_members.At(aIndex).m_record.m_state)) {
      return true;
    }
    if (aNow - m_members.At(aIndex).m_goneSince < m_settings.m_forgetAfter) {
      return false;
    }
    m_members.Erase(aIndex);
    return true;
  });
}

void
Membership::ContinueProbe(TimePoint aNow, MembershipActions& aOut)
{
  if (!m_probe.m_active) {
    return;
  }
  if (aNow >= m_probe.m_ends) {
    m_probe.m_active = false;
    m_slowness = std::min(m_slowness + 1, kMaxSlowness);
    const auto index = m_members.Find(m_probe.m_slot);
    if (index) {
      Suspect(aNow, aOut, *index);
    }
    return;
  }
  const Duration patience = m_settings.m_ackTimeout * (1 + m_slowness / 4);
  if (m_probe.m_indirect || aNow - m_probe.m_sent < patience) {
    return;
  }
  m_probe.m_indirect = true;
  for (const MemberAddress& each : Sample(m_settings.m_indirect)) {
    GossipMessage request = Make(Kind::PingRequest);
    request.m_sequence = m_probe.m_sequence;
    request.m_target = m_probe.m_slot;
    SendTo(aOut, each, std::move(request));
  }
}

std::optional<MemberTable::Index>
Membership::NextTarget()
{
  while (!m_round.empty()) {
    const auto index = m_round.back();
    m_round.pop_back();
    if (m_members.Has(index) &&
        IsPresent(m_members.At(index).m_record.m_state)) {
      return index;
    }
  }
  m_members.Rows().Each([&](MemberTable::Index aIndex, const MemberRow& aRow) {
    if (IsPresent(aRow.m_record.m_state)) {
      m_round.push_back(aIndex);
    }
  });
  std::shuffle(m_round.begin(), m_round.end(), m_random);
  if (m_round.empty()) {
    return std::nullopt;
  }
  const auto index = m_round.back();
  m_round.pop_back();
  return index;
}

void
Membership::StartProbe(TimePoint aNow, MembershipActions& aOut)
{
  m_nextProbe = aNow + m_settings.m_period;
  ++m_periods;
  if (m_periods % m_settings.m_lostEvery == 0) {
    ForgetLost(aNow);
    ProbeLost(aOut);
  }
  if (m_probe.m_active) {
    return;
  }
  const auto target = NextTarget();
  if (!target) {
    return;
  }
  const MemberRecord& record = m_members.At(*target).m_record;
  GossipMessage ping = Make(Kind::Ping);
  ping.m_sequence = ++m_sequence;
  // A suspect is told, so that it can refute in its answer.
  if (record.m_state == MemberState::Suspect) {
    ping.m_updates.push_back(record);
  }
  m_probe = Probe{ *target,
                   record.m_slot,
                   ping.m_sequence,
                   aNow,
                   aNow + m_settings.m_period * (1 + m_slowness / 4),
                   true,
                   false };
  SendTo(aOut, record.m_address, std::move(ping));
}

void
Membership::ProbeLost(MembershipActions& aOut)
{
  // Lost members are tried for as long as they are remembered, so that two
  // sides of a partition, or a rack restarted while the store is away, find
  // each other again with no help from outside.
  if (m_lost.empty()) {
    return;
  }
  const auto index = m_lost[Below(m_random, m_lost.size())];
  if (!m_members.Has(index)) {
    return;
  }
  const MemberRecord& record = m_members.At(index).m_record;
  if (IsPresent(record.m_state)) {
    return;
  }
  GossipMessage ping = Make(Kind::Ping);
  ping.m_sequence = ++m_sequence;
  ping.m_updates.push_back(record);
  SendTo(aOut, record.m_address, std::move(ping));
}

MembershipActions
Membership::Announce(MemberState aState, WorkerFigures aWorker)
{
  ++m_self.m_incarnation;
  m_self.m_slots = aWorker.m_slots;
  m_self.m_workerStart = aWorker.m_start;
  return Announce(aState);
}

MembershipActions
Membership::Announce(MemberState aState)
{
  MembershipActions out;
  m_self.m_state = aState;
  const auto many = Sample(std::max<std::size_t>(8, TransmitLimit()));
  for (const MemberAddress& each : many) {
    GossipMessage message = Make(Kind::Push);
    SendTo(out, each, std::move(message));
  }
  return out;
}

}
