#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/quarantine/quarantine_update.hpp"

#include <chrono>
#include <deque>
#include <optional>

namespace greengagehub {

/// Prefix of store keys; a fingerprint in hexadecimal follows.
inline constexpr std::string_view kVerdictPrefix = "quarantine/";

[[nodiscard]] std::string
VerdictToJson(const QuarantineVerdict& aVerdict);

/// \param aKey full key, including kVerdictPrefix.
/// \returns The verdict with an age of zero.
[[nodiscard]] Outcome<QuarantineVerdict>
ParseVerdict(std::string_view aKey, std::string_view aValue);

/// \brief Persists quarantined requests in the platform store, so that they
/// survive a restart of all daemons.
///
/// Each key has a lease that is not renewed, so the store removes it even if no
/// daemon runs.
class VerdictWriter
{
public:
  /// \brief Queues a write of the verdict.
  /// \param aChecksFirst whether to skip the write if the key already exists.
  void QueueWrite(QuarantineVerdict aVerdict,
                  TimePoint aNotBefore,
                  bool aChecksFirst);
  /// \brief Queues the deletion of the request's key.
  void Lift(Fingerprint aFingerprint, TimePoint aNow);
  /// \returns The next call to the store, if one is due and none is in
  /// progress.
  [[nodiscard]] std::optional<StoreRequest> OnTick(TimePoint aNow);
  /// \returns The follow-up call, if any.
  [[nodiscard]] std::optional<StoreRequest> OnReply(TimePoint aNow,
                                                    const StoreReply& aReply);
  /// \returns The number of queued changes, including the one in progress.
  [[nodiscard]] std::size_t CountQueued() const noexcept
  {
    return m_jobs.size();
  }

private:
  enum class Step : std::uint8_t
  {
    Check,
    Lease,
    Put,
    Delete,
  };
  struct Job
  {
    QuarantineVerdict m_verdict;
    TimePoint m_due;
    Step m_firstStep{ Step::Lease };
  };

  [[nodiscard]] StoreRequest Begin(Step aStep);
  [[nodiscard]] StoreRequest PutIfRevision(Revision aExpected);
  std::optional<StoreRequest> OnPutReply(TimePoint aNow,
                                         const StoreReply& aReply);
  void DropJobs(Fingerprint aFingerprint);
  void FinishJob();
  void RetryLater(TimePoint aNow);

  /// The front job is in progress while m_step is set.
  std::deque<Job> m_jobs;
  std::optional<Step> m_step;
  /// The job in progress is superseded by a newer change.
  bool m_isStale{ false };
  std::uint64_t m_lease{ 0 };
};

}
