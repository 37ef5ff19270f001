#include "greengagehub/workspaces/quota_client.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace greengagehub {

namespace {

/// Tokens are asked for ahead for what comes within this time, within which the
/// next question is answered.
constexpr std::chrono::duration<double> kAhead{ 0.3 };
/// Fewer expected requests are asked for one by one.
constexpr double kLeastAhead = 2.0;
/// Weight of one interval in the moving mean of a rate.
constexpr double kRateWeight = 0.3;
/// Shortest interval over which a rate is measured.
constexpr std::chrono::milliseconds kRateInterval{ 300 };
/// A workspace without requests for this long is forgotten.
constexpr std::chrono::seconds kForgetAfter{ 30 };
constexpr std::chrono::milliseconds kLeastRetryAfter{ 50 };
/// Tokens of a workspace that was refused some count as scarce for so long.
constexpr std::chrono::milliseconds kScarceFor{ 1500 };
/// What a caller is told whose request is late and has no token: others of its
/// workspace are in time.
constexpr std::chrono::milliseconds kLateRetry{ 1500 };
/// What a caller over its quota is told to wait at least.
constexpr std::chrono::milliseconds kOverQuotaRetry{ 500 };
constexpr double kMilli = 1000.0;

}

QuotaClient::QuotaClient(QuotaRules aRules, std::uint64_t aSeed)
  : m_rules(aRules)
  , m_random(aSeed)
{
}

bool
QuotaClient::TakeToken(TimePoint aNow, Row& aRow)
{
  while (!aRow.m_lots.empty() && (aRow.m_lots.front().m_tokens == 0 ||
                                  aRow.m_lots.front().m_expires <= aNow)) {
    aRow.m_lots.pop_front();
  }
  if (aRow.m_lots.empty()) {
    return false;
  }
  --aRow.m_lots.front().m_tokens;
  return true;
}

std::uint32_t
QuotaClient::TokensOf(TimePoint aNow, const Row& aRow)
{
  std::uint32_t tokens = 0;
  for (const Lot& each : aRow.m_lots) {
    tokens += each.m_expires > aNow ? each.m_tokens : 0;
  }
  return tokens;
}

bool
QuotaClient::TakeReserve(TimePoint aNow, Row& aRow) const
{
  while (!aRow.m_reserveUses.empty() &&
         aNow - aRow.m_reserveUses.front() >= m_rules.m_window) {
    aRow.m_reserveUses.pop_front();
  }
  if (aRow.m_reserveUses.size() >= aRow.m_reserve) {
    return false;
  }
  aRow.m_reserveUses.push_back(aNow);
  return true;
}

QuotaDecision
QuotaClient::Take(TimePoint aNow,
                  WorkspaceId aWorkspace,
                  bool aIsNew,
                  bool aIsLate)
{
  using Kind = QuotaDecision::Kind;
  Row& row = m_rows[aWorkspace];
  row.m_lastArrival = aNow;
  row.m_arrivals += aIsNew ? 1 : 0;
  if (aIsLate && aNow < row.m_scarceUntil) {
    return { Kind::OverQuota, kLateRetry };
  }
  if (TakeToken(aNow, row)) {
    return {};
  }
  if (aNow < row.m_refusedUntil) {
    return { Kind::OverQuota, kOverQuotaRetry };
  }
  if (IsCoordinatorSilent(aNow)) {
    return TakeReserve(aNow, row)
             ? QuotaDecision{}
             : QuotaDecision{ Kind::NoCoordinator, kOverQuotaRetry };
  }
  ++row.m_waiting;
  ++m_waiting;
  return { Kind::Waiting };
}

void
QuotaClient::GiveUp(WorkspaceId aWorkspace)
{
  const auto found = m_rows.find(aWorkspace);
  if (found != m_rows.end() && found->second.m_waiting > 0) {
    --found->second.m_waiting;
    --m_waiting;
  }
}

bool
QuotaClient::IsCoordinatorSilent(TimePoint aNow) const noexcept
{
  return m_unansweredSince && aNow - *m_unansweredSince >= kSilence;
}

// ---------------------------------------------------------------------------
// Questions

std::uint32_t
QuotaClient::Rounded(double aReal)
{
  std::uniform_real_distribution<double> even{ 0.0, 1.0 };
  return static_cast<std::uint32_t>(std::max(0.0, aReal) + even(m_random));
}

std::uint32_t
QuotaClient::Wanted(TimePoint aNow, const Row& aRow)
{
  if (aNow < aRow.m_refusedUntil) {
    return 0;
  }
  const double expected = aRow.m_rate * kAhead.count();
  const double missing = expected - static_cast<double>(TokensOf(aNow, aRow));
  // Tokens that lie unused at many daemons are missing where requests come.
  const bool asksAhead = expected >= kLeastAhead && missing > 0.0;
  return aRow.m_waiting + (asksAhead ? Rounded(missing) : 0);
}

std::vector<QuotaDemand>
QuotaClient::Demands(TimePoint aNow)
{
  std::vector<QuotaDemand> demands;
  for (auto& [id, row] : m_rows) {
    const std::uint32_t wanted = Wanted(aNow, row);
    if (wanted > 0) {
      demands.push_back(
        { id,
          wanted,
          static_cast<std::uint32_t>(std::lround(row.m_rate * kMilli)) });
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
        return m_rows[aLeft.m_workspace].m_waiting >
               m_rows[aRight.m_workspace].m_waiting;
      });
    demands.erase(middle, demands.end());
  }
  return demands;
}

void
QuotaClient::UpdateRates(TimePoint aNow)
{
  const std::chrono::duration<double> interval = aNow - m_ratesAt;
  if (aNow - m_ratesAt < kRateInterval) {
    return;
  }
  m_ratesAt = aNow;
  for (auto each = m_rows.begin(); each != m_rows.end();) {
    Row& row = each->second;
    row.m_rate +=
      kRateWeight * (row.m_arrivals / interval.count() - row.m_rate);
    row.m_arrivals = 0;
    const bool isIdle =
      row.m_waiting == 0 && aNow - row.m_lastArrival > kForgetAfter;
    each = isIdle ? m_rows.erase(each) : std::next(each);
  }
}

std::optional<QuotaQuery>
QuotaClient::NextQuery(TimePoint aNow)
{
  while (!m_questions.empty() &&
         aNow - m_questions.front().m_asked >= kTokenLife) {
    m_questions.pop_front();
  }
  const bool isAsking =
    !m_questions.empty() && aNow - m_questions.back().m_asked < kAnswerTime;
  const bool isDue = m_waiting > 0 || aNow >= m_nextQuery;
  if (isAsking || !isDue) {
    return std::nullopt;
  }
  UpdateRates(aNow);
  m_nextQuery = aNow + Jittered(m_random, kQueryEvery);
  m_questions.push_back({ ++m_sequence, aNow });
  m_unansweredSince = m_unansweredSince.value_or(aNow);
  return QuotaQuery{ m_sequence, Demands(aNow) };
}

// ---------------------------------------------------------------------------
// Reports

std::optional<TimePoint>
QuotaClient::OnReport(TimePoint aNow, const QuotaReport& aReport)
{
  const auto question = std::find_if(
    m_questions.begin(), m_questions.end(), [&](const Question& aEach) {
      return aEach.m_sequence == aReport.m_sequence;
    });
  if (question == m_questions.end()) {
    return std::nullopt;
  }
  const TimePoint asked = question->m_asked;
  m_questions.erase(question);
  if (aReport.m_isGranting) {
    m_unansweredSince.reset();
  }
  for (const QuotaGrant& each : aReport.m_grants) {
    Apply(aNow, asked, each);
  }
  return asked;
}

void
QuotaClient::OnGranting() noexcept
{
  m_questions.clear();
  m_unansweredSince.reset();
}

void
QuotaClient::Apply(TimePoint aNow, TimePoint aAsked, const QuotaGrant& aGrant)
{
  const auto found = m_rows.find(aGrant.m_workspace);
  if (found == m_rows.end()) {
    return;
  }
  Row& row = found->second;
  if (aGrant.m_tokens > 0) {
    row.m_lots.push_back({ aGrant.m_tokens, aAsked + kTokenLife });
  }
  row.m_reserve = Rounded(aGrant.m_milliReserve / kMilli);
  if (aGrant.m_retryAfter.count() > 0) {
    row.m_refusedUntil = aNow + std::max(aGrant.m_retryAfter, kLeastRetryAfter);
    row.m_scarceUntil = aNow + kScarceFor;
  }
}

}
