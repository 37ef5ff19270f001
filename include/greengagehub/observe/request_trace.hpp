#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

struct TracedLine
{
  /// Sort key among the lines of other processes.
  std::string m_time;
  std::string m_slot;
  std::string m_event;
  std::string m_text;
};

/// \brief Log lines of several processes about one request.
struct RequestTrace
{
  /// Merged by time; lines of one process stay in the order of writing.
  std::vector<TracedLine> m_lines;
  /// The last `request_finished` line; empty if there is none.
  std::string m_finishedLine;
};

/// \brief Collects the lines about one request from the logs of processes.
///
/// If the clock of a process steps back, its later lines are sorted by the
/// latest time before the step.
/// \param aLogs the log text of each process.
[[nodiscard]] RequestTrace
TraceRequest(std::string_view aId, const std::vector<std::string>& aLogs);

}
