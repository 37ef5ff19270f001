#include "platform_fleet.hpp"

#include <fmt/format.h>
#include <string>
#include <vector>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr int kRequests = 8;
constexpr std::uint64_t kMaxBodyBytes = 64UL * 1024 * 1024;
/// More than the buffers of a loopback connection hold.
constexpr std::size_t kUploadBytes = 6UL * 1024 * 1024;
constexpr const char* kDeadlineMs = "4000";

/// A worker that can send broken answers, and an instance from which its calls
/// cross a link.
void
StartWithFaulty(Fleet& aFleet)
{
  aFleet.Add({ .m_slot = "desk-1", .m_service = "desk", .m_onPlatform = true });
  // First, as a health check needs the path from the configuration.
  Json document = Document("0000000c", kRules, kMaxBodyBytes);
  for (Json& each : document["listeners"][0]["rules"]) {
    each["action"]["timeout_ms"] = std::stoi(kDeadlineMs);
  }
  aFleet.PutPlatformConfig(document);
  WaitForLockers(aFleet);
  aFleet.Add({ .m_slot = "lockers-1",
               .m_service = "lockers",
               .m_onPlatform = true,
               .m_isFaulty = true });
  WaitForLockers(aFleet);
}

std::string
RequestId(const std::string& aForm, const std::string& aSlot, int aNumber)
{
  return fmt::format("{}-{}-{}", aForm, aSlot, aNumber);
}

std::vector<CallResult>
SendRequests(const Fleet& aFleet,
             const std::string& aForm,
             const std::string& aSlot,
             std::size_t aBodyBytes)
{
  aFleet.ControlWorker("lockers-1", { { "requests", aForm } });
  std::vector<CallResult> results;
  results.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    results.push_back(
      aFleet.Call(aSlot,
                  "POST",
                  "/release/1",
                  { { "Host", "a.example" },
                    { "X-Greengagehub-Request-Id", RequestId(aForm, aSlot, i) },
                    { "X-Greengagehub-Deadline-Ms", kDeadlineMs } },
                  std::string(aBodyBytes, 'x')));
  }
  return results;
}

/// Checks that no client takes a broken answer for an answer, and that none is
/// told that a request has not run which the worker received.
void
CheckAllLost(const Fleet& aFleet,
             const std::string& aForm,
             std::size_t aBodyBytes = 0)
{
  CAPTURE(aForm);
  for (const std::string slot : { "lockers-1", "desk-1" }) {
    CAPTURE(slot);
    const auto countAnswers = [&] {
      return aFleet.WorkerCounts("lockers-1")["answers"].get<int>();
    };
    const int before = countAnswers();
    int lost = 0;
    int refused = 0;
    for (const CallResult& each :
         SendRequests(aFleet, aForm, slot, aBodyBytes)) {
      CAPTURE(each.m_result.m_response.m_body.View());
      lost += each.Status() == 502 ? 1 : 0;
      refused += each.Status() == 503 ? 1 : 0;
    }
    const int answers = countAnswers() - before;
    CHECK(answers > 0);
    CHECK(lost == answers);
    CHECK(lost + refused == kRequests);
  }
}

}

TEST_CASE("an answer that is reset during an upload reaches no client")
{
  // Guards against a client that takes the received part for the whole answer.
  Fleet fleet;
  StartWithFaulty(fleet);
  for (const char* form : { "unframed-reset",
                            "unframed-late-reset",
                            "unframed-end-reset",
                            "length-reset",
                            "chunks-reset" }) {
    CheckAllLost(fleet, form, kUploadBytes);
  }
}

TEST_CASE("an early answer of a worker that reads on is served whole")
{
  // Guards against a whole answer that is dropped because it came before the
  // end of the upload.
  Fleet fleet;
  StartWithFaulty(fleet);
  for (const std::string form : { "unframed-early", "length-early" }) {
    for (const char* slot : { "lockers-1", "desk-1" }) {
      CAPTURE(form);
      CAPTURE(slot);
      for (const CallResult& each :
           SendRequests(fleet, form, slot, kUploadBytes)) {
        CHECK(each.Status() == 200);
        CHECK(each.m_result.m_response.m_body.View() == "answer");
      }
    }
  }
}

TEST_CASE("an answer without a valid status line reaches no client")
{
  // Guards against a broken answer that is passed on, taken for an interim one
  // until the deadline, or believed in what it says about the worker.
  Fleet fleet;
  StartWithFaulty(fleet);
  for (const char* form : { "status-000",
                            "status-20",
                            "status-101",
                            "status-0200",
                            "status-600",
                            "version-2" }) {
    CheckAllLost(fleet, form);
  }
  for (const CallResult& each : SendRequests(fleet, "", "desk-1", 0)) {
    CHECK(each.Status() == 200);
  }
}

TEST_CASE("an answer with a field name that is no token reaches no client")
{
  // Guards against a line that clients read differently, up to another body.
  Fleet fleet;
  StartWithFaulty(fleet);
  for (const char* form : { "name-with-blank",
                            "name-before-blank",
                            "name-behind-blank",
                            "length-before-blank",
                            "coding-before-blank",
                            "trailer-with-blank" }) {
    CheckAllLost(fleet, form);
  }
}

TEST_CASE("an answer with a broken line end reaches no client")
{
  // Guards against a head or chunk that ends where the worker did not end it.
  Fleet fleet;
  StartWithFaulty(fleet);
  for (const char* form :
       { "name-behind-cr", "name-behind-lf", "chunk-without-end" }) {
    CheckAllLost(fleet, form);
  }
}

TEST_CASE("a broken answer is counted and logged with its reason")
{
  // Guards against lost answers whose cause an operator cannot find.
  struct Case
  {
    const char* m_form;
    std::string m_reason;
    std::size_t m_bodyBytes{ 0 };
  };
  Fleet fleet;
  StartWithFaulty(fleet);
  for (const Case& each :
       { Case{ "status-000", "status-line" },
         Case{ "name-with-blank", "field-name" },
         Case{ "name-behind-cr", "line-end" },
         Case{ "unframed-late-reset", "reset-while-sending", kUploadBytes } }) {
    CAPTURE(each.m_reason);
    CheckAllLost(fleet, each.m_form, each.m_bodyBytes);
    const CallResult metrics =
      fleet.CallOperatorsApi("lockers-1", "GET", "/metrics");
    const std::string line = fmt::format(
      "greengagehub_broken_answers_total{{reason=\"{}\"}} 16", each.m_reason);
    CHECK(metrics.m_result.m_response.m_body.View().find(line) !=
          std::string_view::npos);
    const std::string id = RequestId(each.m_form, "desk-1", 0);
    std::string trace;
    CHECK(WaitUntil([&] {
      trace = fleet.Trace(id).m_output;
      return trace.find("answer_broken") != std::string::npos;
    }));
    CHECK(trace.find(each.m_reason) != std::string::npos);
  }
}

TEST_CASE("a broken answer to a health check says nothing about the worker")
{
  // Guards against an id or a departure that is believed from such an answer.
  for (const std::string form :
       { "status-000", "name-with-blank", "name-behind-lf", "version-2" }) {
    CAPTURE(form);
    // A fleet for each form, as a daemon checks a reported worker once.
    Fleet fleet;
    StartWithFaulty(fleet);
    fleet.ControlWorker("lockers-1", { { "health", form } });
    ReportAnotherService(fleet, "lockers-1");
    CHECK(WaitUntil(
      [&] { return fleet.WorkerCounts("lockers-1")["answers"] > 0; }));
    for (const CallResult& each : SendRequests(fleet, "", "desk-1", 0)) {
      CHECK(each.Status() == 200);
    }
  }
}
