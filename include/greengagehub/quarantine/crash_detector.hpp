#pragma once

#include "greengagehub/quarantine/quarantine_update.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengagehub {

/// \brief A crash of the local backend server and the runs that it interrupted.
struct WorkerCrash
{
  /// Increments with each crash seen by this daemon.
  std::uint64_t m_number{ 0 };
  std::vector<Witness> m_runs{};
};

/// \brief Distinguishes a crash of the local backend server from other causes
/// of a lost connection.
///
/// A reset, a connection limit or a malformed answer also closes connections
/// while the process keeps running. After a loss, the caller probes the address
/// of the backend server: only a refused connection counts as a crash, a
/// timeout does not.
class CrashDetector
{
public:
  /// \brief The backend server closed a connection while a request was running.
  /// \returns Whether to probe the address now; false while a probe is pending.
  [[nodiscard]] bool OnConnectionLost(const Witness& aRun);
  /// \brief Handles the result of a probe.
  /// \returns The crash with all runs lost since the previous probe, if the
  /// connection was refused. Further runs lost in the same crash are returned
  /// with the same number.
  [[nodiscard]] std::optional<WorkerCrash> OnProbed(bool aIsRefused);
  /// \brief The backend server answered, so the next refused probe is a new
  /// crash.
  void OnAlive() noexcept { m_hasCrashed = false; }

private:
  std::vector<Witness> m_lostRuns;
  std::uint64_t m_number{ 0 };
  bool m_isProbing{ false };
  bool m_hasCrashed{ false };
};

}
