#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"
#include "greengagehub/workspaces/quota_message.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace greengagehub {

struct QuotaDecision
{
  enum class Kind : std::uint8_t
  {
    Admitted,
    /// Retry after the next report.
    Waiting,
    /// The workspace has used up its quota.
    OverQuota,
    /// The coordinator does not answer and the reserve is used up.
    NoCoordinator,
  };
  Kind m_kind{ Kind::Admitted };
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// \brief Admits requests against tokens that the coordinator grants to this
/// daemon, and queries the coordinator for more.
///
/// Tokens are prefetched for busy workspaces; other requests wait one round
/// trip for their token. While the coordinator does not answer, requests are
/// admitted from the reserve that it assigned earlier.
class QuotaClient
{
public:
  QuotaClient(QuotaTolerance aTolerance, std::uint64_t aSeed);

  /// \brief Consumes a token, or part of the reserve, for one request.
  /// \param aIsNew false for the retry of a waiting request, after CancelWait.
  /// \param aIsLate the response would exceed the route's target latency.
  [[nodiscard]] QuotaDecision TryAdmit(TimePoint aNow,
                                       WorkspaceId aWorkspace,
                                       bool aIsNew,
                                       bool aIsLate = false);
  /// \brief Ends the wait of one request whose decision was Waiting.
  void CancelWait(WorkspaceId aWorkspace);

  [[nodiscard]] std::optional<QuotaQuery> NextQuery(TimePoint aNow);
  /// \returns When the answered query was sent; nothing if late or duplicate.
  [[nodiscard]] std::optional<TimePoint> OnReport(TimePoint aNow,
                                                  const QuotaReport& aReport);
  /// \brief Drops pending queries, so that the next one is sent at once.
  void OnCoordinatorReady() noexcept;
  /// \returns Whether no coordinator has answered for kSilenceTimeout.
  [[nodiscard]] bool IsCoordinatorSilent(TimePoint aNow) const noexcept;

  /// Interval of queries without demands, which renew the freshness proof.
  static constexpr std::chrono::milliseconds kQueryInterval{ 400 };
  /// Time without an answer after which the next query may be sent.
  static constexpr std::chrono::milliseconds kAnswerTimeout{ 100 };
  /// Time without an answer after which the reserve is used.
  static constexpr std::chrono::milliseconds kSilenceTimeout{ 400 };
  /// Maximum number of demands per query, so that it fits in a datagram.
  static constexpr std::size_t kMaxDemands = 40;

private:
  struct TokenBatch
  {
    std::uint32_t m_tokens{ 0 };
    TimePoint m_expiresAt{};
  };
  struct WorkspaceState
  {
    std::deque<TokenBatch> m_batches{};
    std::uint32_t m_waiting{ 0 };
    /// Requests since the last update of m_rate.
    std::uint32_t m_arrivals{ 0 };
    /// Requests per second, moving average.
    double m_rate{ 0.0 };
    /// After a partial grant, no tokens are requested and requests without a
    /// token are rejected until then.
    TimePoint m_overQuotaUntil{};
    /// After a partial grant, late requests are rejected until then.
    TimePoint m_scarceUntil{};
    /// Requests per quota window that may be admitted from the reserve.
    std::uint32_t m_reserve{ 0 };
    std::deque<TimePoint> m_reserveUses{};
    TimePoint m_lastArrival{};
  };

  struct PendingQuery
  {
    std::uint64_t m_sequence{ 0 };
    TimePoint m_sentAt{};
  };

  [[nodiscard]] static bool TakeToken(TimePoint aNow, WorkspaceState& aState);
  [[nodiscard]] static std::uint32_t CountTokens(TimePoint aNow,
                                                 const WorkspaceState& aState);
  [[nodiscard]] bool TakeReserve(TimePoint aNow, WorkspaceState& aState) const;

  [[nodiscard]] std::vector<QuotaDemand> CollectDemands(TimePoint aNow);
  [[nodiscard]] std::uint32_t CountWantedTokens(TimePoint aNow,
                                                const WorkspaceState& aState);
  void UpdateRates(TimePoint aNow);
  void ApplyGrant(TimePoint aNow, TimePoint aSentAt, const QuotaGrant& aGrant);
  /// \returns `aValue` rounded up or down at random, with `aValue` as mean.
  [[nodiscard]] std::uint32_t RoundStochastically(double aValue);

  QuotaTolerance m_tolerance;
  Random m_random;
  std::unordered_map<WorkspaceId, WorkspaceState> m_workspaces;
  std::uint32_t m_waiting{ 0 };
  std::uint64_t m_sequence{ 0 };
  /// Unanswered queries, newest last.
  std::deque<PendingQuery> m_pendingQueries;
  /// When the first query since the last coordinator answer was sent.
  std::optional<TimePoint> m_unansweredSince;
  TimePoint m_nextQueryAt{};
  TimePoint m_ratesUpdatedAt{};
};

}
