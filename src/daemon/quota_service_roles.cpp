#include "greengagehub/daemon/quota_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>

// The election of coordinators.

namespace greengagehub {

namespace {

/// Time without a coordinator after which the highest-ranked daemon claims the
/// role.
constexpr std::chrono::milliseconds kHighestRankedSilence{ 600 };
/// The same for any other daemon, in case the store rejects the highest-ranked
/// one.
constexpr std::chrono::milliseconds kMemberSilence{ 6000 };
/// For shards above 0: added for each daemon that ranks before.
constexpr std::chrono::milliseconds kRankDelay{ 300 };
/// For shards above 0: added for each other shard of this daemon, so that one
/// daemon does not end several.
constexpr std::chrono::milliseconds kSpreadDelay{ 900 };
/// Interval of the rank check, which iterates over all members.
constexpr std::chrono::milliseconds kRankCheckInterval{ 500 };

}

bool
QuotaService::IsCoordinator(std::uint32_t aShard) const
{
  return aShard < m_roles.Count() && m_roles.IsLeading(BootNow(), aShard);
}

void
QuotaService::OnTick(TimePoint aNow)
{
  AdvanceRoles(aNow);
  SendQueries();
}

void
QuotaService::OnIdle(TimePoint aNow)
{
  for (Shard& each : m_shards) {
    each.m_lastReport = aNow;
  }
}

void
QuotaService::UpdateRanks(TimePoint aNow)
{
  if (aNow < m_nextRankCheck) {
    return;
  }
  m_nextRankCheck = aNow + kRankCheckInterval;
  const Membership& members = m_deps.m_members();
  // Daemons that know one coordinator rank in this way as well.
  m_shards.front().m_rank = members.IsHighestRanked() ? 0 : 1;
  for (std::uint32_t i = 1; i < m_roles.Count(); ++i) {
    m_shards.at(i).m_rank = members.RankForShard(i);
  }
}

Duration
QuotaService::SilenceOf(TimePoint aNow, std::uint32_t aShard) const
{
  const Duration sinceReport = aNow - m_shards.at(aShard).m_lastReport;
  if (m_roles.Count() == 1 || m_shards.at(aShard).m_hasEnded) {
    return sinceReport;
  }
  // A daemon queries each shard more rarely than shards fall silent. One that
  // waits for its predecessor's lease reports without granting.
  return m_roles.Role(aShard).HoldsKey()
           ? Duration::zero()
           : std::min(sinceReport, m_client.Link(aShard).SilentFor(aNow));
}

std::size_t
QuotaService::CountOtherShards(std::uint32_t aShard) const
{
  std::size_t count = 0;
  for (std::uint32_t i = 0; i < m_roles.Count(); ++i) {
    const bool isFirst = i < aShard && m_shards.at(i).m_rank == 0;
    count += i != aShard && (isFirst || m_roles.Role(i).HoldsKey()) ? 1 : 0;
  }
  return count;
}

bool
QuotaService::IsCandidate(std::uint32_t aShard, Duration aSilence)
{
  if (!m_deps.m_knowsPeers() || !m_deps.m_hasPeerContact()) {
    return false;
  }
  const Membership& members = m_deps.m_members();
  const std::size_t rank = m_shards.at(aShard).m_rank;
  if (aShard > 0) {
    const auto delay =
      std::min<Duration>(kMemberSilence,
                         kHighestRankedSilence + kRankDelay * rank +
                           kSpreadDelay * CountOtherShards(aShard));
    return m_client.ShardCount() == m_roles.Count() && aSilence >= delay;
  }
  return rank == 0 ||
         (members.IsDomainRelay() &&
          aSilence >= kRelaySilence + m_claimDelay) ||
         aSilence >= kMemberSilence + m_claimDelay;
}

void
QuotaService::AdvanceRoles(TimePoint aNow)
{
  UpdateRanks(aNow);
  std::vector<CoordinatorRoles::Candidacy> candidacy;
  for (std::uint32_t i = 0; i < m_roles.Count(); ++i) {
    const Duration silence = SilenceOf(aNow, i);
    candidacy.push_back(
      { IsCandidate(i, silence), silence >= kHighestRankedSilence });
  }
  Execute(m_roles.OnTick(aNow, candidacy));
  CoordinatorRoles::Check check = m_roles.NextCheck(aNow);
  if (!check.m_keys.empty()) {
    m_deps.m_check(std::move(check));
  }
  for (std::uint32_t i = 0; i < m_roles.Count(); ++i) {
    AdvanceShard(aNow, i);
  }
}

void
QuotaService::AdvanceShard(TimePoint aNow, std::uint32_t aShard)
{
  Shard& shard = m_shards.at(aShard);
  if (m_roles.TakeStarted(aNow, aShard)) {
    LogChange(LogLevel::Info, "coordinator_started", aShard);
    shard.m_coordinator.Start(aNow);
    shard.m_queriers.Start(aNow);
    AnnounceCoordinator(aShard, m_deps.m_settings.m_slot);
  }
  const bool isOutOfReach =
    m_roles.IsLeading(aNow, aShard) &&
    shard.m_queriers.IsOutOfReach(aNow, m_deps.m_members().Members().Present());
  if (isOutOfReach) {
    LogChange(LogLevel::Warning, "coordinator_out_of_reach", aShard);
    Execute(m_roles.Abstain(aNow, aShard));
    AnnounceCoordinator(aShard, {});
  }
}

void
QuotaService::Execute(std::vector<CoordinatorRoles::Action> aActions)
{
  for (CoordinatorRoles::Action& each : aActions) {
    Execute(std::move(each));
  }
}

void
QuotaService::Execute(CoordinatorRoles::Action aAction)
{
  StoreRequest request = aAction.m_request;
  m_deps.m_store.Execute(
    std::move(request),
    [this, action = std::move(aAction), sentAt = BootNow()](
      const StoreReply& aReply) { OnReply(action, sentAt, aReply); });
}

void
QuotaService::OnReply(const CoordinatorRoles::Action& aAction,
                      TimePoint aSent,
                      const StoreReply& aReply)
{
  using Kind = CoordinatorRoles::Action::Kind;
  const TimePoint now = BootNow();
  switch (aAction.m_kind) {
    case Kind::Read:
      m_roles.OnRead(now, aAction.m_shard, aReply);
      AdvanceRoles(now);
      break;
    case Kind::ReadCondition:
      Execute(m_roles.OnConditionRead(now, aReply));
      AdvanceRoles(now);
      break;
    case Kind::Claim:
      m_roles.OnClaimed(now, aSent, aAction.m_shard, aReply);
      if (m_roles.Role(aAction.m_shard).HoldsKey()) {
        LogChange(LogLevel::Info, "coordinator_claimed", aAction.m_shard);
        AdvanceShard(now, aAction.m_shard);
        if (!m_roles.IsLeading(now, aAction.m_shard)) {
          AnnounceCoordinator(aAction.m_shard, m_deps.m_settings.m_slot);
        }
      }
      break;
    case Kind::Release:
      break;
  }
}

void
QuotaService::OnChecked(TimePoint aNow,
                        const CoordinatorRoles::Check& aCheck,
                        const StoreReply& aReply)
{
  for (const std::uint32_t each : m_roles.OnChecked(aNow, aCheck, aReply)) {
    LogChange(LogLevel::Info, "coordinator_deposed", each);
  }
  for (const std::uint32_t each : aCheck.m_shards) {
    CoordinatorRole& role = m_roles.Role(each);
    if (role.HoldsKey() && aReply.m_status == StoreReply::Status::Ok) {
      m_shards.at(each).m_lastReport = aNow;
    }
    if (role.StandDownIfFailing(aNow)) {
      LogChange(LogLevel::Warning, "coordinator_stood_down", each);
      AnnounceCoordinator(each, {});
    }
  }
}

void
QuotaService::LogChange(LogLevel aLevel,
                        std::string_view aEvent,
                        std::uint32_t aShard) const
{
  const TimePoint now = BootNow();
  const Shard& shard = m_shards.at(aShard);
  const auto silence = std::chrono::ceil<std::chrono::milliseconds>(
    m_client.Link(aShard).SilentFor(now));
  m_deps.m_log.Write(
    aLevel,
    "workspaces",
    aEvent,
    { { "shard", std::uint64_t{ aShard } },
      { "shards", std::uint64_t{ m_roles.Count() } },
      { "term", std::uint64_t{ m_roles.Role(aShard).ExpectedRevision() } },
      { "silence_ms", std::int64_t{ silence.count() } },
      { "queriers", std::uint64_t{ shard.m_queriers.Queriers() } },
      { "rank", std::uint64_t{ shard.m_rank } } });
}

void
QuotaService::AnnounceCoordinator(std::uint32_t aShard,
                                  const std::string& aCoordinator)
{
  m_shards.at(aShard).m_coordinatorSlot = aCoordinator;
  m_shards.at(aShard).m_hasEnded = false;
  const Revision term = m_roles.Role(aShard).ExpectedRevision();
  QuotaReport report{ .m_coordinator = aCoordinator,
                      .m_isGranting = IsCoordinator(aShard),
                      .m_shard = aShard,
                      .m_shards = m_roles.Count(),
                      .m_firstCoordinator = Coordinator() };
  const bool hasEnded = aCoordinator.empty();
  // A daemon that knows one coordinator grants at once after a term that has
  // ended, which other shards may outlast.
  const bool isDivided = m_roles.Count() > 1;
  report.m_term = hasEnded && isDivided ? 0 : term;
  report.m_endedTerm = hasEnded ? term : 0;
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_quotaReport = report;
  Membership& members = m_deps.m_members();
  for (const MemberPeer& each : members.Sample(members.Members().Present())) {
    m_deps.m_send({ each, message });
  }
}

void
QuotaService::OnStoreRestored()
{
  m_roles.OnStoreRestored(BootNow());
}

void
QuotaService::Resign()
{
  for (CoordinatorRoles::Action& each : m_roles.Resign()) {
    m_deps.m_store.Execute(std::move(each.m_request),
                           [this, shard = each.m_shard](const StoreReply&) {
                             AnnounceCoordinator(shard, {});
                           });
  }
}

}
