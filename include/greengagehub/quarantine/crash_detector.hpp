#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/quarantine/quarantine_update.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengagehub {

/// \brief A crash of the local backend server and the runs that it interrupted.
struct WorkerCrash
{
  /// Number of the crash on this daemon; starts at 1.
  std::uint64_t m_number{ 0 };
  std::vector<Witness> m_runs{};
};

/// \brief Distinguishes a crash of the local backend server from other causes
/// of a lost connection.
///
/// After a loss, the caller probes the address of the backend server: only a
/// refused connection counts as a crash, a timeout does not.
class CrashDetector
{
public:
  /// \param aConnectedAt when the lost connection was established. A server
  /// that has accepted one since its crash is a new process.
  /// \returns Whether to probe the address now; false while a probe is pending.
  [[nodiscard]] bool OnConnectionLost(const Witness& aRun,
                                      TimePoint aConnectedAt);
  /// \returns The crash with all runs lost since the previous probe, if the
  /// connection was refused. Further runs lost in the same crash are returned
  /// with the same number.
  [[nodiscard]] std::optional<WorkerCrash> OnProbed(TimePoint aNow,
                                                    bool aIsRefused);
  /// The next refused probe counts as a new crash.
  void OnAlive() noexcept { m_hasCrashed = false; }

private:
  std::vector<Witness> m_lostRuns;
  std::uint64_t m_number{ 0 };
  /// When a probe was refused first after the last crash.
  TimePoint m_crashedAt{};
  bool m_isProbing{ false };
  bool m_hasCrashed{ false };
};

}
