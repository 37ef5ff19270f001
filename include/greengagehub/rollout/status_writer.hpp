#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/rollout/rollout_record.hpp"

#include <algorithm>
#include <concepts>
#include <deque>
#include <map>
#include <optional>

namespace greengagehub {

struct RolloutStatus
{
  std::string m_service{};
  std::string m_target{};
  /// Never Completing.
  RolloutState m_state{ RolloutState::Running };
  /// Written for operators, not read back.
  RollbackCause m_cause{ RollbackCause::None };
};

/// \brief Converts statuses to and from the keys and values of a store.
template<class T>
concept StatusCodec = requires(const RolloutStatus& aStatus,
                               std::string_view aText)
{
  {
    T::KeyOf(aText)
    } -> std::same_as<std::string>;
  {
    T::Format(aStatus)
    } -> std::same_as<std::string>;
  {
    T::Parse(aText, aText)
    } -> std::same_as<Outcome<RolloutStatus>>;
};

/// \brief Writes statuses of roll-outs to the store by compare-and-swap.
///
/// Several daemons may write different statuses of one order. The first final
/// status that the store accepts is kept; other writers adopt it after a
/// conflict. A write whose answer was lost is retried.
template<StatusCodec Codec>
class StatusWriter
{
public:
  struct Step
  {
    std::optional<StoreRequest> m_next{};
    /// The status that the store is known to hold.
    std::optional<RolloutStatus> m_written{};
  };

  /// \brief Queues a status in place of a queued one of the same service.
  /// Ignored if the store has accepted another final status of the order.
  void QueueWrite(RolloutStatus aStatus, TimePoint aNotBefore)
  {
    CancelWrite(aStatus.m_service);
    const auto final = m_finalStatuses.find(aStatus.m_service);
    const bool isDecided = final != m_finalStatuses.end() &&
                           final->second.m_target == aStatus.m_target &&
                           final->second.m_state != aStatus.m_state;
    if (isDecided) {
      return;
    }
    m_jobs.push_back({ std::move(aStatus), aNotBefore });
  }

  void CancelWrite(const std::string& aService)
  {
    const auto first = m_jobs.begin() + (m_isBusy ? 1 : 0);
    const auto isSame = [&](const Job& aJob) {
      return aJob.m_status.m_service == aService;
    };
    m_isStale = m_isStale || (m_isBusy && isSame(m_jobs.front()));
    m_jobs.erase(std::remove_if(first, m_jobs.end(), isSame), m_jobs.end());
  }

  /// \brief Forgets the known revisions; final statuses are kept.
  void OnStoreRestored() { m_revisions.clear(); }

  /// \returns Whether the status is queued or being written.
  [[nodiscard]] bool IsQueued(const RolloutStatus& aStatus) const
  {
    return std::ranges::any_of(m_jobs, [&](const Job& aJob) {
      return aJob.m_status.m_service == aStatus.m_service &&
             aJob.m_status.m_target == aStatus.m_target &&
             aJob.m_status.m_state == aStatus.m_state;
    });
  }

  /// \returns The next write, if one is due and none is in progress.
  [[nodiscard]] std::optional<StoreRequest> OnTick(TimePoint aNow)
  {
    if (m_isBusy) {
      return std::nullopt;
    }
    const auto due = std::ranges::find_if(
      m_jobs, [aNow](const Job& aJob) { return aJob.m_due <= aNow; });
    if (due == m_jobs.end()) {
      return std::nullopt;
    }
    std::rotate(m_jobs.begin(), due, due + 1);
    m_isBusy = true;
    m_isStale = false;
    const auto revision = m_revisions.find(m_jobs.front().m_status.m_service);
    return Put(revision == m_revisions.end() ? Revision{ 0 }
                                             : revision->second);
  }

  [[nodiscard]] Step OnReply(TimePoint aNow, const StoreReply& aReply)
  {
    using Status = StoreReply::Status;
    if (!m_isBusy) {
      return {};
    }
    const RolloutStatus wanted = m_jobs.front().m_status;
    switch (aReply.m_status) {
      case Status::Ok:
        m_revisions[wanted.m_service] = aReply.m_revision;
        FinishJob();
        RecordFinal(wanted);
        return { std::nullopt, wanted };
      case Status::Conflict:
        m_revisions[wanted.m_service] = aReply.m_revision;
        return OnConflict(wanted, aReply);
      default:
        RetryLater(aNow);
        return {};
    }
  }

private:
  struct Job
  {
    RolloutStatus m_status;
    TimePoint m_due;
  };

  static constexpr std::chrono::milliseconds kRetryDelay{ 400 };

  [[nodiscard]] StoreRequest Put(Revision aExpected) const
  {
    const RolloutStatus& status = m_jobs.front().m_status;
    return MakePut(
      Codec::KeyOf(status.m_service), Codec::Format(status), aExpected);
  }

  [[nodiscard]] Step OnConflict(const RolloutStatus& aWanted,
                                const StoreReply& aReply)
  {
    const auto stored =
      Codec::Parse(Codec::KeyOf(aWanted.m_service), aReply.m_value);
    const bool sameOrder =
      stored && stored.value().m_target == aWanted.m_target;
    const bool isSettled =
      sameOrder && (IsFinal(stored.value().m_state) ||
                    stored.value().m_state == aWanted.m_state);
    if (isSettled || m_isStale) {
      FinishJob();
      if (isSettled) {
        RecordFinal(stored.value());
      }
      return { std::nullopt,
               isSettled ? std::optional{ stored.value() } : std::nullopt };
    }
    // The stored status is malformed, not final or from an earlier order.
    return { Put(aReply.m_revision), std::nullopt };
  }

  /// Also drops queued statuses of the order, which would overwrite this one.
  void RecordFinal(const RolloutStatus& aStatus)
  {
    if (!IsFinal(aStatus.m_state)) {
      return;
    }
    m_finalStatuses[aStatus.m_service] = aStatus;
    std::erase_if(m_jobs, [&](const Job& aJob) {
      return aJob.m_status.m_service == aStatus.m_service &&
             aJob.m_status.m_target == aStatus.m_target;
    });
  }

  void FinishJob()
  {
    m_jobs.pop_front();
    m_isBusy = false;
  }

  void RetryLater(TimePoint aNow)
  {
    m_isBusy = false;
    if (m_isStale) {
      m_jobs.pop_front();
    } else {
      m_jobs.front().m_due = aNow + kRetryDelay;
    }
  }

  /// The front job is in progress while m_isBusy is set.
  std::deque<Job> m_jobs;
  /// Last known revisions of the statuses, by service.
  std::map<std::string, Revision> m_revisions;
  /// As accepted by the store, by service.
  std::map<std::string, RolloutStatus> m_finalStatuses;
  bool m_isBusy{ false };
  /// The job in progress is superseded by a newer status.
  bool m_isStale{ false };
};

}
