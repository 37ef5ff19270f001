#pragma once

#include "greengagehub/http/blocking_client.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

// Options, exit codes and requests shared by the operators' commands.

namespace greengagehub::cli {

using Json = nlohmann::json;

enum ExitCode : int
{
  Done = 0,
  Refused = 1,
  WrongUse = 2,
  Unknown = 3,
  Unreachable = 4,
  TimedOut = 5,
};

struct Options
{
  std::string m_command;
  /// First positional argument of the command.
  std::string m_argument;
  /// Remaining positional arguments.
  std::vector<std::string> m_files;
  std::string m_daemon;
  std::string m_token;
  std::string m_id;
  std::string m_author;
  std::optional<std::uint64_t> m_base;
  /// Version to wait for.
  std::optional<std::uint64_t> m_wait;
  std::chrono::seconds m_timeout{ 10 };
  bool m_rebase{ false };
  bool m_json{ false };
};

/// \returns A request to the daemon with the operators' token.
[[nodiscard]] HttpClientRequest
MakeRequest(const Options& aOptions,
            std::string aMethod,
            const std::string& aPath);

[[nodiscard]] std::string
PercentEncoded(std::string_view aText);

/// \brief Prints why a daemon gave no answer.
/// \returns The exit code.
int
ReportUnreachable(const Options& aOptions, const HttpClientResult& aResult);

/// \returns The JSON object that a GET was answered with; nothing if there was
/// no answer, another status than 200, or another body, which is printed.
[[nodiscard]] std::optional<Json>
GetJson(const Options& aOptions, const std::string& aPath);

}
