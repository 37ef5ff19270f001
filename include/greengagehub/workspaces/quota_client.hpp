#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "greengagehub/workspaces/quota_terms.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace greengagehub {

/// \brief What becomes of a request that needs a token.
struct QuotaDecision
{
  enum class Kind : std::uint8_t
  {
    Admitted,
    /// Tokens are being asked for; the request is to be tried again once a
    /// report has come.
    Waiting,
    /// The workspace has used up its quota.
    OverQuota,
    /// The coordinator is silent and the reserve is used up.
    NoCoordinator,
  };
  Kind m_kind{ Kind::Admitted };
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// \brief A daemon's side of the quotas: spends tokens that the coordinator has
/// granted, and asks for more.
///
/// Answers the load pattern of many workspaces of very unequal size whose
/// callers come to all daemons: a workspace that sends several requests a
/// second here has its tokens asked for ahead, any other asks when a request
/// comes, which costs it one round trip. While the coordinator does not answer,
/// requests are admitted from a reserve that it has assigned before.
class QuotaClient
{
public:
  QuotaClient(QuotaRules aRules, std::uint64_t aSeed);

  /// \param aIsNew false for a request that has waited; GiveUp goes before.
  /// \param aIsLate its answer would come too late to earn its full worth.
  [[nodiscard]] QuotaDecision Take(TimePoint aNow,
                                   WorkspaceId aWorkspace,
                                   bool aIsNew,
                                   bool aIsLate = false);
  /// \brief A request that was Waiting does so no more.
  void GiveUp(WorkspaceId aWorkspace);

  /// \returns The next question, if one is due.
  [[nodiscard]] std::optional<QuotaQuery> NextQuery(TimePoint aNow);
  /// \returns When the question was asked that the report answers; nothing for
  /// a report that comes late or twice.
  [[nodiscard]] std::optional<TimePoint> OnReport(TimePoint aNow,
                                                  const QuotaReport& aReport);
  /// \brief A coordinator grants tokens from now on: questions to others need
  /// not be waited for.
  void OnGranting() noexcept;
  /// \returns Whether questions have gone unanswered for kSilence.
  [[nodiscard]] bool IsCoordinatorSilent(TimePoint aNow) const noexcept;

  /// Between two questions without demand, which renew the proof of freshness.
  static constexpr std::chrono::milliseconds kQueryEvery{ 400 };
  /// After this without an answer the next question may be asked. An answer
  /// that comes later still counts, while its tokens last.
  static constexpr std::chrono::milliseconds kAnswerTime{ 100 };
  /// After this without an answer the reserve is used.
  static constexpr std::chrono::milliseconds kSilence{ 400 };
  /// Demands in one question, which fits a datagram.
  static constexpr std::size_t kMaxDemands = 40;

private:
  struct Lot
  {
    std::uint32_t m_tokens{ 0 };
    TimePoint m_expires{};
  };
  struct Row
  {
    std::deque<Lot> m_lots{};
    /// Requests that wait for a token.
    std::uint32_t m_waiting{ 0 };
    std::uint32_t m_arrivals{ 0 };
    /// Requests a second, moving mean.
    double m_rate{ 0.0 };
    /// Asked in vain: no more before this.
    TimePoint m_refusedUntil{};
    /// Less was granted than wanted: until then tokens go to those in time.
    TimePoint m_scarceUntil{};
    /// Requests that the reserve allows in a window.
    std::uint32_t m_reserve{ 0 };
    std::deque<TimePoint> m_reserveUses{};
    TimePoint m_lastArrival{};
  };

  struct Question
  {
    std::uint64_t m_sequence{ 0 };
    TimePoint m_asked{};
  };

  [[nodiscard]] static bool TakeToken(TimePoint aNow, Row& aRow);
  [[nodiscard]] static std::uint32_t TokensOf(TimePoint aNow, const Row& aRow);
  [[nodiscard]] bool TakeReserve(TimePoint aNow, Row& aRow) const;

  [[nodiscard]] std::vector<QuotaDemand> Demands(TimePoint aNow);
  [[nodiscard]] std::uint32_t Wanted(TimePoint aNow, const Row& aRow);
  void UpdateRates(TimePoint aNow);
  void Apply(TimePoint aNow, TimePoint aAsked, const QuotaGrant& aGrant);
  /// \returns A whole number whose mean is `aReal`.
  [[nodiscard]] std::uint32_t Rounded(double aReal);

  QuotaRules m_rules;
  Random m_random;
  std::unordered_map<WorkspaceId, Row> m_rows;
  std::uint32_t m_waiting{ 0 };
  std::uint64_t m_sequence{ 0 };
  /// Questions without an answer, the newest last.
  std::deque<Question> m_questions;
  /// The first question since the last answer.
  std::optional<TimePoint> m_unansweredSince;
  TimePoint m_nextQuery{};
  TimePoint m_ratesAt{};
};

}
