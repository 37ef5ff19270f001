#include "greengagehub/membership/membership.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace greengagehub {

namespace {

using Kind = GossipMessage::Kind;

constexpr std::uint32_t kMaxSlowness = 8;
constexpr std::size_t kMaxRelays = 256;
/// A tick that comes later than this many periods means that the process was
/// paused, not that everyone else fell silent.
constexpr int kPausePeriods = 3;

std::uint64_t
MemberSummary(const MemberRecord& aRecord)
{
  MemberDigests digests;
  digests.Add(aRecord);
  return digests.Summary();
}

}

Membership::Membership(MemberRecord aSelf,
                       MembershipSettings aSettings,
                       std::uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_settings(aSettings)
  , m_random(aSeed)
{
}

// ---------------------------------------------------------------------------
// Observers

std::vector<MemberAddress>
Membership::Sample(std::size_t aCount)
{
  std::vector<MemberAddress> chosen;
  const auto capacity = m_members.Capacity();
  const std::size_t wanted = std::min(aCount, m_members.Present());
  std::vector<MemberTable::Index> taken;
  // Rows of the gone are few beside the present ones, so that a bounded
  // number of draws nearly always suffices.
  std::size_t draws = 16 * (wanted + 1);
  while (taken.size() < wanted && draws-- > 0) {
    const auto index =
      static_cast<MemberTable::Index>(Below(m_random, capacity));
    const bool usable =
      m_members.Has(index) && IsPresent(m_members.At(index).m_record.m_state) &&
      std::find(taken.begin(), taken.end(), index) == taken.end();
    if (usable) {
      taken.push_back(index);
      chosen.push_back(m_members.At(index).m_record.m_address);
    }
  }
  return chosen;
}

std::size_t
Membership::RankInDomain() const
{
  const std::uint64_t own = RankKey(m_self.m_slot);
  std::size_t rank = 0;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const MemberRecord& record = aRow.m_record;
    const bool counts = record.m_state == MemberState::Alive &&
                        record.m_domain == m_self.m_domain;
    if (counts && aRow.m_rankKey < own) {
      ++rank;
    }
  });
  return rank;
}

Version
Membership::FloorOf(std::string_view aSlot) const
{
  const auto index = m_members.Find(aSlot);
  return index ? m_members.At(*index).m_floor : Version{};
}

MemberDigests
Membership::Digests() const
{
  MemberDigests digests = m_members.Digests();
  digests.Add(m_self);
  return digests;
}

std::vector<MemberRecord>
Membership::RecordsFor(const MemberDigests& aTheirs)
{
  const MemberDigests own = Digests();
  std::array<std::vector<const MemberRecord*>, MemberDigests::kBuckets> buckets;
  std::size_t known = 0;
  const auto take = [&](const MemberRecord& aRecord) {
    const std::size_t bucket = MemberDigests::BucketOf(aRecord.m_slot);
    if (own.m_sums[bucket] != aTheirs.m_sums[bucket]) {
      buckets[bucket].push_back(&aRecord);
    }
  };
  take(m_self);
  m_members.Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) { take(aRow.m_record); });
  for (const std::uint64_t each : aTheirs.m_sums) {
    known += each != 0 ? 1 : 0;
  }
  // A joiner knows itself and at most the few that it has heard.
  const bool joins = known <= MemberDigests::kBuckets / 8;
  std::vector<MemberRecord> records;
  const std::size_t first = Below(m_random, buckets.size());
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    if (!joins && records.size() >= kMaxSyncRecords) {
      break;
    }
    for (const MemberRecord* each : buckets[(first + i) % buckets.size()]) {
      records.push_back(*each);
    }
  }
  return records;
}

std::uint32_t
Membership::TransmitLimit() const
{
  const auto fleet = static_cast<std::uint64_t>(m_members.Present() + 2);
  return m_settings.m_transmitFactor *
         static_cast<std::uint32_t>(std::bit_width(fleet));
}

Duration
Membership::SuspicionTime() const
{
  const double fleet = static_cast<double>(m_members.Present()) + 1.0;
  const double scale = std::max(1.0, std::log10(fleet));
  const double periods = scale * m_settings.m_suspicionFactor *
                         (1.0 + 0.25 * static_cast<double>(m_slowness));
  return std::chrono::duration_cast<Duration>(m_settings.m_period * periods);
}

// ---------------------------------------------------------------------------
// Messages

GossipMessage
Membership::Make(Kind aKind)
{
  GossipMessage message;
  message.m_kind = aKind;
  message.m_sender = m_self;
  message.m_updates = TakeUpdates();
  message.m_members = m_members.Digests().Summary() + MemberSummary(m_self);
  return message;
}

void
Membership::SendTo(MembershipActions& aOut,
                   const MemberAddress& aTo,
                   GossipMessage aMessage)
{
  aOut.m_sends.push_back(GossipSend{ aTo, std::move(aMessage) });
}

std::vector<MemberRecord>
Membership::TakeUpdates()
{
  const std::uint32_t limit = TransmitLimit();
  std::erase_if(m_pending, [&](MemberTable::Index aIndex) {
    if (!m_members.Has(aIndex)) {
      return true;
    }
    MemberRow& row = m_members.At(aIndex);
    if (row.m_transmits >= limit) {
      row.m_pending = false;
      return true;
    }
    return false;
  });
  const std::size_t count =
    std::min<std::size_t>(m_pending.size(), m_settings.m_maxUpdates);
  std::partial_sort(m_pending.begin(),
                    m_pending.begin() + static_cast<std::ptrdiff_t>(count),
                    m_pending.end(),
                    [&](MemberTable::Index aLeft, MemberTable::Index aRight) {
                      return m_members.At(aLeft).m_transmits <
                             m_members.At(aRight).m_transmits;
                    });
  std::vector<MemberRecord> updates;
  for (std::size_t i = 0; i < count; ++i) {
    MemberRow& row = m_members.At(m_pending[i]);
    ++row.m_transmits;
    updates.push_back(row.m_record);
  }
  return updates;
}

void
Membership::MarkPending(MemberTable::Index aIndex)
{
  MemberRow& row = m_members.At(aIndex);
  row.m_transmits = 0;
  if (!row.m_pending) {
    row.m_pending = true;
    m_pending.push_back(aIndex);
  }
}

// ---------------------------------------------------------------------------
// What others say

void
Membership::AdoptSelf(const MemberRecord& aRecord)
{
  // Someone believes that this process is gone, or remembers an incarnation
  // from before a restart with a clock set back: beat it.
  const bool contradicts = aRecord.m_incarnation > m_self.m_incarnation ||
                           (aRecord.m_incarnation == m_self.m_incarnation &&
                            aRecord.m_state > MemberState::Leaving);
  if (contradicts) {
    m_self.m_incarnation = aRecord.m_incarnation + 1;
  }
}

void
Membership::Adopt(TimePoint aNow,
                  MembershipActions& aOut,
                  const MemberRecord& aRecord,
                  bool aPassOn)
{
  if (aRecord.m_slot == m_self.m_slot) {
    AdoptSelf(aRecord);
    return;
  }
  const auto known = m_members.Find(aRecord.m_slot);
  if (!known) {
    const auto index = m_members.Insert(aRecord);
    if (aPassOn) {
      MarkPending(index);
    }
    if (IsPresent(aRecord.m_state)) {
      m_round.push_back(index);
      aOut.m_events.push_back({ MemberEvent::Kind::Joined, aRecord });
    } else {
      m_members.At(index).m_goneSince = aNow;
      m_lost.push_back(index);
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
  if (aPassOn) {
    MarkPending(*known);
  }
  if (aRecord.m_state == MemberState::Suspect) {
    row.m_suspectUntil = aNow + SuspicionTime();
    m_suspects.push_back(*known);
  }
  if (!IsPresent(aRecord.m_state)) {
    row.m_goneSince = aNow;
    m_lost.push_back(*known);
    if (wasPresent) {
      aOut.m_events.push_back({ MemberEvent::Kind::Gone, aRecord });
    }
    return;
  }
  if (!wasPresent) {
    m_round.push_back(*known);
  }
  aOut.m_events.push_back(
    { wasPresent ? MemberEvent::Kind::Changed : MemberEvent::Kind::Joined,
      aRecord });
}

MembershipActions
Membership::OnRecords(TimePoint aNow, const std::vector<MemberRecord>& aRecords)
{
  MembershipActions out;
  // From a peer's whole table: others have it too. Passing it all on would
  // bury the news among thousands of records that are none.
  for (const MemberRecord& each : aRecords) {
    Adopt(aNow, out, each, false);
  }
  return out;
}

MembershipActions
Membership::OnMessage(TimePoint aNow,
                      const MemberAddress& aFrom,
                      const GossipMessage& aMessage)
{
  MembershipActions out;
  Adopt(aNow, out, aMessage.m_sender, true);
  for (const MemberRecord& each : aMessage.m_updates) {
    Adopt(aNow, out, each, true);
  }
  if (const auto index = m_members.Find(aMessage.m_sender.m_slot)) {
    m_members.At(*index).m_watching = aMessage.m_watching;
  }
  NoteVersion(aMessage.m_sender.m_slot, aMessage.m_head.m_version);
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
      break;
  }
  return out;
}

void
Membership::OnPing(MembershipActions& aOut,
                   const MemberAddress& aFrom,
                   const GossipMessage& aMessage)
{
  GossipMessage ack = Make(Kind::Ack);
  ack.m_sequence = aMessage.m_sequence;
  ack.m_floor = FloorOf(aMessage.m_sender.m_slot);
  // A sender that is believed gone must hear so, to refute it.
  const auto known = m_members.Find(aMessage.m_sender.m_slot);
  if (known && !IsPresent(m_members.At(*known).m_record.m_state)) {
    ack.m_updates.push_back(m_members.At(*known).m_record);
  }
  SendTo(aOut, aFrom, std::move(ack));
}

void
Membership::OnAck(MembershipActions& aOut, const GossipMessage& aMessage)
{
  if (m_probe.m_active && aMessage.m_sequence == m_probe.m_sequence) {
    m_probe.m_active = false;
    m_slowness = m_slowness > 0 ? m_slowness - 1 : 0;
    return;
  }
  const auto relay =
    std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay& aRelay) {
      return aRelay.m_sequence == aMessage.m_sequence;
    });
  if (relay == m_relays.end()) {
    return;
  }
  GossipMessage ack = Make(Kind::Ack);
  ack.m_sequence = relay->m_theirs;
  ack.m_target = relay->m_target;
  SendTo(aOut, relay->m_origin, std::move(ack));
  m_relays.erase(relay);
}

void
Membership::OnPingRequest(TimePoint aNow,
                          MembershipActions& aOut,
                          const GossipMessage& aMessage)
{
  const auto target = m_members.Find(aMessage.m_target);
  if (!target || m_relays.size() >= kMaxRelays) {
    return;
  }
  GossipMessage ping = Make(Kind::Ping);
  ping.m_sequence = ++m_sequence;
  m_relays.push_back(Relay{ ping.m_sequence,
                            aMessage.m_sequence,
                            aMessage.m_sender.m_address,
                            aMessage.m_target,
                            aNow + 2 * m_settings.m_period });
  SendTo(aOut, m_members.At(*target).m_record.m_address, std::move(ping));
}

void
Membership::NoteVersion(std::string_view aSlot, Version aVersion)
{
  if (const auto index = m_members.Find(aSlot)) {
    MemberRow& row = m_members.At(*index);
    row.m_floor = std::max(row.m_floor, aVersion);
    row.m_version = std::max(row.m_version, aVersion);
  }
}

// ---------------------------------------------------------------------------
// Time

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
