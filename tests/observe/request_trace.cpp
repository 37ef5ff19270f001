#include "greengagehub/observe/request_trace.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;

namespace {

std::string
Line(const char* aTime, const char* aSlot, const char* aEvent, const char* aId)
{
  return fmt::format(
    R"({{"time":"{}","slot":"{}","event":"{}","request":"{}"}})"
    "\n",
    aTime,
    aSlot,
    aEvent,
    aId);
}

}

TEST_CASE(
  "a request's lines of several processes are merged despite a clock step")
{
  // Guards against a wrong order of lines when the worker's clock steps back.
  const std::string caller =
    Line("10:00:00.100", "a", "request_placed", "r1") +
    Line("10:00:00.200", "a", "request_finished", "r1") +
    Line("10:00:00.300", "a", "request_finished", "r2") + "no json r1\n";
  const std::string worker = Line("10:00:00.150", "b", "run_refused", "r1") +
                             Line("09:59:58.000", "b", "run_lost", "r1");
  const RequestTrace trace = TraceRequest("r1", { caller, worker });
  REQUIRE(trace.m_lines.size() == 4);
  CHECK(trace.m_lines[0].m_event == "request_placed");
  CHECK(trace.m_lines[1].m_event == "run_refused");
  CHECK(trace.m_lines[2].m_event == "run_lost");
  CHECK(trace.m_lines[3].m_event == "request_finished");
  CHECK(trace.m_finishedLine == trace.m_lines[3].m_text);
  CHECK(TraceRequest("r9", { caller, worker }).m_lines.empty());
}
