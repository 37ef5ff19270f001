#include "support/trace_file.hpp"

#include "greengagehub/calls/run_table.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

// Replays recorded traces of attempts at one worker and compares the outcomes;
// tests/traces/README.md describes the format.

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

class Replay
{
public:
  [[nodiscard]] std::string Step(const std::string& aLine)
  {
    std::istringstream words{ aLine };
    std::string verb;
    std::uint64_t number = 0;
    words >> verb >> number;
    RunActions out;
    if (verb == "slots") {
      std::uint32_t queue = 0;
      words >> queue;
      m_runs.SetLimits(static_cast<std::uint32_t>(number), queue);
      return "ok";
    }
    if (verb == "at") {
      m_now = kStart + std::chrono::milliseconds{ number };
      return "ok";
    }
    if (verb == "admit") {
      return Admit(number, words);
    }
    if (verb == "cancel") {
      return NameOfResult(m_runs.Cancel(m_now, { 1, number }));
    }
    if (verb == "epoch") {
      m_runs.CloseEpochs(m_now, 1, number);
      return "ok";
    }
    if (verb == "finish") {
      return Describe("finished", m_runs.Finish(m_now, { 1, number }));
    }
    if (verb == "tick") {
      return Describe("ticked", m_runs.OnTick(m_now));
    }
    return Describe("left", m_runs.StartDraining(m_now));
  }

private:
  static constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

  static WorkDemand DemandOf(CallClass aClass, std::int64_t aLeftMs)
  {
    const std::chrono::milliseconds left{ aLeftMs };
    return { .m_class = aClass,
             .m_priority = static_cast<std::uint32_t>(aClass),
             .m_timeLeft = left,
             .m_targetLeft = left };
  }

  std::string Admit(std::uint64_t aCall, std::istringstream& aWords)
  {
    std::string callClass;
    std::int64_t left = 0;
    std::uint64_t epoch = 0;
    aWords >> callClass >> left >> epoch;
    CallClass parsed = CallClass::Critical;
    for (const auto each :
         { CallClass::Critical, CallClass::Lookup, CallClass::Export }) {
      parsed = NameOf(each) == callClass ? each : parsed;
    }
    RunActions out;
    const Admission admission =
      m_runs.Admit(m_now, { 1, aCall }, epoch, DemandOf(parsed, left), out);
    switch (admission.m_kind) {
      case Admission::Kind::Start:
        return Describe("started", out);
      case Admission::Kind::Queued:
        return Describe("queued", out);
      case Admission::Kind::Duplicate:
        return "repeated";
      case Admission::Kind::Refused:
        return fmt::format("refused {}", NameOf(admission.m_reason));
    }
    return "?";
  }

  static std::string NameOfResult(CancelResult aResult)
  {
    switch (aResult) {
      case CancelResult::NotStarted:
        return "not-started";
      case CancelResult::Running:
        return "running";
      case CancelResult::Finished:
        return "finished";
      case CancelResult::Evicted:
        return "forgotten";
    }
    return "?";
  }

  static std::string Describe(std::string aOutcome, const RunActions& aActions)
  {
    for (const CallKey& each : aActions.m_start) {
      aOutcome += fmt::format(", start {}", each.m_call);
    }
    for (const RefusedRun& each : aActions.m_refused) {
      aOutcome +=
        fmt::format(", refuse {} {}", each.m_key.m_call, NameOf(each.m_reason));
    }
    return aOutcome;
  }

  TimePoint m_now{ kStart };
  RunTable m_runs{ {} };
};

}

TEST_CASE("recorded traces of attempts at a worker")
{
  ReplayAll<Replay>(std::string{ TRACE_DIRECTORY } + "/calls", 2);
}
