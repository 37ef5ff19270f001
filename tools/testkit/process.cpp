#include "testkit/process.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <utility>

namespace greengagehub::testkit {

namespace {
constexpr auto kPollInterval = std::chrono::milliseconds{ 5 };
}

bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aLimit)
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

TemporaryDirectory::TemporaryDirectory()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "greengagehub-XXXXXX").string();
  m_path = mkdtemp(pattern.data());
}

TemporaryDirectory::~TemporaryDirectory()
{
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

std::string
TemporaryDirectory::File(const std::string& aName) const
{
  return (std::filesystem::path{ m_path } / aName).string();
}

std::vector<std::string>
WithDescriptorLimit(std::vector<std::string> aArguments, std::uint32_t aLimit)
{
  if (aLimit > 0) {
    const std::array<std::string, 3> shell{
      "/bin/sh", "-c", fmt::format("ulimit -n {}; exec \"$0\" \"$@\"", aLimit)
    };
    aArguments.insert(aArguments.begin(), shell.begin(), shell.end());
  }
  return aArguments;
}

Process::Process(std::vector<std::string> aArguments, std::string aLogFile)
  : m_logFile(std::move(aLogFile))
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& each : aArguments) {
    arguments.push_back(each.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDERR_FILENO,
                                   m_logFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   (m_logFile + ".out").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  m_startError = posix_spawn(
    &m_pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
  m_running = m_startError == 0;
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
  Kill();
}

Process::Process(Process&& aOther) noexcept
  : m_pid(std::exchange(aOther.m_pid, -1))
  , m_logFile(std::move(aOther.m_logFile))
  , m_running(std::exchange(aOther.m_running, false))
  , m_startError(aOther.m_startError)
  , m_exitCode(aOther.m_exitCode)
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    m_pid = std::exchange(aOther.m_pid, -1);
    m_logFile = std::move(aOther.m_logFile);
    m_running = std::exchange(aOther.m_running, false);
    m_startError = aOther.m_startError;
    m_exitCode = aOther.m_exitCode;
  }
  return *this;
}

std::string
Process::Log() const
{
  std::ostringstream text;
  for (const std::string& name : { m_logFile + ".out", m_logFile }) {
    std::ifstream file{ name };
    if (file.peek() != std::ifstream::traits_type::eof()) {
      text << file.rdbuf();
    }
  }
  return text.str();
}

bool
Process::HasLogged(const std::string& aEvent) const
{
  return Log().find("\"event\":\"" + aEvent + "\"") != std::string::npos;
}

void
Process::Reap(int aStatus) noexcept
{
  m_running = false;
  if (WIFEXITED(aStatus)) {
    m_exitCode = WEXITSTATUS(aStatus);
  }
}

bool
Process::IsRunning()
{
  int status = 0;
  if (m_running && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    Reap(status);
  }
  return m_running;
}

void
Process::Signal(int aSignal) const
{
  if (m_running) {
    kill(m_pid, aSignal);
  }
}

void
Process::Kill()
{
  if (!m_running) {
    return;
  }
  kill(m_pid, SIGKILL);
  int status = 0;
  waitpid(m_pid, &status, 0);
  Reap(status);
}

std::optional<int>
Process::Wait(std::chrono::milliseconds aLimit)
{
  if (!WaitUntil([this] { return !IsRunning(); }, aLimit)) {
    return std::nullopt;
  }
  return m_exitCode;
}

}
