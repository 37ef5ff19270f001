#pragma once

#include "testkit/fleet.hpp"

#include <doctest/doctest.h>
#include <fstream>

namespace greengagehub::testkit {

using Json = nlohmann::json;

inline Json
Rule(const char* aName, const char* aKind, const char* aPrefix)
{
  return {
    { "name", aName },
    { "kind", aKind },
    { "target_latency_ms", 500 },
    { "priority", 1 },
    { "match", { { "prefix", aPrefix } } },
    { "action",
      { { "service", "lockers" }, { "timeout_ms", 1500 }, { "attempts", 2 } } }
  };
}

inline Json
Document(const char* aVersion,
         const Json& aRules,
         std::uint64_t aMaxBodyBytes = 1000)
{
  return { { "version", aVersion },
           { "limits", { { "max_body_bytes", aMaxBodyBytes } } },
           { "listeners",
             { { { "host", "a.example" }, { "rules", aRules } } } },
           { "clusters",
             { { { "name", "lockers" },
                 { "health_check_path", "/healthz" },
                 { "max_connections", 50 } } } } };
}

inline const Json kRules = { Rule("release", "unsafe", "/release/"),
                             Rule("status", "safe", "/status/") };

/// Waits until all daemons are ready and have received a worker's report.
inline void
WaitForLockers(Fleet& aFleet)
{
  const auto acknowledged = [&](const std::string& aSlot) {
    const Json counts = aFleet.WorkerCounts(aSlot);
    return counts.is_object() ? counts.value("acknowledged", 0) : 0;
  };
  REQUIRE(aFleet.WaitForMembers());
  for (const std::string& each : aFleet.Slots()) {
    REQUIRE(WaitUntil([&] { return aFleet.IsReady(each); }));
    const int before = acknowledged(each);
    REQUIRE(WaitUntil([&] { return acknowledged(each) > before; }));
  }
}

/// Starts workers of one service, each with its daemon, and routes to them.
inline void
StartLockers(Fleet& aFleet, int aCount, std::uint32_t aServiceMs = 2)
{
  for (int i = 1; i <= aCount; ++i) {
    aFleet.Add({ .m_slot = "lockers-" + std::to_string(i),
                 .m_service = "lockers",
                 .m_serviceMs = aServiceMs,
                 .m_onPlatform = true });
  }
  aFleet.PutPlatformConfig(Document("0000000c", kRules));
  WaitForLockers(aFleet);
}

inline CallResult
SendRequest(const Fleet& aFleet,
            const std::string& aSlot,
            const char* aMethod,
            const std::string& aTarget,
            const std::string& aId,
            const char* aDeadline = "1000")
{
  return aFleet.Call(aSlot,
                     aMethod,
                     aTarget,
                     { { "Host", "a.example" },
                       { "X-Greengagehub-Request-Id", aId },
                       { "X-Greengagehub-Deadline-Ms", aDeadline } });
}

/// Has the daemon send a health check to its worker.
inline void
ReportAnotherService(const Fleet& aFleet, const std::string& aSlot)
{
  constexpr std::string_view kScheme = "http://";
  HttpClientRequest request;
  request.m_method = "PUT";
  request.m_url = aFleet.HeartbeatsUrl(aSlot) + "/instances/i-other";
  request.m_body = Json{
    { "service", "ledger" },
    { "address", aFleet.BackendUrl(aSlot).substr(kScheme.size()) },
    { "zone", "solna" },
    { "version", "v1" },
    { "slots", 1 },
    { "state", "ready" },
    { "cold_left_ms", 0 },
    { "seq", 1 }
  }.dump();
  CHECK(SendAndWait(std::move(request)).m_response.m_status == 200);
}

/// \returns A field of /proc/PID/status, in KiB.
inline std::uint64_t
MemoryField(const Process& aProcess, const std::string& aField)
{
  std::ifstream file{ "/proc/" + std::to_string(aProcess.Pid()) + "/status" };
  std::string word;
  while (file >> word) {
    if (word == aField + ":") {
      std::uint64_t kib = 0;
      file >> kib;
      return kib;
    }
  }
  return 0;
}

inline std::uint64_t
Runs(const Fleet& aFleet, const std::string& aId)
{
  std::uint64_t runs = 0;
  for (const std::string& each : aFleet.Slots()) {
    runs += aFleet.WorkerCounts(each)["runs"].value(aId, 0);
  }
  return runs;
}

}
