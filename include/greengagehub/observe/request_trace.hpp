#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief One line of a log that concerns a request.
struct TracedLine
{
  /// As the writer's time of day had it.
  std::string m_time;
  std::string m_slot;
  std::string m_event;
  std::string m_text;
};

/// \brief What logs of several processes say of one request.
struct RequestTrace
{
  /// In order: each process's lines as it wrote them, processes by time of day.
  std::vector<TracedLine> m_lines;
  /// The line that ended it, if any: the last `request_finished`.
  std::string m_end;
};

/// \brief Collects the lines of one request out of logs, one text for each
/// process.
///
/// A process whose time of day stepped back in between keeps the order in which
/// it wrote; others are merged beside it by the time that they had.
[[nodiscard]] RequestTrace
TraceRequest(std::string_view aId, const std::vector<std::string>& aLogs);

}
