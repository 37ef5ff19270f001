#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace greengagehub::testkit {

/// \brief Polls a condition until it holds or the limit is over.
/// \returns Whether it held.
[[nodiscard]] bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aLimit = std::chrono::seconds{ 20 });

/// \brief A directory that is removed with this object.
class TemporaryDirectory
{
public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  [[nodiscard]] std::string File(const std::string& aName) const;

private:
  std::string m_path;
};

/// \brief A child process whose standard error goes to a file. Killed with
/// this object if it still runs.
class Process
{
public:
  /// \param aArguments the program first.
  Process(std::vector<std::string> aArguments, std::string aLogFile);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }
  /// \returns All that it has written to standard error.
  [[nodiscard]] std::string Log() const;
  /// \returns Whether a line with this event has been logged.
  [[nodiscard]] bool Logged(const std::string& aEvent) const;
  /// \returns Whether it still runs.
  [[nodiscard]] bool IsRunning();

  void Signal(int aSignal) const;
  /// \brief Ends it at once, as a lost machine would.
  void Kill();
  /// \returns The exit code, or nothing when it does not end in time or was
  /// ended by a signal.
  [[nodiscard]] std::optional<int> Wait(
    std::chrono::milliseconds aLimit = std::chrono::seconds{ 20 });

private:
  void Reap(int aStatus) noexcept;

  pid_t m_pid{ -1 };
  std::string m_logFile;
  bool m_running{ false };
  std::optional<int> m_exitCode;
};

}
