#include "greengagehub/daemon/quota_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>
#include <asio/post.hpp>

// Queries of the quota client and their answers.

namespace greengagehub {

QuotaService::QuotaService(Dependencies aDependencies,
                           std::uint64_t aProcess,
                           std::uint64_t aSeed)
  : m_deps(std::move(aDependencies))
  , m_random(aSeed)
  , m_client(m_deps.m_settings.m_workspaces.m_quota,
             m_random(),
             m_deps.m_settings.m_workspaces.m_quotaShards)
  , m_roles(m_deps.m_settings.m_slot,
            aProcess,
            m_random(),
            m_deps.m_settings.m_workspaces.m_quotaShards)
  , m_queryTimeout(m_deps.m_loop)
  , m_claimDelay(Below(m_random, kMaxClaimDelay.count()))
{
  const WorkspaceSettings& settings = m_deps.m_settings.m_workspaces;
  for (std::uint32_t i = 0; i < kMaxQuotaShards; ++i) {
    m_shards.push_back(
      { .m_coordinator =
          QuotaCoordinator{ settings.m_quota, { i, settings.m_quotaShards } },
        .m_lastReport = BootNow() });
  }
}

QuotaDecision
QuotaService::TryAdmit(TimePoint aNow,
                       WorkspaceId aWorkspace,
                       bool aIsNew,
                       bool aIsLate)
{
  const QuotaDecision decision =
    m_client.TryAdmit(aNow, aWorkspace, aIsNew, aIsLate);
  switch (decision.m_kind) {
    case QuotaDecision::Kind::Admitted:
      ++m_counts.m_admitted;
      m_counts.m_fromReserve +=
        decision.m_receipt.m_kind == QuotaReceipt::Kind::Reserve ? 1 : 0;
      break;
    case QuotaDecision::Kind::Waiting:
      m_counts.m_awaitedRefill += aIsNew && decision.m_isForRefill ? 1 : 0;
      SendQueries();
      break;
    case QuotaDecision::Kind::OverQuota:
      ++m_counts.m_overQuota;
      break;
    case QuotaDecision::Kind::NoCoordinator:
      ++m_counts.m_noCoordinator;
      break;
  }
  return decision;
}

void
QuotaService::Return(WorkspaceId aWorkspace, const QuotaReceipt& aReceipt)
{
  if (aReceipt.m_kind != QuotaReceipt::Kind::None) {
    ++m_counts.m_returned;
    m_client.Return(BootNow(), aWorkspace, aReceipt);
  }
}

std::optional<MemberPeer>
QuotaService::SelectQueryPeer(std::uint32_t aShard)
{
  Membership& members = m_deps.m_members();
  const bool isSilent =
    m_client.Link(aShard).SilentFor(BootNow()) >= QuotaClient::kSilenceTimeout;
  const std::string& known = m_shards.at(aShard).m_coordinatorSlot;
  const bool usesKnownCoordinator = !isSilent || Below(m_random, 2) == 0;
  if (!known.empty() && usesKnownCoordinator) {
    const auto index = members.Members().Find(known);
    if (index) {
      return members.PeerOf(members.Members().At(*index).m_record);
    }
  }
  // Every daemon reports the coordinator that it knows.
  if (auto first = members.HighestRanked(); first && Below(m_random, 2) == 0) {
    return first;
  }
  auto any = members.Sample(1);
  return any.empty() ? std::nullopt : std::optional{ any.front() };
}

void
QuotaService::SendQueries()
{
  const TimePoint now = BootNow();
  while (auto query = m_client.NextQuery(now)) {
    SendQuery(std::move(*query));
  }
  ArmQueryTimeout();
}

void
QuotaService::SendQuery(QuotaQuery aQuery)
{
  if (IsCoordinator(aQuery.m_shard)) {
    const QuotaReport report = AnswerQuery(m_deps.m_settings.m_slot, aQuery);
    // Posted, because the report may call back into the admission in progress.
    asio::post(m_deps.m_loop,
               [this, report] { OnReport(m_deps.m_settings.m_slot, report); });
    return;
  }
  const auto peer = SelectQueryPeer(aQuery.m_shard);
  if (!peer) {
    return;
  }
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_quotaQuery = std::move(aQuery);
  m_deps.m_send({ *peer, std::move(message) });
}

void
QuotaService::ArmQueryTimeout()
{
  const TimePoint now = BootNow();
  const auto next = m_client.NextTimeout(now);
  if (!next || (m_timeoutAt && *m_timeoutAt <= *next)) {
    return;
  }
  m_timeoutAt = next;
  // Cancels the wait for a later timeout.
  m_queryTimeout.expires_after(*next - now);
  m_queryTimeout.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    m_timeoutAt.reset();
    // Without an answer, waiting requests are decided or queried again.
    if (m_retryHandler) {
      m_retryHandler();
    }
    SendQueries();
  });
}

QuotaReport
QuotaService::AnswerQuery(std::string_view aSlot, const QuotaQuery& aQuery)
{
  const TimePoint now = BootNow();
  const std::uint32_t index = aQuery.m_shard;
  QuotaReport report{ .m_sequence = aQuery.m_sequence, .m_shard = index };
  m_deps.m_addProof(report);
  if (index >= kMaxQuotaShards) {
    return report;
  }
  Shard& shard = m_shards.at(index);
  const bool isOurs = index < m_roles.Count();
  if (isOurs) {
    // A lease may have begun since the last tick, and buckets start empty.
    AdvanceShard(now, index);
  }
  const bool isLeading = IsCoordinator(index);
  if (isLeading || (isOurs && m_roles.Role(index).IsAwaitingPredecessor(now))) {
    report.m_coordinator = m_deps.m_settings.m_slot;
    report.m_term = m_roles.Role(index).ExpectedRevision();
    report.m_isGranting = isLeading;
  } else if (!(isOurs && m_roles.Role(index).HoldsKey()) &&
             m_client.Link(index).SilentFor(now) <
               QuotaClient::kSilenceTimeout) {
    report.m_coordinator = shard.m_coordinatorSlot;
  }
  if (isLeading) {
    report.m_shards = m_roles.Count();
    if (aSlot != m_deps.m_settings.m_slot) {
      shard.m_queriers.OnQuery(now, ShortHash(aSlot));
    }
    report.m_grants = shard.m_coordinator.OnDemands(
      now, aSlot, aQuery.m_demands, m_deps.m_table, aQuery.m_knowsShards);
  }
  return report;
}

void
QuotaService::OnMessage(const GossipMessage& aMessage)
{
  if (aMessage.m_quotaQuery) {
    GossipMessage answer;
    answer.m_kind = GossipMessage::Kind::Quota;
    answer.m_quotaReport =
      AnswerQuery(aMessage.m_sender.m_slot, *aMessage.m_quotaQuery);
    m_deps.m_send(
      { m_deps.m_members().PeerOf(aMessage.m_sender), std::move(answer) });
  }
  if (aMessage.m_quotaReport) {
    OnReport(aMessage.m_sender.m_slot, *aMessage.m_quotaReport);
  }
}

void
QuotaService::RecordSender(TimePoint aNow,
                           std::string_view aFrom,
                           const QuotaReport& aReport)
{
  Shard& shard = m_shards.at(aReport.m_shard);
  const bool isOurs = aReport.m_shard < m_roles.Count();
  if (!aReport.m_coordinator.empty()) {
    shard.m_coordinatorSlot = aReport.m_coordinator;
    shard.m_hasEnded = false;
  } else if (aFrom == shard.m_coordinatorSlot) {
    // The sender has resigned, was replaced or is no longer confirmed.
    shard.m_coordinatorSlot.clear();
    shard.m_hasEnded = true;
    shard.m_lastReport = aNow - kRelaySilence;
    if (isOurs) {
      m_roles.Role(aReport.m_shard)
        .OnTermEnded(std::max(aReport.m_term, aReport.m_endedTerm));
    }
  }
  if (aFrom == aReport.m_coordinator) {
    shard.m_lastReport = aNow;
    if (isOurs) {
      m_roles.Role(aReport.m_shard).OnTermReported(aReport.m_term);
    }
  }
  if (aReport.m_shard == 0 && aReport.m_isGranting) {
    // Daemons that know one coordinator state no number.
    m_client.SetShardCount(aReport.m_shards);
  }
}

void
QuotaService::OnReport(std::string_view aFrom, const QuotaReport& aReport)
{
  if (aReport.m_shard >= kMaxQuotaShards) {
    return;
  }
  const TimePoint now = BootNow();
  RecordSender(now, aFrom, aReport);
  if (aReport.m_isGranting && aReport.m_sequence == 0) {
    m_client.OnCoordinatorReady(aReport.m_shard);
    SendQueries();
    return;
  }
  const auto queriedAt = m_client.OnReport(now, aReport);
  if (!queriedAt) {
    return;
  }
  m_deps.m_onAnswer(*queriedAt, aReport);
  if (m_retryHandler) {
    m_retryHandler();
  }
  SendQueries();
}

QuotaService::Counts
QuotaService::Totals() const
{
  Counts counts = m_counts;
  for (const Shard& each : m_shards) {
    counts.m_granted += each.m_coordinator.Granted();
  }
  return counts;
}

std::uint32_t
QuotaService::CountHeld() const
{
  std::uint32_t held = 0;
  for (std::uint32_t i = 0; i < m_roles.Count(); ++i) {
    held += IsCoordinator(i) ? 1 : 0;
  }
  return held;
}

std::vector<QuotaService::ShardStatus>
QuotaService::Shards() const
{
  const TimePoint now = BootNow();
  std::vector<ShardStatus> all;
  for (std::uint32_t i = 0; i < m_client.ShardCount(); ++i) {
    const bool isOwn = IsCoordinator(i);
    all.push_back(
      { .m_coordinator = m_shards.at(i).m_coordinatorSlot,
        .m_isSilent = m_client.Link(i).IsSilent(now),
        .m_isOwn = isOwn,
        .m_queriers = isOwn ? m_shards.at(i).m_queriers.Queriers() : 0 });
  }
  return all;
}

}
