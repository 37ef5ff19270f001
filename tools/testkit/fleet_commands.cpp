#include "testkit/fleet.hpp"

#include <fmt/format.h>
#include <stdexcept>

// The command line of the system, run against a fleet.

namespace greengagehub::testkit {

CommandResult
Fleet::Trace(const std::string& aId)
{
  std::vector<std::string> arguments{ CLI_PROGRAM, "trace", aId };
  for (const auto& [slot, node] : m_nodes) {
    arguments.push_back(node.m_outputFile);
  }
  return RunCommand(std::move(arguments));
}

CommandResult
Fleet::Command(const std::string& aSlot, std::vector<std::string> aArguments)
{
  return CommandTo(OperatorsUrl(aSlot), std::move(aArguments));
}

CommandResult
Fleet::CommandTo(const std::string& aUrl, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), CLI_PROGRAM);
  aArguments.insert(aArguments.end(), { "--daemon", aUrl, "--token", kToken });
  return RunCommand(std::move(aArguments));
}

CommandResult
Fleet::RunCommand(std::vector<std::string> aArguments)
{
  Process process{ std::move(aArguments),
                   m_directory.File(
                     fmt::format("command.{}.log", ++m_logFileCount)) };
  const std::optional<int> exitCode = process.Wait();
  if (!exitCode) {
    // Its output is empty or partial, which must not pass for an answer.
    throw std::runtime_error{ "command did not exit by itself; start error " +
                              std::to_string(process.StartError()) +
                              "; its log: " + process.Log() };
  }
  return { *exitCode, process.Log() };
}

}
