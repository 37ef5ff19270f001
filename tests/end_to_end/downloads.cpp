#include "testkit/fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <string>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr std::size_t kAnswerBytes = 90'000;

/// \returns A line of /proc/PID/status such as VmHWM, in bytes; 0 without it.
std::size_t
MemoryOf(pid_t aProcess, const std::string& aName)
{
  std::ifstream status{ "/proc/" + std::to_string(aProcess) + "/status" };
  std::string word;
  while (status >> word) {
    if (word == aName + ":") {
      std::size_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes * 1024;
    }
  }
  return 0;
}

void
AddArchive(Fleet& aFleet, const std::string& aSettings)
{
  aFleet.Add({ .m_slot = "archive-1",
               .m_service = "archive",
               .m_serviceMs = 160,
               .m_linkMbps = 15,
               .m_settings = aSettings });
  aFleet.Add({ .m_slot = "ledger-1", .m_service = "ledger" });
  REQUIRE(aFleet.WaitForMembers());
  REQUIRE(aFleet.SubmitPatch("ledger-1",
                             "first",
                             0,
                             R"({"services":{"archive":{},"ledger":{}},
        "routes":{"download":{"path":"/download","service":"archive",
                              "idempotent":true,"deadline_ms":4000,
                              "target_latency_ms":1500}}})"));
  REQUIRE(aFleet.WaitForVersion(1));
  aFleet.SetBackendFaults("archive-1", { { "answer_bytes", kAnswerBytes } });
}

/// Five times what the link carries.
LoadPlan
Downloads(const Fleet& aFleet)
{
  LoadPlan plan;
  plan.m_urls = { aFleet.CallsUrl("ledger-1") };
  plan.m_method = "GET";
  plan.m_target = "/download";
  plan.m_rate = 90.0;
  plan.m_count = 450;
  return plan;
}

}

TEST_CASE("a burst of downloads is refused or arrives, in little memory")
{
  // Guards against answers that wait on the link until after their deadline,
  // and against daemons that hold more and more of them.
  Fleet fleet;
  std::string settings;
  bool isBooked = true;
  SUBCASE("booked") {}
  SUBCASE("not booked, for comparison")
  {
    settings = "[calls]\nbooks_links = false\n";
    isBooked = false;
  }
  AddArchive(fleet, settings);
  const pid_t process = fleet.Daemon("archive-1").Pid();
  const pid_t caller = fleet.Daemon("ledger-1").Pid();
  const std::size_t idle = MemoryOf(process, "VmHWM");
  const std::size_t callersIdle = MemoryOf(caller, "VmHWM");
  const auto records = RunLoad(Downloads(fleet));
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t truncated = 0;
  for (const CallRecord& each : records) {
    if (each.IsAnswered()) {
      ++answered;
      truncated +=
        each.m_result.m_response.m_body.Size() < kAnswerBytes ? 1 : 0;
    }
    refused += each.m_reason == "link-busy" ? 1 : 0;
  }
  const std::size_t peak = MemoryOf(process, "VmHWM") - idle;
  const std::string rule = isBooked ? "booked" : "not booked";
  MESSAGE(rule << ": answered " << answered << ", refused for the link "
               << refused << " of " << records.size() << "; peak above idle "
               << peak << " bytes at the worker's daemon, "
               << MemoryOf(caller, "VmHWM") - callersIdle
               << " at the caller's");
  CHECK(truncated == 0);
  CHECK(
    fleet.Command("archive-1", { "limits" }).m_output.find("network link") !=
    std::string::npos);
  if (!isBooked) {
    CHECK(refused == 0);
    return;
  }
  CHECK(refused > 0);
  CHECK(peak <= 3'000'000);
  // Nothing that ran is lost.
  CHECK(answered + refused == records.size());
}
