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

/// \brief What the store is to say, or says, of a roll-out.
struct RolloutStatus
{
  std::string m_service{};
  std::string m_target{};
  /// Never Completing.
  RolloutState m_state{ RolloutState::Running };
  /// Why it was rolled back; told to operators, not read back.
  RollbackCause m_cause{ RollbackCause::None };
};

/// \brief How statuses stand in a store.
template<class T>
concept StatusForm = requires(const RolloutStatus& aStatus,
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

/// \brief Writes how roll-outs stand to the store, one compare-and-swap each.
///
/// Several daemons may want to write, and not the same: one that holds the
/// roll-out and one that took over. What the store took first stands, and is
/// told to the other, who follows. A final state is never written over, nor by
/// the same order's "running". An answer that was lost is asked for by writing
/// again: the conflict tells what stands.
template<StatusForm Form>
class StatusWriter
{
public:
  /// \brief What follows an answer of the store.
  struct Step
  {
    std::optional<StoreRequest> m_next{};
    /// What the store holds of the order for certain.
    std::optional<RolloutStatus> m_written{};
  };

  /// \brief The store is to say this, from `aFrom` on; takes the place of what
  /// was wanted of the service before. Nothing, where the store has told that
  /// the order ended otherwise.
  void Want(RolloutStatus aStatus, TimePoint aFrom)
  {
    Drop(aStatus.m_service);
    const auto final = m_finals.find(aStatus.m_service);
    const bool isDecided = final != m_finals.end() &&
                           final->second.m_target == aStatus.m_target &&
                           final->second.m_state != aStatus.m_state;
    if (isDecided) {
      return;
    }
    m_jobs.push_back({ std::move(aStatus), aFrom });
  }

  /// \brief It need not be written any more, as another did.
  void Drop(const std::string& aService)
  {
    const auto first = m_jobs.begin() + (m_isBusy ? 1 : 0);
    const auto isSame = [&](const Job& aJob) {
      return aJob.m_status.m_service == aService;
    };
    m_isStale = m_isStale || (m_isBusy && isSame(m_jobs.front()));
    m_jobs.erase(std::remove_if(first, m_jobs.end(), isSame), m_jobs.end());
  }

  /// \brief Revisions known here are of another time. How orders ended stays.
  void OnStoreRestored() { m_revisions.clear(); }

  /// \returns Whether this is wanted and the store has not taken it yet.
  [[nodiscard]] bool Wants(const RolloutStatus& aStatus) const
  {
    return std::ranges::any_of(m_jobs, [&](const Job& aJob) {
      return aJob.m_status.m_service == aStatus.m_service &&
             aJob.m_status.m_target == aStatus.m_target &&
             aJob.m_status.m_state == aStatus.m_state;
    });
  }

  /// \returns The next write, if one is due and none is under way.
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
    const auto known = m_revisions.find(m_jobs.front().m_status.m_service);
    return Put(known == m_revisions.end() ? Revision{ 0 } : known->second);
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
        Done();
        NoteFinal(wanted);
        return { std::nullopt, wanted };
      case Status::Conflict:
        m_revisions[wanted.m_service] = aReply.m_revision;
        return OnConflict(wanted, aReply);
      default:
        Later(aNow);
        return {};
    }
  }

private:
  struct Job
  {
    RolloutStatus m_status;
    TimePoint m_due;
  };

  /// Between two tries while the store is away.
  static constexpr std::chrono::milliseconds kRetry{ 400 };

  [[nodiscard]] StoreRequest Put(Revision aExpected) const
  {
    const RolloutStatus& status = m_jobs.front().m_status;
    return MakePut(
      Form::KeyOf(status.m_service), Form::Format(status), aExpected);
  }

  [[nodiscard]] Step OnConflict(const RolloutStatus& aWanted,
                                const StoreReply& aReply)
  {
    const auto stands =
      Form::Parse(Form::KeyOf(aWanted.m_service), aReply.m_value);
    const bool sameOrder =
      stands && stands.value().m_target == aWanted.m_target;
    const bool isDone =
      sameOrder && (IsFinal(stands.value().m_state) ||
                    stands.value().m_state == aWanted.m_state);
    if (isDone || m_isStale) {
      Done();
      if (isDone) {
        NoteFinal(stands.value());
      }
      return { std::nullopt,
               isDone ? std::optional{ stands.value() } : std::nullopt };
    }
    // Of an earlier order, of this one while it ran, or not to be read.
    return { Put(aReply.m_revision), std::nullopt };
  }

  /// What waits would be written over it, now that its revision is known.
  void NoteFinal(const RolloutStatus& aStatus)
  {
    if (!IsFinal(aStatus.m_state)) {
      return;
    }
    m_finals[aStatus.m_service] = aStatus;
    std::erase_if(m_jobs, [&](const Job& aJob) {
      return aJob.m_status.m_service == aStatus.m_service &&
             aJob.m_status.m_target == aStatus.m_target;
    });
  }

  void Done()
  {
    m_jobs.pop_front();
    m_isBusy = false;
  }

  void Later(TimePoint aNow)
  {
    m_isBusy = false;
    if (m_isStale) {
      m_jobs.pop_front();
    } else {
      m_jobs.front().m_due = aNow + kRetry;
    }
  }

  /// The first one is under way while m_isBusy.
  std::deque<Job> m_jobs;
  /// Of the statuses, as far as known.
  std::map<std::string, Revision> m_revisions;
  /// How orders ended, by the store's word.
  std::map<std::string, RolloutStatus> m_finals;
  bool m_isBusy{ false };
  /// Another has taken the place of the one under way.
  bool m_isStale{ false };
};

}
