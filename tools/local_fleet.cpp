#include "greengagehub/core/digest.hpp"
#include "testkit/fleet.hpp"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <map>

/// \file
/// \brief Example of a whole fleet on this machine: two services, an accepted
/// and a rejected patch, calls, two workspaces of which one floods, and a
/// drain. Prints each step.

namespace {

using namespace greengagehub::testkit; // NOLINT: an example in one file
using greengagehub::HttpHeader;

constexpr const char* kFirstPatch = R"({
  "services": { "locker-app": { "slots": 20 }, "ledger": { "slots": 20 } },
  "routes": {
    "release": { "path": "/release", "service": "locker-app",
                 "class": "critical", "idempotent": false },
    "compartments": { "path": "/compartments", "service": "ledger",
                      "class": "lookup" } } })";
constexpr const char* kBadPatch = R"({
  "routes": { "export": { "path": "/export", "service": "audit" } } })";

constexpr const char* kSettings = "[workspaces]\nrevoke_within_ms = 5000\n";
constexpr const char* kKioskKey = "key-of-kiosks";
constexpr const char* kOfficeKey = "key-of-office";

/// A patch that adds two workspaces, with the digests of their keys.
std::string
WorkspacesPatch()
{
  return fmt::format(R"({{
  "workspaces": {{
    "kiosks": {{ "keys": ["{}"],
                "per_second": 5, "burst": 5 }},
    "office": {{ "keys": ["{}"] }} }} }})",
                     greengagehub::ToHex(greengagehub::Sha256(kKioskKey)),
                     greengagehub::ToHex(greengagehub::Sha256(kOfficeKey)));
}

void
Print(const std::string& aText)
{
  fmt::print("{}\n", aText);
}

void
ShowCommand(Fleet& aFleet,
            const std::string& aSlot,
            const std::vector<std::string>& aArguments)
{
  std::string line = "$ greengagehub";
  for (const std::string& each : aArguments) {
    line += " " + each;
  }
  Print(line);
  const CommandResult result = aFleet.Command(aSlot, aArguments);
  fmt::print("{}(exit code {})\n\n", result.m_output, result.m_exitCode);
}

void
StartWorkers(Fleet& aFleet)
{
  for (const char* slot : { "locker-app-1", "locker-app-2", "locker-app-3" }) {
    aFleet.Add(
      { .m_slot = slot, .m_service = "locker-app", .m_settings = kSettings });
  }
  for (const char* slot : { "ledger-1", "ledger-2" }) {
    aFleet.Add({ .m_slot = slot,
                 .m_service = "ledger",
                 .m_domain = "kista",
                 .m_settings = kSettings });
  }
}

void
ShowCall(const Fleet& aFleet,
         const std::string& aSlot,
         const std::string& aMethod,
         const std::string& aTarget)
{
  const CallResult result = aFleet.Call(
    aSlot, aMethod, aTarget, { HttpHeader{ "X-Request-Id", "example-1" } });
  fmt::print("{} {} at {}: {} {}\n\n",
             aMethod,
             aTarget,
             aSlot,
             result.Status(),
             result.m_result.m_response.m_body);
}

int
CallWithKey(const Fleet& aFleet, const std::string& aSlot, const char* aKey)
{
  return aFleet
    .Call(aSlot,
          "GET",
          "/compartments/17",
          { HttpHeader{ "Greengagehub-Key", aKey } })
    .Status();
}

/// \returns Whether the flooding workspace was held to its quota and the other
/// one was served.
bool
ShowWorkspaces(Fleet& aFleet)
{
  const std::string patch =
    aFleet.WriteFile("workspaces.json", WorkspacesPatch());
  Print("Adding two workspaces: kiosks with 5 requests a second, office "
        "without a limit.");
  ShowCommand(aFleet,
              "ledger-1",
              { "submit", patch, "--base", "1", "--id", "two-workspaces" });
  ShowCommand(aFleet, "ledger-1", { "version", "--wait", "2" });
  const auto isServed = [&](const char* aKey) {
    return WaitUntil(
      [&] { return CallWithKey(aFleet, "ledger-1", aKey) == 200; });
  };
  if (!isServed(kOfficeKey) || !isServed(kKioskKey)) {
    Print("The workspaces are not served.");
    return false;
  }
  fmt::print("without a key: {}, with an unknown one: {}\n",
             CallWithKey(aFleet, "ledger-1", ""),
             CallWithKey(aFleet, "ledger-2", "key-of-nobody"));
  constexpr int kFlood = 300;
  std::map<int, int> kiosks;
  std::map<int, int> office;
  const std::vector<std::string> slots = aFleet.Slots();
  for (int i = 0; i < kFlood; ++i) {
    const std::string& slot = slots[static_cast<std::size_t>(i) % slots.size()];
    ++kiosks[CallWithKey(aFleet, slot, kKioskKey)];
    if (i % 10 == 0) {
      ++office[CallWithKey(aFleet, slot, kOfficeKey)];
    }
  }
  const auto print = [](const char* aName, const std::map<int, int>& aCounts) {
    for (const auto& [status, count] : aCounts) {
      fmt::print("{}: {} answered with {}\n", aName, count, status);
    }
  };
  fmt::print("kiosks floods all daemons with {} requests:\n", kFlood);
  print("kiosks", kiosks);
  print("office", office);
  Print("");
  return kiosks[429] > 0 && office.size() == 1 && office.contains(200);
}

int
RunExample()
{
  Fleet fleet;
  Print("Starting a store, three workers of locker-app and two of ledger, each "
        "with its daemon.");
  StartWorkers(fleet);
  if (!fleet.WaitForMembers()) {
    Print("The daemons did not find each other.");
    return 1;
  }
  Print("All daemons know each other.\n");
  const std::string first = fleet.WriteFile("first.json", kFirstPatch);
  const std::string bad = fleet.WriteFile("bad.json", kBadPatch);
  ShowCommand(fleet,
              "ledger-1",
              { "submit", first, "--base", "0", "--id", "first-routes" });
  ShowCommand(fleet, "locker-app-1", { "version", "--wait", "1" });
  ShowCall(fleet, "ledger-1", "POST", "/release/17");
  ShowCall(fleet, "locker-app-1", "GET", "/compartments/17");
  ShowCall(fleet, "locker-app-1", "GET", "/nowhere");
  ShowCommand(fleet,
              "locker-app-2",
              { "submit", bad, "--base", "1", "--id", "export-route" });
  ShowCommand(fleet, "ledger-2", { "explain", "export-route" });
  ShowCommand(fleet, "ledger-2", { "explain", "first-routes" });
  const bool isFloodHeld = ShowWorkspaces(fleet);
  Print("Draining locker-app-3.");
  fleet.Daemon("locker-app-3").Signal(SIGTERM);
  const auto exitCode = fleet.Daemon("locker-app-3").Wait();
  fmt::print("locker-app-3 ended with exit code {}\n", exitCode.value_or(-1));
  return exitCode == 0 && isFloodHeld ? 0 : 1;
}

}

int
main()
{
  try {
    return RunExample();
  } catch (const std::exception& fault) {
    fmt::print(stderr, "{}\n", fault.what());
    return 1;
  }
}
