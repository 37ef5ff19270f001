#include "greengagehub/observe/request_trace.hpp"

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

namespace greengagehub {

namespace {

using Json = nlohmann::json;

constexpr const char* kFinishedEvent = "request_finished";

std::deque<TracedLine>
CollectLines(std::string_view aId, const std::string& aLog)
{
  std::deque<TracedLine> lines;
  std::istringstream text{ aLog };
  std::string latestTime;
  for (std::string line; std::getline(text, line);) {
    if (line.find(aId) == std::string::npos) {
      continue;
    }
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object() || json.value("request", std::string{}) != aId) {
      continue;
    }
    // Keeps lines in the order of writing if the wall clock steps back.
    latestTime = std::max(latestTime, json.value("time", std::string{}));
    lines.push_back({ latestTime,
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
    processes.push_back(CollectLines(aId, each));
  }
  RequestTrace trace;
  while (true) {
    std::deque<TracedLine>* next = nullptr;
    for (auto& each : processes) {
      const bool isEarlier =
        !each.empty() &&
        (next == nullptr || each.front().m_time < next->front().m_time);
      next = isEarlier ? &each : next;
    }
    if (next == nullptr) {
      return trace;
    }
    if (next->front().m_event == kFinishedEvent) {
      trace.m_finishedLine = next->front().m_text;
    }
    trace.m_lines.push_back(std::move(next->front()));
    next->pop_front();
  }
}

}
