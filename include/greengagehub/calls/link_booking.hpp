#pragma once

#include "greengagehub/calls/answer_sizes.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/workspaces/workspace_id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace greengagehub {

class LinkBooking;

/// \brief Keeps the expected bytes of one accepted call booked; its destruction
/// frees them.
class LinkReservation
{
public:
  LinkReservation() noexcept = default;
  LinkReservation(LinkReservation&& aOther) noexcept;
  LinkReservation& operator=(LinkReservation&& aOther) noexcept;
  ~LinkReservation();

private:
  friend class LinkBooking;
  LinkReservation(LinkBooking& aBooking, std::uint64_t aId) noexcept
    : m_booking(&aBooking)
    , m_id(aId)
  {
  }

  LinkBooking* m_booking{ nullptr };
  std::uint64_t m_id{ 0 };
};

/// \brief What a call asks of a link.
struct LinkDemand
{
  AnswerSize m_size{};
  /// Time until the answer is expected to be ready to be sent.
  Duration m_readyIn{ 0 };
  /// Time left for the answer to leave the link in time; may be negative.
  Duration m_targetLeft{ 0 };
  Duration m_deadlineLeft{ 0 };
  /// Target latency of the call's kind; 0: none.
  Duration m_target{ 0 };
  /// 0: none.
  WorkspaceId m_workspace{ 0 };
  double m_weight{ 1.0 };
};

struct LinkDecision
{
  enum class Kind : std::uint8_t
  {
    Accepted,
    /// The answer would leave too late.
    NoRoom,
    /// The workspace has booked more than its share.
    BeyondShare,
  };
  Kind m_kind{ Kind::Accepted };
  /// Time until the answer would have left the link.
  Duration m_departure{ 0 };
  /// Until there is room; zero if accepted.
  std::chrono::milliseconds m_retryAfter{ 0 };

  [[nodiscard]] bool IsAccepted() const noexcept
  {
    return m_kind == Kind::Accepted;
  }
};

/// \brief Expected bytes of accepted calls in one direction of a link.
///
/// A large answer is accepted only if it can leave the link before its target;
/// if that has passed, before its deadline and behind no more than half a
/// target's worth of other bytes, so that late calls leave room for others. An
/// answer that takes longer than its target alone is accepted on an idle link.
///
/// Workspaces share what can leave in that time by weight: a workspace may book
/// its share, and beyond it as long as as much stays free for others as it has
/// booked itself (dynamic thresholds, Choudhury and Hahne, 1998).
class LinkBooking
{
public:
  /// Answers of no more bytes are not booked.
  static constexpr double kMinBytes = 16.0 * 1024;
  /// Answers are accepted behind no more expected bytes of others, which bounds
  /// the memory that waiting answers take.
  static constexpr double kMaxHeldBytes = 1.5 * 1024 * 1024;

  /// \param aBytesPerSecond 0: unknown, nothing is booked or refused.
  explicit LinkBooking(double aBytesPerSecond) noexcept
    : m_bytesPerSecond(aBytesPerSecond)
  {
  }
  LinkBooking(const LinkBooking&) = delete;
  LinkBooking& operator=(const LinkBooking&) = delete;

  [[nodiscard]] bool Books(const AnswerSize& aSize) const noexcept
  {
    return m_bytesPerSecond > 0.0 && aSize.m_mean > kMinBytes;
  }
  /// \param aBacklog time until bytes already handed to the link have left.
  [[nodiscard]] LinkDecision Check(TimePoint aNow,
                                   Duration aBacklog,
                                   const LinkDemand& aDemand);
  [[nodiscard]] LinkReservation Book(TimePoint aNow, const LinkDemand& aDemand);
  /// \brief Ends a booking whose answer was handed to the link. Its workspace
  /// is charged for the bytes until they have left.
  /// \param aBacklog of the link, with the answer.
  void HandOver(TimePoint aNow,
                Duration aBacklog,
                LinkReservation aReservation,
                std::size_t aBytes);
  /// \returns Time from the end of a run until its answer would have left; zero
  /// if answers of that size are not booked, at least the target if there is no
  /// room in memory.
  [[nodiscard]] Duration WaitOf(TimePoint aNow,
                                Duration aBacklog,
                                const LinkDemand& aDemand) const;
  /// \returns Time until the answer would have left, with all booked ones that
  /// are ready before it.
  [[nodiscard]] Duration DepartureOf(TimePoint aNow,
                                     Duration aBacklog,
                                     const LinkDemand& aDemand) const;
  /// \returns Transmission time with the margin for the spread of the size.
  [[nodiscard]] Duration TransferTime(const AnswerSize& aSize) const noexcept;

  [[nodiscard]] std::size_t BookedBytes() const noexcept
  {
    return static_cast<std::size_t>(m_bookedBytes);
  }
  [[nodiscard]] std::size_t BookedCalls() const noexcept
  {
    return m_entries.size();
  }
  /// \returns Bytes of a workspace that are booked or have not left.
  [[nodiscard]] std::size_t BytesOf(TimePoint aNow, WorkspaceId aWorkspace);
  [[nodiscard]] std::uint64_t Refused() const noexcept { return m_refused; }

private:
  friend class LinkReservation;

  struct Entry
  {
    TimePoint m_readyAt;
    AnswerSize m_size;
    WorkspaceId m_workspace{ 0 };
  };
  struct Share
  {
    double m_weight{ 1.0 };
    /// Booked, or handed to the link and not left.
    double m_bytes{ 0.0 };
    TimePoint m_lastAskedAt{};
  };
  struct LeavingAnswer
  {
    WorkspaceId m_workspace{ 0 };
    double m_bytes{ 0.0 };
  };

  [[nodiscard]] Duration TimeFor(double aBytes) const noexcept;
  /// \returns Latest departure behind no more than kMaxHeldBytes.
  [[nodiscard]] Duration HeldLimit(const LinkDemand& aDemand) const noexcept
  {
    return aDemand.m_readyIn + TimeFor(kMaxHeldBytes) +
           TransferTime(aDemand.m_size);
  }
  [[nodiscard]] bool IsBeyondShare(TimePoint aNow,
                                   Duration aLimit,
                                   Duration aBacklog,
                                   const LinkDemand& aDemand);
  void Free(std::uint64_t aId);
  void Discharge(WorkspaceId aWorkspace, double aBytes);
  void DischargeLeft(TimePoint aNow);

  double m_bytesPerSecond;
  std::uint64_t m_lastId{ 0 };
  std::map<std::uint64_t, Entry> m_entries;
  double m_bookedBytes{ 0.0 };
  std::map<WorkspaceId, Share> m_shares;
  /// By the time at which they have left.
  std::multimap<TimePoint, LeavingAnswer> m_leaving;
  std::uint64_t m_refused{ 0 };
};

}
