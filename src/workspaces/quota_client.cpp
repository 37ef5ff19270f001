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
/// Retry delay reported for late requests while tokens are scarce.
constexpr std::chrono::milliseconds kLateRetryAfter{ 1500 };
constexpr std::chrono::milliseconds kOverQuotaRetryAfter{ 500 };
constexpr double kMilliPerUnit = 1000.0;

}

QuotaClient::QuotaClient(QuotaTolerance aTolerance, std::uint64_t aSeed)
  : m_tolerance(aTolerance)
  , m_random(aSeed)
{
}

bool
QuotaClient::TakeToken(TimePoint aNow, WorkspaceState& aState)
{
  while (!aState.m_batches.empty() &&
         (aState.m_batches.front().m_tokens == 0 ||
          aState.m_batches.front().m_expiresAt <= aNow)) {
    aState.m_batches.pop_front();
  }
  if (aState.m_batches.empty()) {
    return false;
  }
  --aState.m_batches.front().m_tokens;
  return true;
}

std::uint32_t
QuotaClient::CountTokens(TimePoint aNow, const WorkspaceState& aState)
{
  std::uint32_t tokens = 0;
  for (const TokenBatch& each : aState.m_batches) {
    tokens += each.m_expiresAt > aNow ? each.m_tokens : 0;
  }
  return tokens;
}

bool
QuotaClient::TakeReserve(TimePoint aNow, WorkspaceState& aState) const
{
  while (!aState.m_reserveUses.empty() &&
         aNow - aState.m_reserveUses.front() >= m_tolerance.m_window) {
    aState.m_reserveUses.pop_front();
  }
  if (aState.m_reserveUses.size() >= aState.m_reserve) {
    return false;
  }
  aState.m_reserveUses.push_back(aNow);
  return true;
}

QuotaDecision
QuotaClient::TryAdmit(TimePoint aNow,
                      WorkspaceId aWorkspace,
                      bool aIsNew,
                      bool aIsLate)
{
  using Kind = QuotaDecision::Kind;
  WorkspaceState& state = m_workspaces[aWorkspace];
  state.m_lastArrival = aNow;
  state.m_arrivals += aIsNew ? 1 : 0;
  if (aIsLate && aNow < state.m_scarceUntil) {
    return { Kind::OverQuota, kLateRetryAfter };
  }
  if (TakeToken(aNow, state)) {
    return {};
  }
  if (aNow < state.m_overQuotaUntil) {
    return { Kind::OverQuota, kOverQuotaRetryAfter };
  }
  if (IsCoordinatorSilent(aNow)) {
    return TakeReserve(aNow, state)
             ? QuotaDecision{}
             : QuotaDecision{ Kind::NoCoordinator, kOverQuotaRetryAfter };
  }
  ++state.m_waiting;
  ++m_waiting;
  return { Kind::Waiting };
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

bool
QuotaClient::IsCoordinatorSilent(TimePoint aNow) const noexcept
{
  return m_unansweredSince && aNow - *m_unansweredSince >= kSilenceTimeout;
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
  if (aNow < aState.m_overQuotaUntil) {
    return 0;
  }
  const double expected = aState.m_rate * kPrefetchPeriod.count();
  const double missing =
    expected - static_cast<double>(CountTokens(aNow, aState));
  // Prefetching small amounts would leave tokens unused at many daemons.
  const bool prefetches = expected >= kMinPrefetchTokens && missing > 0.0;
  return aState.m_waiting + (prefetches ? RoundStochastically(missing) : 0);
}

std::vector<QuotaDemand>
QuotaClient::CollectDemands(TimePoint aNow)
{
  std::vector<QuotaDemand> demands;
  for (auto& [id, state] : m_workspaces) {
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
    state.m_arrivals = 0;
    const bool isIdle =
      state.m_waiting == 0 && aNow - state.m_lastArrival > kIdleExpiry;
    each = isIdle ? m_workspaces.erase(each) : std::next(each);
  }
}

std::optional<QuotaQuery>
QuotaClient::NextQuery(TimePoint aNow)
{
  while (!m_pendingQueries.empty() &&
         aNow - m_pendingQueries.front().m_sentAt >= kTokenLifetime) {
    m_pendingQueries.pop_front();
  }
  const bool isQueryPending =
    !m_pendingQueries.empty() &&
    aNow - m_pendingQueries.back().m_sentAt < kAnswerTimeout;
  const bool isDue = m_waiting > 0 || aNow >= m_nextQueryAt;
  if (isQueryPending || !isDue) {
    return std::nullopt;
  }
  UpdateRates(aNow);
  m_nextQueryAt = aNow + Jittered(m_random, kQueryInterval);
  m_pendingQueries.push_back({ ++m_sequence, aNow });
  m_unansweredSince = m_unansweredSince.value_or(aNow);
  return QuotaQuery{ m_sequence, CollectDemands(aNow) };
}

std::optional<TimePoint>
QuotaClient::OnReport(TimePoint aNow, const QuotaReport& aReport)
{
  const auto query =
    std::find_if(m_pendingQueries.begin(),
                 m_pendingQueries.end(),
                 [&](const PendingQuery& aEach) {
                   return aEach.m_sequence == aReport.m_sequence;
                 });
  if (query == m_pendingQueries.end()) {
    return std::nullopt;
  }
  const TimePoint sentAt = query->m_sentAt;
  m_pendingQueries.erase(query);
  if (aReport.m_isGranting) {
    m_unansweredSince.reset();
  }
  for (const QuotaGrant& each : aReport.m_grants) {
    ApplyGrant(aNow, sentAt, each);
  }
  return sentAt;
}

void
QuotaClient::OnCoordinatorReady() noexcept
{
  m_pendingQueries.clear();
  m_unansweredSince.reset();
}

void
QuotaClient::ApplyGrant(TimePoint aNow,
                        TimePoint aSentAt,
                        const QuotaGrant& aGrant)
{
  const auto entry = m_workspaces.find(aGrant.m_workspace);
  if (entry == m_workspaces.end()) {
    return;
  }
  WorkspaceState& state = entry->second;
  if (aGrant.m_tokens > 0) {
    state.m_batches.push_back({ aGrant.m_tokens, aSentAt + kTokenLifetime });
  }
  state.m_reserve = RoundStochastically(aGrant.m_milliReserve / kMilliPerUnit);
  if (aGrant.m_retryAfter.count() > 0) {
    state.m_overQuotaUntil =
      aNow + std::max(aGrant.m_retryAfter, kMinOverQuotaTime);
    state.m_scarceUntil = aNow + kScarcityTime;
  }
}

}
