#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/core/version.hpp"
#include "greengagehub/observe/line_budget.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/quarantine/crash_detector.hpp"

namespace greengagehub {

/// \brief The lines of the log that follow one request, by its id: what was
/// decided about it, on what grounds, and what came of it.
///
/// | event            | where               | when                           |
/// |------------------|---------------------|--------------------------------|
/// | request_finished | caller's daemon     | failed, refused, or retried;   |
/// |                  |                     | one in kSampled that went well |
/// | request_placed   | caller's daemon     | sent on after a first try      |
/// | run_refused      | worker's daemon     | not started, and why           |
/// | run_lost         | worker's daemon     | started, without an answer     |
/// | request_held     | either              | its content is held            |
/// | run_cancelled    | worker's daemon     | the caller left                |
/// | worker_ended     | worker's daemon     | its process ended under runs   |
///
/// All failures are kept up to a rate; what is beyond it is counted in a line
/// `lines_left_out`.
class RequestLog
{
public:
  /// One in so many requests that went well.
  static constexpr std::uint64_t kSampled = 100;

  explicit RequestLog(const Log& aLog) noexcept
    : m_log(aLog)
  {
  }

  struct Finished
  {
    std::string_view m_id{};
    std::string_view m_route{};
    std::string_view m_service{};
    /// Whose key it came with; empty: none, or none that is known.
    std::string_view m_workspace{};
    /// Slot of the last daemon it was sent to; empty: none.
    std::string_view m_slot{};
    const CallAnswer& m_answer;
    std::uint32_t m_sends{ 0 };
    Duration m_took{};
    Version m_version{};
  };
  void OnFinished(TimePoint aNow, const Finished& aEnd);

  /// \param aAfter why the try before did not do.
  void OnPlacedAgain(TimePoint aNow,
                     std::string_view aId,
                     std::string_view aSlot,
                     std::uint32_t aSends,
                     std::chrono::microseconds aTimeLeft);

  /// \param aLeft how long its content is held from now on.
  void OnHeld(TimePoint aNow,
              std::string_view aId,
              Fingerprint aContent,
              Duration aLeft);

  /// \brief What the worker's daemon knew when it decided.
  struct WorkerState
  {
    std::string_view m_instance{};
    std::uint32_t m_running{ 0 };
    std::uint32_t m_queued{ 0 };
    std::uint32_t m_slots{ 0 };
    std::chrono::microseconds m_wait{ 0 };
  };
  void OnRunRefused(TimePoint aNow,
                    std::string_view aId,
                    RefusalReason aReason,
                    std::chrono::microseconds aTimeLeft,
                    const WorkerState& aState);
  void OnRunLost(TimePoint aNow,
                 std::string_view aId,
                 Fingerprint aContent,
                 RefusalReason aReason,
                 Duration aRan,
                 const WorkerState& aState);
  /// \brief The backend server's process has ended, and what ran there; ends
  /// are few, and each has its line.
  void OnWorkerEnded(std::string_view aInstance,
                     bool aIsLeaving,
                     const WorkerEnd& aEnd);
  void OnRunCancelled(TimePoint aNow, std::string_view aId, bool aStarted);

  /// \brief Tells how many lines were left out, if any.
  void OnTick();

private:
  /// A daemon at its worst refuses about a hundred requests a second.
  static constexpr double kLinesPerSecond = 200.0;
  static constexpr double kBurst = 400.0;

  const Log& m_log;
  LineBudget m_budget{ kLinesPerSecond, kBurst };
  std::uint64_t m_good{ 0 };
};

}
