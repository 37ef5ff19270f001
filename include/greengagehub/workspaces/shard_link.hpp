#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace greengagehub {

/// \brief Queries of a daemon to the coordinator of one quota shard, and
/// whether that coordinator answers.
class ShardLink
{
public:
  /// \returns Whether a query was sent so recently that its answer is awaited.
  [[nodiscard]] bool IsAwaitingAnswer(TimePoint aNow) const noexcept;
  /// \returns Whether a query was not answered in time, or the coordinator
  /// answered last that it does not grant tokens.
  [[nodiscard]] bool IsSilent(TimePoint aNow) const noexcept;
  /// \returns Time since the first query that has no granting answer.
  [[nodiscard]] Duration SilentFor(TimePoint aNow) const noexcept
  {
    return m_unansweredSince ? aNow - *m_unansweredSince : Duration::zero();
  }
  [[nodiscard]] TimePoint LastSentAt() const noexcept { return m_lastSentAt; }

  void OnSent(TimePoint aNow, std::uint64_t aSequence);
  /// \returns When the answered query was sent; nothing if late or duplicate.
  [[nodiscard]] std::optional<TimePoint> OnAnswer(TimePoint aNow,
                                                  std::uint64_t aSequence,
                                                  bool aIsGranting);
  /// \brief A coordinator has started to grant tokens.
  void OnReady() noexcept;

  /// Time without an answer after which the next query may be sent.
  static constexpr std::chrono::milliseconds kAnswerTimeout{ 100 };

private:
  struct PendingQuery
  {
    std::uint64_t m_sequence{ 0 };
    TimePoint m_sentAt{};
  };

  /// Unanswered queries, newest last.
  std::deque<PendingQuery> m_pending;
  std::optional<TimePoint> m_unansweredSince;
  TimePoint m_lastSentAt{};
  bool m_isDeclining{ false };
};

}
