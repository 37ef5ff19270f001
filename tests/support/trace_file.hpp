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

/// \brief One line of a recorded trace: a step and its stated outcome.
struct TraceLine
{
  std::string m_where;
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
      throw std::runtime_error{ aFile.string() + ": a line has no outcome" };
    }
    lines.push_back({ aFile.filename().string() + ":" + std::to_string(number),
                      line.substr(0, arrow),
                      line.substr(arrow + 4) });
  }
  return lines;
}

/// \returns All traces of a directory, in order of their names.
[[nodiscard]] inline std::vector<std::filesystem::path>
TracesIn(const std::string& aDirectory)
{
  std::vector<std::filesystem::path> files;
  for (const auto& each : std::filesystem::directory_iterator{ aDirectory }) {
    files.push_back(each.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

/// \brief Replays each trace of a directory through a fresh Replay, whose
/// Step(text) returns the outcome.
template<class Replay>
void
ReplayAll(const std::string& aDirectory, std::size_t aAtLeast)
{
  const auto files = TracesIn(aDirectory);
  REQUIRE(files.size() >= aAtLeast);
  for (const auto& file : files) {
    Replay replay;
    for (const TraceLine& line : ReadTrace(file)) {
      INFO(line.m_where, ": ", line.m_step);
      CHECK(replay.Step(line.m_step) == line.m_outcome);
    }
  }
}

}
