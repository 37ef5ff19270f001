#include "greengagehub/observe/request_trace.hpp"

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

namespace greengagehub {

namespace {

using Json = nlohmann::json;

constexpr const char* kEndEvent = "request_finished";

/// \returns The request's lines of one process, in the order of writing.
std::deque<TracedLine>
LinesOf(std::string_view aId, const std::string& aLog)
{
  std::deque<TracedLine> lines;
  std::istringstream text{ aLog };
  std::string latest;
  for (std::string line; std::getline(text, line);) {
    if (line.find(aId) == std::string::npos) {
      continue;
    }
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object() || json.value("request", std::string{}) != aId) {
      continue;
    }
    // After a step back of the time of day the order of writing counts.
    latest = std::max(latest, json.value("time", std::string{}));
    lines.push_back({ latest,
                      json.value("slot", std::string{}),
                      json.value("event", std::string{}),
                      line });
  }
  return lines;
}

}

RequestTrace
TraceRequest(std::string_view aId, const std::vector<std::string>& aLogs)
{
  std::vector<std::deque<TracedLine>> processes;
  processes.reserve(aLogs.size());
  for (const std::string& each : aLogs) {
    processes.push_back(LinesOf(aId, each));
  }
  RequestTrace trace;
  while (true) {
    std::deque<TracedLine>* next = nullptr;
    for (auto& each : processes) {
      const bool earlier =
        !each.empty() &&
        (next == nullptr || each.front().m_time < next->front().m_time);
      next = earlier ? &each : next;
    }
    if (next == nullptr) {
      return trace;
    }
    if (next->front().m_event == kEndEvent) {
      trace.m_end = next->front().m_text;
    }
    trace.m_lines.push_back(std::move(next->front()));
    next->pop_front();
  }
}

}
