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
constexpr std::uint32_t kFirstPeriods = 5;

}

MembershipActions
Membership::Contact(const MemberPeer& aPeer)
{
  MembershipActions out;
  GossipMessage ping = Make(Kind::Ping, ReachOf(aPeer));
  ping.m_sequence = ++m_sequence;
  SendTo(out, aPeer, std::move(ping));
  return out;
}

MembershipActions
Membership::OnTick(TimePoint aNow)
{
  MembershipActions out;
  if (aNow - m_lastTick > kPausePeriods * m_settings.m_period &&
      m_lastTick != TimePoint{}) {
    OnProcessResumed(aNow);
  }
  m_lastTick = aNow;
  std::erase_if(
    m_relays, [aNow](const Relay& aRelay) { return aRelay.m_expires <= aNow; });
  ExpireSuspects(aNow, out);
  for (Probe& each : m_probes) {
    ContinueProbe(aNow, out, each);
  }
  // In its first seconds a member hears of those before it at any moment.
  if (aNow >= m_nextProbe || m_periods < kFirstPeriods) {
    m_speaks = RankInDomain() < kSpeakers;
  }
  if (aNow >= m_nextProbe) {
    StartProbes(aNow, out);
  }
  return out;
}

void
Membership::OnProcessResumed(TimePoint aNow)
{
  // This process slept; the silence was its own. Suspicions start again, and
  // the probes that were under way say nothing about their targets.
  for (Probe& each : m_probes) {
    each.m_active = false;
  }
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
  MarkPending(aIndex, Reach::Far);
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
Membership::ContinueProbe(TimePoint aNow,
                          MembershipActions& aOut,
                          Probe& aProbe)
{
  if (!aProbe.m_active) {
    return;
  }
  if (aNow >= aProbe.m_ends) {
    aProbe.m_active = false;
    m_slowness = std::min(m_slowness + 1, kMaxSlowness);
    const auto index = m_members.Find(aProbe.m_slot);
    if (index) {
      Suspect(aNow, aOut, *index);
    }
    return;
  }
  const Duration patience = m_settings.m_ackTimeout * (1 + m_slowness / 4);
  if (aProbe.m_indirect || aNow - aProbe.m_sent < patience) {
    return;
  }
  aProbe.m_indirect = true;
  for (const MemberPeer& each : SampleNearFirst(m_settings.m_indirect)) {
    GossipMessage request = Make(Kind::PingRequest, ReachOf(each));
    request.m_sequence = aProbe.m_sequence;
    request.m_target = aProbe.m_slot;
    SendTo(aOut, each, std::move(request));
  }
}

std::optional<MemberTable::Index>
Membership::NextTarget(Reach aReach)
{
  auto& round = m_rounds[static_cast<std::size_t>(aReach)];
  while (!round.empty()) {
    const auto index = round.back();
    round.pop_back();
    if (m_members.Has(index) &&
        IsPresent(m_members.At(index).m_record.m_state)) {
      return index;
    }
  }
  m_members.Rows().Each([&](MemberTable::Index aIndex, const MemberRow& aRow) {
    const MemberRecord& record = aRow.m_record;
    if (IsPresent(record.m_state) && ReachOf(record) == aReach) {
      round.push_back(aIndex);
    }
  });
  std::shuffle(round.begin(), round.end(), m_random);
  if (round.empty()) {
    return std::nullopt;
  }
  const auto index = round.back();
  round.pop_back();
  return index;
}

void
Membership::StartProbes(TimePoint aNow, MembershipActions& aOut)
{
  m_nextProbe = aNow + m_settings.m_period;
  ++m_periods;
  if (m_periods % m_settings.m_lostEvery == 0) {
    ForgetLost(aNow);
    ProbeLost(aOut);
  }
  StartProbe(aNow, aOut, Reach::Near);
  if (m_speaks) {
    StartProbe(aNow, aOut, Reach::Far);
  }
}

void
Membership::StartProbe(TimePoint aNow, MembershipActions& aOut, Reach aReach)
{
  Probe& probe = m_probes[static_cast<std::size_t>(aReach)];
  const auto target = probe.m_active ? std::nullopt : NextTarget(aReach);
  if (!target) {
    return;
  }
  const MemberRecord& record = m_members.At(*target).m_record;
  GossipMessage ping = Make(Kind::Ping, aReach);
  ping.m_sequence = ++m_sequence;
  // A suspect is told, so that it can refute in its answer.
  if (record.m_state == MemberState::Suspect) {
    ping.m_updates.push_back(record);
  }
  probe = Probe{ *target,
                 record.m_slot,
                 ping.m_sequence,
                 aNow,
                 aNow + m_settings.m_period * (1 + m_slowness / 4),
                 true,
                 false };
  SendTo(aOut, PeerOf(record), std::move(ping));
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
  const bool mayProbe = m_speaks || ReachOf(record) == Reach::Near;
  if (IsPresent(record.m_state) || !mayProbe) {
    return;
  }
  GossipMessage ping = Make(Kind::Ping, ReachOf(record));
  ping.m_sequence = ++m_sequence;
  ping.m_updates.push_back(record);
  SendTo(aOut, PeerOf(record), std::move(ping));
}

MembershipActions
Membership::Announce(MemberState aState, WorkerFigures aWorker)
{
  ++m_self.m_incarnation;
  m_self.m_slots = aWorker.m_slots;
  m_self.m_workerStart = aWorker.m_start;
  m_self.m_workerVersion = std::move(aWorker.m_version);
  return Announce(aState);
}

MembershipActions
Membership::Announce(MemberState aState)
{
  MembershipActions out;
  m_self.m_state = aState;
  // Callers beyond the domain hear it on their links, from the daemon's own
  // refusals, and from the speakers.
  const std::size_t count = std::max<std::size_t>(8, TransmitLimit());
  auto many = SampleNear(count);
  if (many.empty()) {
    many = Sample(count);
  }
  for (const MemberPeer& each : many) {
    GossipMessage message = Make(Kind::Push, ReachOf(each));
    SendTo(out, each, std::move(message));
  }
  return out;
}

}
