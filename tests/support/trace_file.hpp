#pragma once

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief One line of a recorded trace: a step and its expected outcome.
struct TraceLine
{
  /// File and line.
  std::string m_location;
  std::string m_step;
  std::string m_outcome;
};

/// \brief Reads "step => outcome" lines; "#" starts a comment line.
[[nodiscard]] inline std::vector<TraceLine>
ReadTrace(const std::filesystem::path& aFile)
{
  std::ifstream file{ aFile };
  std::vector<TraceLine> lines;
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const std::size_t arrow = line.rfind(" => ");
    if (arrow == std::string::npos) {
      throw std::runtime_error{ aFile.string() + ":" + std::to_string(number) +
                                ": expected \"STEP => OUTCOME\"" };
    }
    lines.push_back({ aFile.filename().string() + ":" + std::to_string(number),
                      line.substr(0, arrow),
                      line.substr(arrow + 4) });
  }
  return lines;
}

/// \returns All trace files of a directory, sorted by name.
[[nodiscard]] inline std::vector<std::filesystem::path>
ListTraces(const std::string& aDirectory)
{
  std::vector<std::filesystem::path> files;
  for (const auto& each : std::filesystem::directory_iterator{ aDirectory }) {
    files.push_back(each.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

/// \brief Checks each trace of a directory against a new Replay, whose
/// Step(text) returns the outcome.
/// \param aAtLeast minimum number of trace files.
template<class Replay>
void
ReplayAll(const std::string& aDirectory, std::size_t aAtLeast)
{
  const auto files = ListTraces(aDirectory);
  REQUIRE(files.size() >= aAtLeast);
  for (const auto& file : files) {
    Replay replay;
    for (const TraceLine& line : ReadTrace(file)) {
      INFO(line.m_location, ": ", line.m_step);
      CHECK(replay.Step(line.m_step) == line.m_outcome);
    }
  }
}

}
