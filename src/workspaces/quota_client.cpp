#include "greengagehub/workspaces/quota_client.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace greengagehub {

namespace {

/// Tokens are prefetched for the requests expected in this period.
constexpr std::chrono::duration<double> kPrefetchPeriod{ 0.3 };
constexpr double kMinPrefetchTokens = 2.0;
/// Weight of the newest interval in the moving average of a rate.
constexpr double kRateSmoothing = 0.3;
constexpr std::chrono::milliseconds kMinRateInterval{ 300 };
/// State of a workspace without requests is removed after this time.
constexpr std::chrono::seconds kIdleExpiry{ 30 };
/// Shortest time without demands after a partial grant.
constexpr std::chrono::milliseconds kMinOverQuotaTime{ 50 };
/// Time after a partial grant during which late requests are rejected.
constexpr std::chrono::milliseconds kScarcityTime{ 1500 };
/// A request waits for a refill that is expected within this time.
constexpr std::chrono::milliseconds kMaxRefillWait{ 250 };
/// Requests of a workspace that wait for a refill at any grant rate.
constexpr double kMinRefillWaiters = 4.0;
/// Time after the silence of a shard in which buckets, which start empty, are
/// expected to refill.
constexpr std::chrono::milliseconds kRecoveryTime{ 3000 };
/// Time after a denial by all shards in which a workspace is taken to exceed
/// its quota.
constexpr std::chrono::milliseconds kOverQuotaMemory{ 5000 };
/// Retry delay reported for late requests while tokens are scarce.
constexpr std::chrono::milliseconds kLateRetryAfter{ 1500 };
constexpr std::chrono::milliseconds kOverQuotaRetryAfter{ 500 };
constexpr double kMilliPerUnit = 1000.0;
constexpr std::uint32_t kMilliPerUnitInteger = 1000;
/// With several shards, each gets a query of this daemon after at most this
/// many times kQueryInterval.
constexpr std::uint32_t kMaxIdleFactor = 3;

}

QuotaClient::QuotaClient(QuotaTolerance aTolerance,
                         std::uint64_t aSeed,
                         std::uint32_t aShards)
  : m_tolerance(aTolerance)
  , m_random(aSeed)
  , m_shards(std::clamp(aShards, 1U, kMaxQuotaShards))
  , m_daemon(m_random())
{
}

QuotaDecision
QuotaClient::TryAdmit(TimePoint aNow,
                      WorkspaceId aWorkspace,
                      bool aIsNew,
                      bool aIsLate)
{
  WorkspaceState& state = m_workspaces[aWorkspace];
  state.m_lastArrival = aNow;
  state.m_arrivals += aIsNew ? 1 : 0;
  if (aIsLate && aNow < state.m_scarceUntil) {
    return { QuotaDecision::Kind::OverQuota, kLateRetryAfter };
  }
  if (const auto token = state.m_purse.TakeToken(aNow)) {
    return { .m_receipt = *token };
  }
  return DecideWithoutToken(aNow, aWorkspace, state);
}

QuotaDecision
QuotaClient::DecideWithoutToken(TimePoint aNow,
                                WorkspaceId aWorkspace,
                                WorkspaceState& aState)
{
  using Kind = QuotaDecision::Kind;
  const auto shard = SelectShard(aNow, aWorkspace, aState);
  const bool mayAnswer = shard && !m_links.at(*shard).m_link.IsSilent(aNow);
  if (!mayAnswer && IsReserveOpen(aNow)) {
    if (const auto use =
          aState.m_purse.TakeReserve(aNow, m_tolerance.m_window)) {
      return { .m_receipt = *use };
    }
  }
  const bool hasAnswers = CountSilentShards(aNow) < m_shards;
  if (!mayAnswer && (!shard || (hasAnswers && m_shards > 1))) {
    if (AwaitsRefill(aNow, aState)) {
      return Wait(aState, true);
    }
    aState.m_overQuotaAt = IsComplete(aNow) ? aNow : aState.m_overQuotaAt;
    return { Kind::OverQuota, kOverQuotaRetryAfter };
  }
  if (!mayAnswer && IsCoordinatorSilent(aNow)) {
    return { Kind::NoCoordinator, kOverQuotaRetryAfter };
  }
  return Wait(aState, false);
}

QuotaDecision
QuotaClient::Wait(WorkspaceState& aState, bool aIsForRefill) noexcept
{
  ++aState.m_waiting;
  ++m_waiting;
  return { .m_kind = QuotaDecision::Kind::Waiting,
           .m_isForRefill = aIsForRefill };
}

std::optional<TimePoint>
QuotaClient::NextRefill(TimePoint aNow, const WorkspaceState& aState) const
{
  std::optional<TimePoint> next;
  for (std::uint32_t i = 0; i < m_shards; ++i) {
    const TimePoint end = aState.m_deniedUntil.at(i);
    if (end > aNow && !m_links.at(i).m_link.IsSilent(aNow)) {
      next = std::min(next.value_or(end), end);
    }
  }
  return next;
}

bool
QuotaClient::IsComplete(TimePoint aNow) const noexcept
{
  return aNow - m_lastSilentAt > kRecoveryTime;
}

bool
QuotaClient::AwaitsRefill(TimePoint aNow, const WorkspaceState& aState) const
{
  // One that was over its quota with all shards in service needs more than a
  // refill.
  const bool wasOverQuota = aNow - aState.m_overQuotaAt < kOverQuotaMemory;
  if (IsComplete(aNow) || wasOverQuota) {
    return false;
  }
  const auto refill = NextRefill(aNow, aState);
  const std::chrono::duration<double> maxWait = kMaxRefillWait;
  // Of more requests, some would wait in vain.
  const double servable =
    kMinRefillWaiters + aState.m_grantRate * maxWait.count();
  return refill && *refill - aNow <= kMaxRefillWait &&
         aState.m_waiting < servable;
}

void
QuotaClient::CancelWait(WorkspaceId aWorkspace)
{
  const auto entry = m_workspaces.find(aWorkspace);
  if (entry != m_workspaces.end() && entry->second.m_waiting > 0) {
    --entry->second.m_waiting;
    --m_waiting;
  }
}

void
QuotaClient::Return(TimePoint aNow,
                    WorkspaceId aWorkspace,
                    const QuotaReceipt& aReceipt)
{
  const auto entry = m_workspaces.find(aWorkspace);
  if (entry != m_workspaces.end()) {
    entry->second.m_purse.Return(aNow, aReceipt);
  }
}

void
QuotaClient::OnLimitLowered(WorkspaceId aWorkspace)
{
  const auto entry = m_workspaces.find(aWorkspace);
  if (entry != m_workspaces.end()) {
    entry->second.m_purse.Clear();
  }
}

void
QuotaClient::SetShardCount(std::uint32_t aShards)
{
  const std::uint32_t shards = std::clamp(aShards, 1U, kMaxQuotaShards);
  for (std::uint32_t i = m_shards; i < shards; ++i) {
    m_links.at(i) = {};
  }
  m_shards = shards;
}

std::optional<std::uint32_t>
QuotaClient::SelectShard(TimePoint aNow,
                         WorkspaceId aWorkspace,
                         const WorkspaceState& aState) const
{
  const auto first = static_cast<std::uint32_t>(
    aState.m_nextShard.value_or(aWorkspace ^ m_daemon) % m_shards);
  std::optional<std::uint32_t> silent;
  for (std::uint32_t i = 0; i < m_shards; ++i) {
    const std::uint32_t shard = (first + i) % m_shards;
    if (HasDenied(aNow, aState, shard)) {
      continue;
    }
    const ShardLink& link = m_links.at(shard).m_link;
    if (!link.IsSilent(aNow)) {
      return shard;
    }
    const bool isLongestAgo =
      !silent || link.LastSentAt() < m_links.at(*silent).m_link.LastSentAt();
    silent = isLongestAgo ? shard : *silent;
  }
  return silent;
}

bool
QuotaClient::IsReserveOpen(TimePoint aNow) const
{
  return m_shards == 1 ? IsCoordinatorSilent(aNow)
                       : CountSilentShards(aNow) > 0;
}

std::uint32_t
QuotaClient::CountSilentShards(TimePoint aNow) const
{
  return static_cast<std::uint32_t>(std::count_if(
    m_links.begin(), m_links.begin() + m_shards, [&](const LinkState& aEach) {
      return aEach.m_link.IsSilent(aNow);
    }));
}

bool
QuotaClient::IsCoordinatorSilent(TimePoint aNow) const noexcept
{
  return std::all_of(
    m_links.begin(), m_links.begin() + m_shards, [&](const LinkState& aEach) {
      return aEach.m_link.SilentFor(aNow) >= kSilenceTimeout;
    });
}

std::uint32_t
QuotaClient::RoundStochastically(double aValue)
{
  std::uniform_real_distribution<double> uniform{ 0.0, 1.0 };
  return static_cast<std::uint32_t>(std::max(0.0, aValue) + uniform(m_random));
}

std::uint32_t
QuotaClient::CountWantedTokens(TimePoint aNow, const WorkspaceState& aState)
{
  const double expected = aState.m_rate * kPrefetchPeriod.count();
  const double missing =
    expected - static_cast<double>(aState.m_purse.CountTokens(aNow));
  // Prefetching small amounts would leave tokens unused at many daemons.
  const bool prefetches = expected >= kMinPrefetchTokens && missing > 0.0;
  return aState.m_waiting + (prefetches ? RoundStochastically(missing) : 0);
}

std::vector<QuotaDemand>
QuotaClient::CollectDemands(TimePoint aNow, std::uint32_t aShard)
{
  std::vector<QuotaDemand> demands;
  for (auto& [id, state] : m_workspaces) {
    if (SelectShard(aNow, id, state) != aShard) {
      continue;
    }
    const std::uint32_t wanted = CountWantedTokens(aNow, state);
    if (wanted > 0) {
      demands.push_back({ id,
                          wanted,
                          static_cast<std::uint32_t>(
                            std::lround(state.m_rate * kMilliPerUnit)) });
    }
  }
  if (demands.size() > kMaxDemands) {
    const auto middle =
      demands.begin() + static_cast<std::ptrdiff_t>(kMaxDemands);
    std::partial_sort(
      demands.begin(),
      middle,
      demands.end(),
      [this](const QuotaDemand& aLeft, const QuotaDemand& aRight) {
        return m_workspaces[aLeft.m_workspace].m_waiting >
               m_workspaces[aRight.m_workspace].m_waiting;
      });
    demands.erase(middle, demands.end());
  }
  return demands;
}

void
QuotaClient::UpdateRates(TimePoint aNow)
{
  const std::chrono::duration<double> interval = aNow - m_ratesUpdatedAt;
  if (aNow - m_ratesUpdatedAt < kMinRateInterval) {
    return;
  }
  m_ratesUpdatedAt = aNow;
  for (auto each = m_workspaces.begin(); each != m_workspaces.end();) {
    WorkspaceState& state = each->second;
    state.m_rate +=
      kRateSmoothing * (state.m_arrivals / interval.count() - state.m_rate);
    state.m_grantRate +=
      kRateSmoothing * (state.m_grants / interval.count() - state.m_grantRate);
    state.m_arrivals = 0;
    state.m_grants = 0;
    const bool isIdle =
      state.m_waiting == 0 && aNow - state.m_lastArrival > kIdleExpiry;
    each = isIdle ? m_workspaces.erase(each) : std::next(each);
  }
}

bool
QuotaClient::HasWaiting(TimePoint aNow, std::uint32_t aShard) const
{
  return m_waiting > 0 &&
         std::any_of(
           m_workspaces.begin(), m_workspaces.end(), [&](const auto& aEach) {
             return aEach.second.m_waiting > 0 &&
                    SelectShard(aNow, aEach.first, aEach.second) == aShard;
           });
}

std::chrono::milliseconds
QuotaClient::IdleInterval()
{
  const std::uint32_t factor = std::min(m_shards, kMaxIdleFactor);
  return Jittered(m_random, kQueryInterval * factor);
}

std::optional<QuotaQuery>
QuotaClient::QueryShard(TimePoint aNow, std::uint32_t aShard)
{
  LinkState& state = m_links.at(aShard);
  if (state.m_link.IsAwaitingAnswer(aNow)) {
    return std::nullopt;
  }
  const bool isSilent = state.m_link.IsSilent(aNow);
  // A silent shard is probed sooner than the others.
  const bool isIdleDue =
    aNow >= state.m_nextIdleAt ||
    (isSilent && aNow - state.m_link.LastSentAt() >= kQueryInterval);
  std::vector<QuotaDemand> demands;
  const bool isPrefetchDue = aNow >= state.m_nextPrefetchAt;
  if (!isIdleDue && !isPrefetchDue && !HasWaiting(aNow, aShard)) {
    return std::nullopt;
  }
  UpdateRates(aNow);
  demands = CollectDemands(aNow, aShard);
  if (isPrefetchDue) {
    state.m_nextPrefetchAt = aNow + Jittered(m_random, kQueryInterval);
  }
  if (demands.empty() && !isIdleDue) {
    return std::nullopt;
  }
  state.m_nextIdleAt = aNow + IdleInterval();
  state.m_nextPrefetchAt = aNow + Jittered(m_random, kQueryInterval);
  state.m_link.OnSent(aNow, ++m_sequence);
  return QuotaQuery{ .m_sequence = m_sequence,
                     .m_demands = std::move(demands),
                     .m_shard = aShard };
}

std::optional<QuotaQuery>
QuotaClient::NextQuery(TimePoint aNow)
{
  if (CountSilentShards(aNow) > 0) {
    m_lastSilentAt = aNow;
  }
  for (std::uint32_t i = 0; i < m_shards; ++i) {
    if (auto query = QueryShard(aNow, i)) {
      return query;
    }
  }
  return std::nullopt;
}

std::optional<TimePoint>
QuotaClient::NextTimeout(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (std::uint32_t i = 0; i < m_shards; ++i) {
    const ShardLink& link = m_links.at(i).m_link;
    if (link.IsAwaitingAnswer(aNow)) {
      const TimePoint timeout = link.LastSentAt() + kAnswerTimeout;
      next = std::min(next.value_or(timeout), timeout);
    }
  }
  if (m_waiting == 0) {
    return next;
  }
  for (const auto& [id, state] : m_workspaces) {
    const auto refill =
      state.m_waiting > 0 ? NextRefill(aNow, state) : std::nullopt;
    if (refill) {
      next = std::min(next.value_or(*refill), *refill);
    }
  }
  return next;
}

std::optional<TimePoint>
QuotaClient::OnReport(TimePoint aNow, const QuotaReport& aReport)
{
  if (aReport.m_shard >= kMaxQuotaShards) {
    return std::nullopt;
  }
  const auto sentAt =
    m_links.at(aReport.m_shard)
      .m_link.OnAnswer(aNow, aReport.m_sequence, aReport.m_isGranting);
  if (sentAt) {
    for (const QuotaGrant& each : aReport.m_grants) {
      ApplyGrant(aNow, *sentAt, aReport.m_shard, each);
    }
  }
  return sentAt;
}

void
QuotaClient::OnCoordinatorReady(std::uint32_t aShard)
{
  if (aShard < kMaxQuotaShards) {
    m_links.at(aShard).m_link.OnReady();
  }
}

void
QuotaClient::ApplyGrant(TimePoint aNow,
                        TimePoint aSentAt,
                        std::uint32_t aShard,
                        const QuotaGrant& aGrant)
{
  const auto entry = m_workspaces.find(aGrant.m_workspace);
  if (entry == m_workspaces.end()) {
    return;
  }
  WorkspaceState& state = entry->second;
  state.m_grants += aGrant.m_tokens;
  state.m_purse.AddTokens(aGrant.m_tokens, aSentAt + kTokenLifetime);
  state.m_purse.SetReserve(aShard,
                           aGrant.m_milliReserve / kMilliPerUnitInteger,
                           aSentAt + kReserveLifetime);
  // Shards have the same parts, so that each has to get the same demand.
  state.m_nextShard = aShard + 1;
  if (aGrant.m_retryAfter.count() > 0) {
    state.m_deniedUntil.at(aShard) =
      aNow + std::max(aGrant.m_retryAfter, kMinOverQuotaTime);
    const auto next = SelectShard(aNow, aGrant.m_workspace, state);
    if (!next || m_links.at(*next).m_link.IsSilent(aNow)) {
      state.m_scarceUntil = aNow + kScarcityTime;
    }
  }
}

std::vector<WorkspaceQuotaStatus>
QuotaClient::Status(TimePoint aNow) const
{
  std::vector<WorkspaceQuotaStatus> all;
  for (const auto& [id, state] : m_workspaces) {
    const TimePoint overQuotaUntil = *std::min_element(
      state.m_deniedUntil.begin(), state.m_deniedUntil.begin() + m_shards);
    all.push_back(
      { .m_workspace = id,
        .m_tokens = state.m_purse.CountTokens(aNow),
        .m_waiting = state.m_waiting,
        .m_rate = state.m_rate,
        .m_reserve = state.m_purse.ReserveShare(aNow),
        .m_overQuotaFor = std::chrono::ceil<std::chrono::milliseconds>(
          std::max(Duration::zero(), overQuotaUntil - aNow)) });
  }
  std::sort(
    all.begin(),
    all.end(),
    [](const WorkspaceQuotaStatus& aLeft, const WorkspaceQuotaStatus& aRight) {
      return aLeft.m_rate > aRight.m_rate;
    });
  return all;
}

}
