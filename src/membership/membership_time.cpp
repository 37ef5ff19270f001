#include "greengagehub/membership/membership.hpp"

#include <algorithm>

// Periodic work of Membership: probes, suspicions, lost members.

namespace greengagehub {

namespace {

using Kind = GossipMessage::Kind;

constexpr std::uint32_t kMaxLocalHealthScore = 8;
/// A longer gap between two ticks means that the process was paused.
constexpr int kPausePeriods = 3;
/// Periods after the start in which the rank is computed on every tick.
constexpr std::uint32_t kWarmUpPeriods = 5;

}

MembershipActions
Membership::Contact(const MemberPeer& aPeer)
{
  MembershipActions out;
  GossipMessage ping = MakeMessage(Kind::Ping, ScopeOf(aPeer));
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
  std::erase_if(m_indirectProbes, [aNow](const IndirectProbe& aProbe) {
    return aProbe.m_expires <= aNow;
  });
  ExpireSuspects(aNow, out);
  for (Probe& each : m_probes) {
    ContinueProbe(aNow, out, each);
  }
  // During warm-up, members of higher rank become known at any time.
  if (aNow >= m_nextProbe || m_periods < kWarmUpPeriods) {
    m_isDomainRelay = RankInDomain() < kRelaysPerDomain;
  }
  if (aNow >= m_nextProbe) {
    StartProbes(aNow, out);
  }
  return out;
}

void
Membership::OnProcessResumed(TimePoint aNow)
{
  // Acks may have been missed during the pause: drop the pending probes and
  // restart the suspicion timeouts.
  for (Probe& each : m_probes) {
    each.m_active = false;
  }
  for (const auto index : m_suspects) {
    if (m_members.Contains(index)) {
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
  // A draining member that stops answering has exited.
  const bool leaving = row.m_record.m_state == MemberState::Leaving;
  m_members.SetState(aIndex, MemberState::Suspect);
  row.m_suspectUntil = leaving ? aNow : aNow + SuspicionTime();
  m_suspects.push_back(aIndex);
  MarkPending(aIndex);
  MarkPending(aIndex, DomainScope::OtherDomain);
  aOut.m_events.push_back({ MemberEvent::Kind::Changed, row.m_record });
}

void
Membership::ExpireSuspects(TimePoint aNow, MembershipActions& aOut)
{
  std::erase_if(m_suspects, [&](MemberTable::Index aIndex) {
    if (!m_members.Contains(aIndex)) {
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
    row.m_lostSince = aNow;
    m_lostMembers.push_back(aIndex);
    MarkPending(aIndex);
    aOut.m_events.push_back({ MemberEvent::Kind::Gone, row.m_record });
    return true;
  });
}

void
Membership::ForgetLostMembers(TimePoint aNow)
{
  std::erase_if(m_lostMembers, [&](MemberTable::Index aIndex) {
    if (!m_members.Contains(aIndex) ||
        IsPresent(m_members.At(aIndex).m_record.m_state)) {
      return true;
    }
    if (aNow - m_members.At(aIndex).m_lostSince < m_settings.m_forgetAfter) {
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
  if (aNow >= aProbe.m_deadline) {
    aProbe.m_active = false;
    m_localHealthScore = std::min(m_localHealthScore + 1, kMaxLocalHealthScore);
    const auto index = m_members.Find(aProbe.m_slot);
    if (index) {
      Suspect(aNow, aOut, *index);
    }
    return;
  }
  const Duration timeout =
    m_settings.m_ackTimeout * (1 + m_localHealthScore / 4);
  if (aProbe.m_isIndirect || aNow - aProbe.m_sent < timeout) {
    return;
  }
  aProbe.m_isIndirect = true;
  for (const MemberPeer& each :
       SampleOwnDomainFirst(m_settings.m_indirectProbeCount)) {
    GossipMessage request = MakeMessage(Kind::PingRequest, ScopeOf(each));
    request.m_sequence = aProbe.m_sequence;
    request.m_target = aProbe.m_slot;
    SendTo(aOut, each, std::move(request));
  }
}

std::optional<MemberTable::Index>
Membership::NextTarget(DomainScope aScope)
{
  auto& round = m_probeRounds[static_cast<std::size_t>(aScope)];
  while (!round.empty()) {
    const auto index = round.back();
    round.pop_back();
    if (m_members.Contains(index) &&
        IsPresent(m_members.At(index).m_record.m_state)) {
      return index;
    }
  }
  m_members.Rows().Each([&](MemberTable::Index aIndex, const MemberRow& aRow) {
    const MemberRecord& record = aRow.m_record;
    if (IsPresent(record.m_state) && ScopeOf(record) == aScope) {
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
  if (m_periods % m_settings.m_lostProbePeriods == 0) {
    ForgetLostMembers(aNow);
    ProbeLostMember(aOut);
  }
  StartProbe(aNow, aOut, DomainScope::OwnDomain);
  if (m_isDomainRelay) {
    StartProbe(aNow, aOut, DomainScope::OtherDomain);
  }
}

void
Membership::StartProbe(TimePoint aNow,
                       MembershipActions& aOut,
                       DomainScope aScope)
{
  Probe& probe = m_probes[static_cast<std::size_t>(aScope)];
  const auto target = probe.m_active ? std::nullopt : NextTarget(aScope);
  if (!target) {
    return;
  }
  const MemberRecord& record = m_members.At(*target).m_record;
  GossipMessage ping = MakeMessage(Kind::Ping, aScope);
  ping.m_sequence = ++m_sequence;
  // A suspect receives its record, so that its ack refutes the suspicion.
  if (record.m_state == MemberState::Suspect) {
    ping.m_updates.push_back(record);
  }
  probe = Probe{ *target,
                 record.m_slot,
                 ping.m_sequence,
                 aNow,
                 aNow + m_settings.m_period * (1 + m_localHealthScore / 4),
                 true,
                 false };
  SendTo(aOut, PeerOf(record), std::move(ping));
}

void
Membership::ProbeLostMember(MembershipActions& aOut)
{
  // The sides of a network partition rejoin through these probes.
  if (m_lostMembers.empty()) {
    return;
  }
  const auto index = m_lostMembers[Below(m_random, m_lostMembers.size())];
  if (!m_members.Contains(index)) {
    return;
  }
  const MemberRecord& record = m_members.At(index).m_record;
  const bool mayProbe =
    m_isDomainRelay || ScopeOf(record) == DomainScope::OwnDomain;
  if (IsPresent(record.m_state) || !mayProbe) {
    return;
  }
  GossipMessage ping = MakeMessage(Kind::Ping, ScopeOf(record));
  ping.m_sequence = ++m_sequence;
  ping.m_updates.push_back(record);
  SendTo(aOut, PeerOf(record), std::move(ping));
}

MembershipActions
Membership::Announce(MemberState aState, WorkerDescription aWorker)
{
  ++m_self.m_incarnation;
  m_self.m_slots = aWorker.m_slots;
  m_self.m_workerIncarnation = aWorker.m_incarnation;
  m_self.m_workerVersion = std::move(aWorker.m_version);
  m_self.m_isWorkerLeaving = aWorker.m_isLeaving;
  m_self.m_workerIdTag = aWorker.m_idTag;
  return Announce(aState);
}

MembershipActions
Membership::Announce(MemberState aState)
{
  MembershipActions out;
  m_self.m_state = aState;
  // Other domains receive the state from the relays.
  const std::size_t count = std::max<std::size_t>(8, TransmitLimit());
  auto targets = SampleOwnDomain(count);
  if (targets.empty()) {
    targets = Sample(count);
  }
  for (const MemberPeer& each : targets) {
    GossipMessage message = MakeMessage(Kind::Push, ScopeOf(each));
    SendTo(out, each, std::move(message));
  }
  return out;
}

}
