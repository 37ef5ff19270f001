#include "greengagehub/membership/membership.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace greengagehub {

namespace {

using Kind = GossipMessage::Kind;

constexpr std::size_t kMaxIndirectProbes = 256;

}

Membership::Membership(MemberRecord aSelf,
                       MembershipSettings aSettings,
                       std::uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_settings(aSettings)
  , m_random(aSeed)
{
}

std::uint32_t
Membership::TransmitLimit() const
{
  const auto size = static_cast<std::uint64_t>(m_members.Present() + 2);
  return m_settings.m_transmitFactor *
         static_cast<std::uint32_t>(std::bit_width(size));
}

Duration
Membership::SuspicionTime() const
{
  const double size = static_cast<double>(m_members.Present()) + 1.0;
  const double scale = std::max(1.0, std::log10(size));
  const double periods = scale * m_settings.m_suspicionFactor *
                         (1.0 + 0.25 * static_cast<double>(m_localHealthScore));
  return std::chrono::duration_cast<Duration>(m_settings.m_period * periods);
}

Membership::DomainScope
Membership::ScopeOf(const MemberRecord& aRecord) const
{
  return aRecord.m_domain == m_self.m_domain ? DomainScope::OwnDomain
                                             : DomainScope::OtherDomain;
}

Membership::DomainScope
Membership::ScopeOf(const MemberPeer& aPeer)
{
  return aPeer.m_crossesDomains ? DomainScope::OtherDomain
                                : DomainScope::OwnDomain;
}

std::vector<MemberTable::Index>&
Membership::ProbeRoundOf(const MemberRecord& aRecord)
{
  return m_probeRounds[static_cast<std::size_t>(ScopeOf(aRecord))];
}

GossipMessage
Membership::MakeMessage(Kind aKind, DomainScope aScope)
{
  GossipMessage message;
  message.m_kind = aKind;
  message.m_sender = m_self;
  message.m_updates = SelectUpdates(aScope);
  message.m_members = Digests().Summary();
  return message;
}

void
Membership::SendTo(MembershipActions& aOut,
                   const MemberPeer& aTo,
                   GossipMessage aMessage)
{
  aOut.m_sends.push_back(GossipSend{ aTo, std::move(aMessage) });
}

std::vector<MemberRecord>
Membership::SelectUpdates(DomainScope aScope)
{
  const std::uint32_t limit = TransmitLimit();
  const auto scope = static_cast<std::size_t>(aScope);
  auto& pending = m_pendingUpdates[scope];
  std::erase_if(pending, [&](MemberTable::Index aIndex) {
    if (!m_members.Contains(aIndex)) {
      return true;
    }
    MemberRow& row = m_members.At(aIndex);
    if (row.m_transmits[scope] >= limit) {
      row.m_pending[scope] = false;
      return true;
    }
    return false;
  });
  const std::size_t count =
    std::min<std::size_t>(pending.size(), m_settings.m_maxUpdates);
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(),
                    [&](MemberTable::Index aLeft, MemberTable::Index aRight) {
                      return m_members.At(aLeft).m_transmits[scope] <
                             m_members.At(aRight).m_transmits[scope];
                    });
  std::vector<MemberRecord> updates;
  for (std::size_t i = 0; i < count; ++i) {
    MemberRow& row = m_members.At(pending[i]);
    ++row.m_transmits[scope];
    updates.push_back(row.m_record);
  }
  return updates;
}

void
Membership::MarkPending(MemberTable::Index aIndex, DomainScope aScope)
{
  const auto scope = static_cast<std::size_t>(aScope);
  MemberRow& row = m_members.At(aIndex);
  row.m_transmits[scope] = 0;
  if (!row.m_pending[scope]) {
    row.m_pending[scope] = true;
    m_pendingUpdates[scope].push_back(aIndex);
  }
}

void
Membership::MarkPending(MemberTable::Index aIndex)
{
  MarkPending(aIndex, DomainScope::OwnDomain);
  if (ScopeOf(m_members.At(aIndex).m_record) == DomainScope::OwnDomain) {
    MarkPending(aIndex, DomainScope::OtherDomain);
  }
}

void
Membership::ApplyRecordOfSelf(const MemberRecord& aRecord)
{
  // Refute a suspicion, or a record from before the clock was set back.
  const bool contradicts = aRecord.m_incarnation > m_self.m_incarnation ||
                           (aRecord.m_incarnation == m_self.m_incarnation &&
                            aRecord.m_state > MemberState::Leaving);
  if (contradicts) {
    m_self.m_incarnation = aRecord.m_incarnation + 1;
  }
}

void
Membership::ApplyRecord(TimePoint aNow,
                        MembershipActions& aOut,
                        const MemberRecord& aRecord,
                        bool aEnqueue)
{
  if (aRecord.m_slot == m_self.m_slot) {
    ApplyRecordOfSelf(aRecord);
    return;
  }
  const auto known = m_members.Find(aRecord.m_slot);
  if (!known) {
    const auto index = m_members.Insert(aRecord);
    if (aEnqueue) {
      MarkPending(index);
    }
    if (IsPresent(aRecord.m_state)) {
      ProbeRoundOf(aRecord).push_back(index);
      aOut.m_events.push_back({ MemberEvent::Kind::Joined, aRecord });
    } else {
      m_members.At(index).m_lostSince = aNow;
      m_lostMembers.push_back(index);
    }
    if (aRecord.m_state == MemberState::Suspect) {
      m_members.At(index).m_suspectUntil = aNow + SuspicionTime();
      m_suspects.push_back(index);
    }
    return;
  }
  MemberRow& row = m_members.At(*known);
  if (!Overrides(aRecord, row.m_record)) {
    return;
  }
  const bool wasPresent = IsPresent(row.m_record.m_state);
  m_members.Replace(*known, aRecord);
  if (aEnqueue) {
    MarkPending(*known);
  }
  if (aRecord.m_state == MemberState::Suspect) {
    row.m_suspectUntil = aNow + SuspicionTime();
    m_suspects.push_back(*known);
  }
  if (!IsPresent(aRecord.m_state)) {
    row.m_lostSince = aNow;
    m_lostMembers.push_back(*known);
    if (wasPresent) {
      aOut.m_events.push_back({ MemberEvent::Kind::Gone, aRecord });
    }
    return;
  }
  if (!wasPresent) {
    ProbeRoundOf(aRecord).push_back(*known);
  }
  aOut.m_events.push_back(
    { wasPresent ? MemberEvent::Kind::Changed : MemberEvent::Kind::Joined,
      aRecord });
}

MembershipActions
Membership::OnRecords(TimePoint aNow, const std::vector<MemberRecord>& aRecords)
{
  MembershipActions out;
  // The group already knows these records; queueing them would delay updates.
  for (const MemberRecord& each : aRecords) {
    ApplyRecord(aNow, out, each, false);
  }
  return out;
}

MembershipActions
Membership::OnMessage(TimePoint aNow,
                      const MemberAddress& aFrom,
                      const GossipMessage& aMessage)
{
  MembershipActions out;
  ApplyRecord(aNow, out, aMessage.m_sender, true);
  for (const MemberRecord& each : aMessage.m_updates) {
    ApplyRecord(aNow, out, each, true);
  }
  if (const auto index = m_members.Find(aMessage.m_sender.m_slot)) {
    m_members.At(*index).m_watching = aMessage.m_watching;
  }
  RecordVersion(aMessage.m_sender.m_slot, aMessage.m_head.m_version);
  switch (aMessage.m_kind) {
    case Kind::Ping:
      OnPing(out, aFrom, aMessage);
      break;
    case Kind::Ack:
      OnAck(out, aMessage);
      break;
    case Kind::PingRequest:
      OnPingRequest(aNow, out, aMessage);
      break;
    case Kind::Push:
    case Kind::Quota:
      break;
  }
  return out;
}

void
Membership::OnPing(MembershipActions& aOut,
                   const MemberAddress& aFrom,
                   const GossipMessage& aMessage)
{
  GossipMessage ack = MakeMessage(Kind::Ack, ScopeOf(aMessage.m_sender));
  ack.m_sequence = aMessage.m_sequence;
  ack.m_minimumVersion = MinimumVersionOf(aMessage.m_sender.m_slot);
  if (aMessage.m_sender.m_workerIdTag == 0) {
    ack.m_previousWorker = PreviousWorkerOf(aMessage.m_sender);
  }
  // A sender that is recorded as lost receives that record, so that it refutes
  // it.
  const auto known = m_members.Find(aMessage.m_sender.m_slot);
  if (known && !IsPresent(m_members.At(*known).m_record.m_state)) {
    ack.m_updates.push_back(m_members.At(*known).m_record);
  }
  const bool crossesDomains =
    ScopeOf(aMessage.m_sender) == DomainScope::OtherDomain;
  SendTo(aOut, { aFrom, crossesDomains }, std::move(ack));
}

void
Membership::OnAck(MembershipActions& aOut, const GossipMessage& aMessage)
{
  for (Probe& each : m_probes) {
    if (each.m_active && aMessage.m_sequence == each.m_sequence) {
      each.m_active = false;
      m_localHealthScore = m_localHealthScore > 0 ? m_localHealthScore - 1 : 0;
      return;
    }
  }
  const auto forwarded =
    std::find_if(m_indirectProbes.begin(),
                 m_indirectProbes.end(),
                 [&](const IndirectProbe& aProbe) {
                   return aProbe.m_sequence == aMessage.m_sequence;
                 });
  if (forwarded == m_indirectProbes.end()) {
    return;
  }
  GossipMessage ack = MakeMessage(Kind::Ack, ScopeOf(forwarded->m_origin));
  ack.m_sequence = forwarded->m_originSequence;
  ack.m_target = forwarded->m_target;
  SendTo(aOut, forwarded->m_origin, std::move(ack));
  m_indirectProbes.erase(forwarded);
}

void
Membership::OnPingRequest(TimePoint aNow,
                          MembershipActions& aOut,
                          const GossipMessage& aMessage)
{
  const auto target = m_members.Find(aMessage.m_target);
  if (!target || m_indirectProbes.size() >= kMaxIndirectProbes) {
    return;
  }
  const MemberPeer peer = PeerOf(m_members.At(*target).m_record);
  GossipMessage ping = MakeMessage(Kind::Ping, ScopeOf(peer));
  ping.m_sequence = ++m_sequence;
  m_indirectProbes.push_back(IndirectProbe{ ping.m_sequence,
                                            aMessage.m_sequence,
                                            PeerOf(aMessage.m_sender),
                                            aMessage.m_target,
                                            aNow + 2 * m_settings.m_period });
  SendTo(aOut, peer, std::move(ping));
}

void
Membership::RecordVersion(std::string_view aSlot, Version aVersion)
{
  if (const auto index = m_members.Find(aSlot)) {
    MemberRow& row = m_members.At(*index);
    row.m_minimumVersion = std::max(row.m_minimumVersion, aVersion);
    row.m_version = std::max(row.m_version, aVersion);
  }
}

}
