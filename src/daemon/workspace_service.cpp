#include "greengagehub/daemon/workspace_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace greengagehub {

namespace {

/// Time without a coordinator after which the highest-ranked daemon claims the
/// role.
constexpr std::chrono::milliseconds kHighestRankedSilence{ 600 };
/// The same for the relay of a domain and for any other daemon, in case the
/// store rejects the highest-ranked one.
constexpr std::chrono::milliseconds kRelaySilence{ 800 };
constexpr std::chrono::milliseconds kMemberSilence{ 6000 };
/// Interval of the rank check, which iterates over all members.
constexpr std::chrono::milliseconds kRankCheckInterval{ 500 };
/// Subtracted from the bound: the time that a request takes from its caller to
/// this daemon.
constexpr std::chrono::milliseconds kProofMargin{ 200 };
constexpr std::chrono::milliseconds kStaleKeysRetryAfter{ 1000 };

std::chrono::milliseconds
ProofBound(const Settings& aSettings)
{
  const auto bound = aSettings.m_workspaces.m_maxRevokeDelay;
  return bound > 2 * kProofMargin ? bound - kProofMargin : bound;
}

}

WorkspaceService::WorkspaceService(Dependencies aDependencies,
                                   std::uint64_t aProcess,
                                   std::uint64_t aSeed)
  : m_deps(std::move(aDependencies))
  , m_random(aSeed)
  , m_freshness(ProofBound(m_deps.m_settings))
  , m_quotaClient(m_deps.m_settings.m_workspaces.m_quota, m_random())
  , m_coordinator(m_deps.m_settings.m_workspaces.m_quota)
  , m_coordinatorRole(m_deps.m_settings.m_slot, aProcess, BootNow(), m_random())
  , m_queryTimeout(m_deps.m_loop)
  , m_lastCoordinatorReport(BootNow())
  , m_claimDelay(Below(m_random, kRelaySilence.count()))
{
}

bool
WorkspaceService::IsCoordinator() const
{
  return m_coordinatorRole.IsLeading(BootNow());
}

WorkspaceAdmission
WorkspaceService::Admit(std::string_view aKey, bool aIsNew, bool aIsLate)
{
  const TimePoint now = BootNow();
  if (!m_freshness.IsFresh(now)) {
    return { .m_refusal = RefusalReason::KeysNotCurrent,
             .m_retryAfter = kStaleKeysRetryAfter };
  }
  const WorkspaceRow* workspace =
    aKey.empty() ? nullptr : m_table.FindByKey(aKey);
  if (workspace == nullptr) {
    return { .m_refusal = RefusalReason::UnknownKey };
  }
  if (workspace->m_perSecond <= 0.0) {
    return { .m_workspace = workspace };
  }
  const QuotaDecision decision =
    m_quotaClient.TryAdmit(now, workspace->m_id, aIsNew, aIsLate);
  switch (decision.m_kind) {
    case QuotaDecision::Kind::Admitted:
      break;
    case QuotaDecision::Kind::Waiting:
      SendNextQuery();
      return { .m_waits = true, .m_workspace = workspace };
    case QuotaDecision::Kind::OverQuota:
      return { .m_refusal = RefusalReason::OverQuota,
               .m_retryAfter = decision.m_retryAfter,
               .m_workspace = workspace };
    case QuotaDecision::Kind::NoCoordinator:
      return { .m_refusal = RefusalReason::NoCoordinator,
               .m_retryAfter = decision.m_retryAfter,
               .m_workspace = workspace };
  }
  return { .m_workspace = workspace };
}

void
WorkspaceService::OnVersion()
{
  const auto& active = m_deps.m_holder.Active();
  m_table.Update(active->m_content);
  m_freshness.OnVersion(active->m_version);
}

std::optional<MemberPeer>
WorkspaceService::SelectQueryPeer()
{
  Membership& members = m_deps.m_members();
  const bool usesKnownCoordinator =
    !m_quotaClient.IsCoordinatorSilent(BootNow()) || Below(m_random, 2) == 0;
  if (!m_coordinatorSlot.empty() && usesKnownCoordinator) {
    const auto index = members.Members().Find(m_coordinatorSlot);
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
WorkspaceService::SendNextQuery()
{
  const TimePoint now = BootNow();
  auto query = m_quotaClient.NextQuery(now);
  if (!query) {
    return;
  }
  if (m_coordinatorRole.IsLeading(now)) {
    const QuotaReport report = AnswerQuery(m_deps.m_settings.m_slot, *query);
    // Posted, because the report may call back into the admission in progress.
    asio::post(m_deps.m_loop,
               [this, report] { OnReport(m_deps.m_settings.m_slot, report); });
    return;
  }
  ArmQueryTimeout();
  if (const auto peer = SelectQueryPeer()) {
    SendQuery(*peer, std::move(*query));
  }
}

void
WorkspaceService::ArmQueryTimeout()
{
  m_queryTimeout.expires_after(QuotaClient::kAnswerTimeout);
  m_queryTimeout.async_wait([this](const asio::error_code& aError) {
    if (!aError && m_retryHandler) {
      // Without an answer, waiting requests are decided or queried again.
      m_retryHandler();
      SendNextQuery();
    }
  });
}

void
WorkspaceService::SendQuery(const MemberPeer& aTo, QuotaQuery aQuery)
{
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_quotaQuery = std::move(aQuery);
  m_deps.m_send({ aTo, std::move(message) });
}

QuotaReport
WorkspaceService::AnswerQuery(std::string_view aSlot, const QuotaQuery& aQuery)
{
  const TimePoint now = BootNow();
  QuotaReport report{ .m_sequence = aQuery.m_sequence,
                      .m_proofAge = ProofAge() };
  report.m_config.m_version = m_deps.m_holder.GetVersion();
  const StoredConfig known = KnownConfig();
  if (known.m_version == report.m_config.m_version) {
    report.m_config = known;
  }
  const bool isLeading = m_coordinatorRole.IsLeading(now);
  if (isLeading || m_coordinatorRole.IsAwaitingPredecessor(now)) {
    report.m_coordinator = m_deps.m_settings.m_slot;
    report.m_term = m_coordinatorRole.ExpectedRevision();
    report.m_isGranting = isLeading;
  } else if (!m_coordinatorRole.HoldsKey() &&
             !m_quotaClient.IsCoordinatorSilent(now)) {
    report.m_coordinator = m_coordinatorSlot;
  }
  if (report.m_isGranting) {
    report.m_grants =
      m_coordinator.OnDemands(now, aSlot, aQuery.m_demands, m_table);
  }
  return report;
}

void
WorkspaceService::OnMessage(const GossipMessage& aMessage)
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
WorkspaceService::OnReport(std::string_view aFrom, const QuotaReport& aReport)
{
  const TimePoint now = BootNow();
  const bool isFromCoordinator = aFrom == aReport.m_coordinator;
  if (!aReport.m_coordinator.empty()) {
    m_coordinatorSlot = aReport.m_coordinator;
  } else if (aFrom == m_coordinatorSlot) {
    // The sender has resigned, was replaced or is no longer confirmed.
    m_coordinatorSlot.clear();
    m_lastCoordinatorReport = now - kRelaySilence;
    m_coordinatorRole.OnTermEnded(aReport.m_term);
  }
  if (isFromCoordinator) {
    m_lastCoordinatorReport = now;
    m_coordinatorRole.OnTermReported(aReport.m_term);
  }
  if (aReport.m_isGranting && aReport.m_sequence == 0) {
    m_quotaClient.OnCoordinatorReady();
    SendNextQuery();
    return;
  }
  const auto queriedAt = m_quotaClient.OnReport(now, aReport);
  if (!queriedAt) {
    return;
  }
  m_queryTimeout.cancel();
  if (aReport.m_proofAge) {
    m_freshness.OnProof(
      { *queriedAt - *aReport.m_proofAge, aReport.m_config.m_version });
    m_reportedConfig = aReport.m_config;
  }
  if (m_retryHandler) {
    m_retryHandler();
  }
  SendNextQuery();
}

void
WorkspaceService::OnTick()
{
  const TimePoint now = BootNow();
  if (m_table.IsEmpty()) {
    m_lastCoordinatorReport = now;
    return;
  }
  AdvanceRole(now);
  CheckStoreIfStale(now);
  SendNextQuery();
}

bool
WorkspaceService::IsCandidate(TimePoint aNow)
{
  if (!m_deps.m_knowsPeers() || !m_deps.m_hasPeerContact()) {
    return false;
  }
  const Membership& members = m_deps.m_members();
  if (aNow >= m_nextRankCheck) {
    m_nextRankCheck = aNow + kRankCheckInterval;
    m_isHighestRanked = members.IsHighestRanked();
  }
  const auto silence = aNow - m_lastCoordinatorReport;
  return m_isHighestRanked ||
         (members.IsDomainRelay() && silence >= kRelaySilence + m_claimDelay) ||
         silence >= kMemberSilence + m_claimDelay;
}

void
WorkspaceService::AdvanceRole(TimePoint aNow)
{
  const bool isSilent = aNow - m_lastCoordinatorReport >= kHighestRankedSilence;
  switch (m_coordinatorRole.OnTick(aNow, IsCandidate(aNow), isSilent)) {
    case CoordinatorRole::Step::Read:
      ReadCoordinatorKey();
      break;
    case CoordinatorRole::Step::Claim:
      ClaimCoordinatorKey();
      break;
    case CoordinatorRole::Step::Confirm:
      SendStoreCheck(true);
      break;
    case CoordinatorRole::Step::None:
    case CoordinatorRole::Step::Release:
      break;
  }
  if (m_coordinatorRole.TakeStarted(aNow)) {
    m_deps.m_log.Info("workspaces", "coordinator_started");
    m_coordinator.Start(aNow);
    AnnounceCoordinator(m_deps.m_settings.m_slot);
  }
}

void
WorkspaceService::AnnounceCoordinator(const std::string& aCoordinator)
{
  m_coordinatorSlot = aCoordinator;
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_quotaReport =
    QuotaReport{ .m_coordinator = aCoordinator,
                 .m_term = m_coordinatorRole.ExpectedRevision(),
                 .m_isGranting = m_coordinatorRole.IsLeading(BootNow()) };
  Membership& members = m_deps.m_members();
  for (const MemberPeer& each : members.Sample(members.Members().Present())) {
    m_deps.m_send({ each, message });
  }
}

void
WorkspaceService::ReadCoordinatorKey()
{
  m_deps.m_store.Execute(MakeGet(std::string{ kCoordinatorKey }),
                         [this](const StoreReply& aReply) {
                           m_coordinatorRole.OnRead(BootNow(), aReply);
                           AdvanceRole(BootNow());
                         });
}

void
WorkspaceService::ClaimCoordinatorKey()
{
  m_deps.m_store.Execute(
    MakePut(std::string{ kCoordinatorKey },
            m_coordinatorRole.KeyValue(),
            m_coordinatorRole.ExpectedRevision()),
    [this, sentAt = BootNow()](const StoreReply& aReply) {
      m_coordinatorRole.OnClaimed(BootNow(), sentAt, aReply);
      if (m_coordinatorRole.HoldsKey()) {
        m_deps.m_log.Info("workspaces", "coordinator_claimed");
        AnnounceCoordinator(m_deps.m_settings.m_slot);
      }
    });
}

void
WorkspaceService::OnStoreRestored()
{
  m_reportedConfig = {};
  m_coordinatorRole.OnStoreRestored(BootNow());
}

void
WorkspaceService::Resign()
{
  if (m_coordinatorRole.Resign() == CoordinatorRole::Step::Release) {
    m_deps.m_store.Execute(
      MakePut(std::string{ kCoordinatorKey },
              {},
              m_coordinatorRole.ExpectedRevision()),
      [this](const StoreReply&) { AnnounceCoordinator({}); });
  }
}

}
