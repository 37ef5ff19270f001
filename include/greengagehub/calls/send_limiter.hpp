#pragma once

#include "greengagehub/core/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace greengagehub {

/// \brief Number of events in a sliding window, rounded up to whole buckets.
class SlidingCount
{
public:
  static constexpr std::chrono::milliseconds kWindow{ 4000 };

  void Add(TimePoint aNow) noexcept;
  void Clear() noexcept { m_buckets = {}; }
  [[nodiscard]] std::uint32_t CountAt(TimePoint aNow) const noexcept;
  /// \returns When the count is below `aMax`, without further events.
  [[nodiscard]] TimePoint BelowAt(TimePoint aNow, double aMax) const noexcept;

private:
  static constexpr std::chrono::milliseconds kBucket{ 100 };
  /// One more than the window holds, as its ends fall into buckets.
  static constexpr std::size_t kBuckets = kWindow / kBucket + 1;

  struct Bucket
  {
    /// Time since the clock's epoch, in units of kBucket.
    std::int64_t m_number{ 0 };
    std::uint32_t m_count{ 0 };
  };

  [[nodiscard]] static std::int64_t NumberOf(TimePoint aTime) noexcept;

  std::array<Bucket, kBuckets> m_buckets{};
};

/// \brief Bounds the rate of requests to a backend server that states a limit.
///
/// The generic cell rate algorithm (ITU-T I.371) spaces requests by the inverse
/// of the limit N and lets unused rate accumulate for kBurstTime: any 4 s hold
/// at most 4.5 N + 1 requests while N stays. The count of a sliding window
/// covers a limit that falls: any 4 s hold at most 5.6 N + 4, N being the limit
/// at their end.
class SendLimiter
{
public:
  /// \brief Applies a response of the backend server.
  /// \param aSentAt when its request was sent. A response without a limit ends
  /// the limit only if the request was sent after the limit was last stated.
  /// \param aLimit requests per second, 0 or more; empty: none stated.
  void OnResponse(TimePoint aNow,
                  TimePoint aSentAt,
                  std::optional<double> aLimit);
  /// \brief Applies a limit that another daemon knows, until the first response
  /// of the backend server.
  void Adopt(TimePoint aNow, double aLimit);
  /// \brief Forgets the limit, for a new incarnation of the backend server.
  void Reset();
  /// \brief Marks the limit as unknown until a response or another daemon
  /// states it, for a daemon that starts beside a running backend server.
  void ExpectFirstResponse() noexcept { m_isUnknown = true; }

  void RecordSend(TimePoint aNow);

  /// \returns Whether the limit is still unknown. A backend server that does
  /// not respond is assumed to have none after a second.
  [[nodiscard]] bool IsUnknown(TimePoint aNow) const noexcept;
  /// \returns Whether the rate is bounded, by a limit or after its end.
  [[nodiscard]] bool IsLimiting(TimePoint aNow) const noexcept;
  /// \returns The limit in requests per second, if one is in force.
  [[nodiscard]] std::optional<double> Limit() const noexcept { return m_limit; }
  /// \returns When the limit in force was first stated.
  [[nodiscard]] TimePoint Since() const noexcept { return m_since; }
  [[nodiscard]] TimePoint LastStatedAt() const noexcept { return m_statedAt; }
  /// \returns Requests sent in the last 4 s, while limiting.
  [[nodiscard]] std::uint32_t SentInWindow(TimePoint aNow) const noexcept
  {
    return m_sent.CountAt(aNow);
  }
  /// \returns When a request may be sent; `aNow` if at once.
  [[nodiscard]] TimePoint NextSendAt(TimePoint aNow) const;
  /// \returns Time until a request may be sent after `aAhead` others.
  [[nodiscard]] Duration DelayAfter(TimePoint aNow, std::size_t aAhead) const;

private:
  [[nodiscard]] Duration Interval(TimePoint aNow) const;
  void StartLimit(TimePoint aNow, double aLimit);

  std::optional<double> m_limit;
  TimePoint m_since{};
  TimePoint m_statedAt{};
  /// End of the previous limit, and its value.
  std::optional<TimePoint> m_endedAt;
  double m_endedLimit{ 0.0 };
  /// Theoretical arrival time: when the next request would conform exactly.
  TimePoint m_nextDue{};
  SlidingCount m_sent;
  bool m_hasResponse{ false };
  bool m_isUnknown{ false };
  std::optional<TimePoint> m_firstSendAt;
};

}
