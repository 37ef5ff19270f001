#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace greengagehub::testkit {

/// \brief Polls a condition until it is true or the time limit has passed.
[[nodiscard]] bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aLimit = std::chrono::seconds{ 20 });

/// \brief A temporary directory, removed by the destructor.
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

/// \returns A command that limits its own descriptors before it becomes the
/// program.
/// \param aLimit 0: the command is the program.
[[nodiscard]] std::vector<std::string>
WithDescriptorLimit(std::vector<std::string> aArguments, std::uint32_t aLimit);

/// \brief A child process, killed by the destructor if it still runs.
///
/// Standard error is appended to the log file, standard output to a file of the
/// same name with ".out" added.
class Process
{
public:
  /// \param aArguments The program's path, then its arguments.
  Process(std::vector<std::string> aArguments, std::string aLogFile);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }
  /// \returns Standard output, then standard error, since the first start that
  /// used the log file.
  [[nodiscard]] std::string Log() const;
  [[nodiscard]] bool HasLogged(const std::string& aEvent) const;
  [[nodiscard]] bool IsRunning();
  /// \returns The error number with which the start failed; 0: none.
  [[nodiscard]] int StartError() const noexcept { return m_startError; }

  void Signal(int aSignal) const;
  /// \brief Sends SIGKILL and waits until the process has exited.
  void Kill();
  /// \returns The exit code; std::nullopt after the time limit or a signal.
  [[nodiscard]] std::optional<int> Wait(
    std::chrono::milliseconds aLimit = std::chrono::seconds{ 20 });

private:
  void Reap(int aStatus) noexcept;

  pid_t m_pid{ -1 };
  std::string m_logFile;
  bool m_running{ false };
  int m_startError{ 0 };
  std::optional<int> m_exitCode;
};

}
