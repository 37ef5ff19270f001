#include "greengagehub/daemon/workspace_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"
#include "platform/names.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace greengagehub {

namespace {

/// Without a coordinator for so long, the first daemon of the fleet becomes it.
constexpr std::chrono::milliseconds kSilentForFirst{ 600 };
/// The same for a speaker of a domain, and for any other daemon; the first may
/// be turned away by the store.
constexpr std::chrono::milliseconds kSilentForSpeaker{ 800 };
constexpr std::chrono::milliseconds kSilentForAny{ 6000 };
/// Between two looks at whether this daemon is the first, which pass over all
/// members.
constexpr std::chrono::milliseconds kRankEvery{ 500 };
/// A daemon whose proof is older than one part in so many of the bound reads
/// the store itself.
constexpr int kStalePart = 3;
constexpr std::chrono::milliseconds kReadEvery{ 1000 };
/// Proofs are accepted for this much less than the bound: what a request takes
/// from its caller to here.
constexpr std::chrono::milliseconds kBoundMargin{ 200 };
/// A caller refused for want of a proof may come back after this.
constexpr std::chrono::milliseconds kNotCurrentRetry{ 1000 };

std::chrono::milliseconds
ProofBound(const Settings& aSettings)
{
  const auto bound = aSettings.m_workspaces.m_revokeWithin;
  return bound > 2 * kBoundMargin ? bound - kBoundMargin : bound;
}

}

WorkspaceService::WorkspaceService(Parts aParts,
                                   std::uint64_t aProcess,
                                   std::uint64_t aSeed)
  : m_parts(std::move(aParts))
  , m_random(aSeed)
  , m_freshness(ProofBound(m_parts.m_settings))
  , m_client(m_parts.m_settings.m_workspaces.m_quota, m_random())
  , m_coordinator(m_parts.m_settings.m_workspaces.m_quota)
  , m_role(m_parts.m_settings.m_slot, aProcess, BootNow(), m_random())
  , m_timeout(m_parts.m_loop)
  , m_coordinatorHeardAt(BootNow())
  , m_patience(Below(m_random, kSilentForSpeaker.count()))
{
}

// ---------------------------------------------------------------------------
// Observers

std::optional<std::chrono::milliseconds>
WorkspaceService::ProofAge() const
{
  const auto provenAt = m_freshness.ProvenAt();
  if (!provenAt) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(BootNow() - *provenAt);
}

bool
WorkspaceService::IsCoordinator() const
{
  return m_role.IsLeading(BootNow());
}

StoreConfig
WorkspaceService::KnownConfig() const
{
  const StoreConfig read = m_parts.m_storeConfig();
  return m_reported.m_version > read.m_version ? m_reported : read;
}

// ---------------------------------------------------------------------------
// Requests

WorkspaceAdmission
WorkspaceService::Admit(std::string_view aKey, bool aIsNew, bool aIsLate)
{
  const TimePoint now = BootNow();
  if (!m_freshness.IsFresh(now)) {
    return { .m_refusal = RefusalReason::KeysNotCurrent,
             .m_retryAfter = kNotCurrentRetry };
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
    m_client.Take(now, workspace->m_id, aIsNew, aIsLate);
  switch (decision.m_kind) {
    case QuotaDecision::Kind::Admitted:
      break;
    case QuotaDecision::Kind::Waiting:
      Query();
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
  const auto& active = m_parts.m_holder.Active();
  m_table.Update(active->m_content);
  m_freshness.OnVersion(active->m_version);
}

void
WorkspaceService::OnConfirmed(TimePoint aAsked, const StoreConfig& aConfig)
{
  m_freshness.OnProof({ aAsked, aConfig.m_version });
}

// ---------------------------------------------------------------------------
// Questions and reports

std::optional<MemberPeer>
WorkspaceService::WhomToAsk()
{
  Membership& members = m_parts.m_members();
  const bool asksKnown =
    !m_client.IsCoordinatorSilent(BootNow()) || Below(m_random, 2) == 0;
  if (!m_coordinatorSlot.empty() && asksKnown) {
    const auto index = members.Members().Find(m_coordinatorSlot);
    if (index) {
      return members.PeerOf(members.Members().At(*index).m_record);
    }
  }
  // Anybody may know who it is.
  if (auto first = members.FirstOfAll(); first && Below(m_random, 2) == 0) {
    return first;
  }
  auto any = members.Sample(1);
  return any.empty() ? std::nullopt : std::optional{ any.front() };
}

void
WorkspaceService::Query()
{
  const TimePoint now = BootNow();
  auto query = m_client.NextQuery(now);
  if (!query) {
    return;
  }
  if (m_role.IsLeading(now)) {
    const QuotaReport report = Answer(m_parts.m_settings.m_slot, *query);
    // Not from within the request that asks.
    asio::post(m_parts.m_loop,
               [this, report] { OnReport(m_parts.m_settings.m_slot, report); });
    return;
  }
  ArmTimeout();
  if (const auto peer = WhomToAsk()) {
    SendQuery(*peer, std::move(*query));
  }
}

void
WorkspaceService::ArmTimeout()
{
  m_timeout.expires_after(QuotaClient::kAnswerTime);
  m_timeout.async_wait([this](const asio::error_code& aError) {
    if (!aError && m_onDecided) {
      // An answer is late: what waits is asked for again, or decided without.
      m_onDecided();
      Query();
    }
  });
}

void
WorkspaceService::SendQuery(const MemberPeer& aTo, QuotaQuery aQuery)
{
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_quotaQuery = std::move(aQuery);
  m_parts.m_send({ aTo, std::move(message) });
}

QuotaReport
WorkspaceService::Answer(std::string_view aSlot, const QuotaQuery& aQuery)
{
  const TimePoint now = BootNow();
  QuotaReport report{ .m_sequence = aQuery.m_sequence,
                      .m_proofAge = ProofAge() };
  report.m_config.m_version = m_parts.m_holder.GetVersion();
  const StoreConfig known = KnownConfig();
  if (known.m_version == report.m_config.m_version) {
    report.m_config = known;
  }
  const bool isLeading = m_role.IsLeading(now);
  if (isLeading || m_role.IsSettling(now)) {
    report.m_coordinator = m_parts.m_settings.m_slot;
    report.m_term = m_role.Expected();
    report.m_isGranting = isLeading;
  } else if (!m_role.HoldsKey() && !m_client.IsCoordinatorSilent(now)) {
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
      Answer(aMessage.m_sender.m_slot, *aMessage.m_quotaQuery);
    m_parts.m_send(
      { m_parts.m_members().PeerOf(aMessage.m_sender), std::move(answer) });
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
    // It has resigned, was deposed or is not confirmed any more.
    m_coordinatorSlot.clear();
    m_coordinatorHeardAt = now - kSilentForSpeaker;
    m_role.OnStoodDown(aReport.m_term);
  }
  if (isFromCoordinator) {
    m_coordinatorHeardAt = now;
    m_role.OnTerm(aReport.m_term);
  }
  if (aReport.m_isGranting && aReport.m_sequence == 0) {
    m_client.OnGranting();
    Query();
    return;
  }
  const auto asked = m_client.OnReport(now, aReport);
  if (!asked) {
    return;
  }
  m_timeout.cancel();
  if (aReport.m_proofAge) {
    m_freshness.OnProof(
      { *asked - *aReport.m_proofAge, aReport.m_config.m_version });
    m_reported = aReport.m_config;
  }
  if (m_onDecided) {
    m_onDecided();
  }
  Query();
}

// ---------------------------------------------------------------------------
// Time

void
WorkspaceService::OnTick()
{
  const TimePoint now = BootNow();
  if (m_table.IsEmpty() || !m_parts.m_settings.m_platform.m_enabled) {
    m_coordinatorHeardAt = now;
    return;
  }
  FollowRole(now);
  ReadWhenStale(now);
  Query();
}

bool
WorkspaceService::IsCandidate(TimePoint aNow)
{
  if (!m_parts.m_hasJoined() || !m_parts.m_hearsOthers()) {
    return false;
  }
  const Membership& members = m_parts.m_members();
  if (aNow >= m_nextRank) {
    m_nextRank = aNow + kRankEvery;
    m_isFirst = members.IsFirstOfAll();
  }
  const auto silent = aNow - m_coordinatorHeardAt;
  return m_isFirst ||
         (members.SpeaksForDomain() &&
          silent >= kSilentForSpeaker + m_patience) ||
         silent >= kSilentForAny + m_patience;
}

void
WorkspaceService::FollowRole(TimePoint aNow)
{
  const bool isSilent = aNow - m_coordinatorHeardAt >= kSilentForFirst;
  switch (m_role.OnTick(aNow, IsCandidate(aNow), isSilent)) {
    case CoordinatorRole::Step::Read:
      ReadKey();
      break;
    case CoordinatorRole::Step::Claim:
      Claim();
      break;
    case CoordinatorRole::Step::Confirm:
      SendCheck(true);
      break;
    case CoordinatorRole::Step::None:
    case CoordinatorRole::Step::Release:
      break;
  }
  if (m_role.TakeStarted(aNow)) {
    m_parts.m_log.Info("workspaces", "coordinator_started");
    m_coordinator.Start(aNow);
    Announce(m_parts.m_settings.m_slot);
  }
}

void
WorkspaceService::Announce(const std::string& aCoordinator)
{
  m_coordinatorSlot = aCoordinator;
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_quotaReport =
    QuotaReport{ .m_coordinator = aCoordinator,
                 .m_term = m_role.Expected(),
                 .m_isGranting = m_role.IsLeading(BootNow()) };
  Membership& members = m_parts.m_members();
  for (const MemberPeer& each : members.Sample(members.Members().Present())) {
    m_parts.m_send({ each, message });
  }
}

void
WorkspaceService::ReadWhenStale(TimePoint aNow)
{
  const auto provenAt = m_freshness.ProvenAt();
  const auto bound = m_parts.m_settings.m_workspaces.m_revokeWithin;
  const bool isStale = !provenAt || aNow - *provenAt > bound / kStalePart;
  const bool reads = m_freshness.IsEnforced() && isStale && aNow >= m_nextRead;
  if (reads) {
    m_nextRead = aNow + Jittered(m_random, kReadEvery);
    SendCheck(false);
  }
}

// ---------------------------------------------------------------------------
// The store

void
WorkspaceService::SendCheck(bool aIsConfirm)
{
  const Check check{ BootNow(), KnownConfig(), aIsConfirm };
  StoreRequest request =
    MakeCheck(std::string{ platform::kConfigKey }, check.m_config.m_revision);
  if (aIsConfirm) {
    request.m_alsoKey = kCoordinatorKey;
    request.m_alsoExpected = m_role.Expected();
  }
  m_parts.m_store.Carry(std::move(request), [this, check](StoreReply aReply) {
    OnChecked(check, std::move(aReply));
  });
}

void
WorkspaceService::OnChecked(const Check& aCheck, StoreReply aReply)
{
  using Status = StoreReply::Status;
  const TimePoint now = BootNow();
  const bool isOk = aReply.m_status == Status::Ok;
  const bool isConflict = aReply.m_status == Status::Conflict;
  const bool configDiffers =
    isConflict && aReply.m_revision != aCheck.m_config.m_revision;
  if (isOk) {
    m_freshness.OnProof({ aCheck.m_sent, aCheck.m_config.m_version });
  }
  if (aCheck.m_isConfirm && m_role.HoldsKey()) {
    if (isOk) {
      m_role.OnConfirmed(now, aCheck.m_sent, true);
      m_coordinatorHeardAt = now;
    } else if (isConflict && !configDiffers) {
      m_parts.m_log.Info("workspaces", "coordinator_deposed");
      m_role.OnConfirmed(now, aCheck.m_sent, false);
    } else {
      m_role.OnFailed(now);
    }
    if (m_role.StandDownIfFailing(now)) {
      m_parts.m_log.Warning("workspaces", "coordinator_stood_down");
      Announce({});
    }
  }
  if (configDiffers && !aReply.m_value.empty()) {
    m_parts.m_onDocument(std::move(aReply));
    const StoreConfig read = m_parts.m_storeConfig();
    m_freshness.OnProof({ aCheck.m_sent, read.m_version });
  }
}

void
WorkspaceService::ReadKey()
{
  m_parts.m_store.Carry(MakeGet(std::string{ kCoordinatorKey }),
                        [this](const StoreReply& aReply) {
                          m_role.OnRead(BootNow(), aReply);
                          FollowRole(BootNow());
                        });
}

void
WorkspaceService::Claim()
{
  m_parts.m_store.Carry(
    MakePut(std::string{ kCoordinatorKey }, m_role.Value(), m_role.Expected()),
    [this, sent = BootNow()](const StoreReply& aReply) {
      m_role.OnClaimed(BootNow(), sent, aReply);
      if (m_role.HoldsKey()) {
        m_parts.m_log.Info("workspaces", "coordinator_claimed");
        Announce(m_parts.m_settings.m_slot);
      }
    });
}

void
WorkspaceService::OnStoreRestored()
{
  m_reported = {};
  m_role.OnStoreRestored(BootNow());
}

void
WorkspaceService::Resign()
{
  if (m_role.Resign() == CoordinatorRole::Step::Release) {
    m_parts.m_store.Carry(
      MakePut(std::string{ kCoordinatorKey }, {}, m_role.Expected()),
      [this](const StoreReply&) { Announce({}); });
  }
}

}
