#include "platform_fleet.hpp"

#include <doctest/doctest.h>

// A version of a service's software is brought in beside the one in service.

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

constexpr const char* kTarget = "/status/all";
constexpr int kOld = 4;
constexpr int kNew = 3;
/// What a bad version may get of all calls: a share, and some.
constexpr double kMaxShare = 0.1;
constexpr int kSlack = 50;

std::string
NewSlot(int aIndex)
{
  return "lockers-new-" + std::to_string(aIndex);
}

void
AddNewWorkers(Fleet& aFleet, bool aFails)
{
  for (int i = 1; i <= kNew; ++i) {
    aFleet.Add({ .m_slot = NewSlot(i),
                 .m_service = "lockers",
                 .m_serviceMs = 2,
                 .m_backendArguments = { "--version", "v2" },
                 .m_onPlatform = true });
    aFleet.ControlWorker(NewSlot(i), { { "fail", aFails } });
  }
  AwaitLockers(aFleet);
}

void
Order(const Fleet& aFleet, double aSeconds)
{
  aFleet.PutIntoStore("op/rollout/lockers",
                      Json{ { "service", "lockers" },
                            { "target_version", "v2" },
                            { "duration_s", aSeconds } }
                        .dump());
}

std::string
StateOf(const Fleet& aFleet)
{
  const std::string text = aFleet.FromStore("status/rollout/lockers");
  const Json status = Json::parse(text, nullptr, false);
  return status.is_object() ? status.value("state", "") : "";
}

int
RunsAtNew(const Fleet& aFleet)
{
  int runs = 0;
  for (int i = 1; i <= kNew; ++i) {
    runs += aFleet.WorkerCounts(NewSlot(i))["targets"].value(kTarget, 0);
  }
  return runs;
}

int
RunsAtOld(const Fleet& aFleet)
{
  int runs = 0;
  for (int i = 1; i <= kOld; ++i) {
    const std::string slot = "lockers-" + std::to_string(i);
    runs += aFleet.WorkerCounts(slot)["targets"].value(kTarget, 0);
  }
  return runs;
}

/// Calls through all daemons beside old workers, in turn.
class Callers
{
public:
  explicit Callers(const Fleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  void Call(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      ++m_calls;
      const std::string slot = "lockers-" + std::to_string(m_calls % kOld + 1);
      const CallResult result =
        Ask(m_fleet, slot, "GET", kTarget, "call-" + std::to_string(m_calls));
      m_failed += result.Status() == 200 ? 0 : 1;
    }
  }

  /// \returns Whether the store says this before some minutes of calls are
  /// over.
  [[nodiscard]] bool CallUntil(std::string_view aState)
  {
    const auto until = std::chrono::steady_clock::now() + 60s;
    while (StateOf(m_fleet) != aState) {
      if (std::chrono::steady_clock::now() > until) {
        return false;
      }
      Call(20);
    }
    return true;
  }

  [[nodiscard]] int Calls() const noexcept { return m_calls; }
  [[nodiscard]] int Failed() const noexcept { return m_failed; }

private:
  const Fleet& m_fleet;
  int m_calls{ 0 };
  int m_failed{ 0 };
};

}

TEST_CASE("a version that fails is tried on a few calls and rolled back")
{
  // All runs of the new version fail. Its workers are there before the order,
  // get nothing until it, few calls after it, and none once it is rolled back.
  Fleet fleet;
  StartLockers(fleet, kOld);
  AddNewWorkers(fleet, true);
  Callers callers{ fleet };
  callers.Call(100);
  CHECK(RunsAtNew(fleet) == 0);

  Order(fleet, 20.0);
  REQUIRE(callers.CallUntil("rolled_back"));
  const int tried = RunsAtNew(fleet);
  CHECK(tried > 0);
  CHECK(tried <= kMaxShare * callers.Calls() + kSlack);
  // Whoever failed there was served by the other version.
  CHECK(callers.Failed() == 0);

  callers.Call(200);
  CHECK(RunsAtNew(fleet) == tried);
  CHECK(StateOf(fleet) == "rolled_back");
}

TEST_CASE("an operator orders a roll-out, and is told why it was rolled back")
{
  Fleet fleet;
  StartLockers(fleet, kOld);
  AddNewWorkers(fleet, true);
  Callers callers{ fleet };
  const auto command = [&](std::vector<std::string> aWords) {
    return fleet.Command("lockers-1", std::move(aWords));
  };
  const std::vector<std::string> start{ "rollout", "start",     "lockers",
                                        "v2",      "--timeout", "20" };
  REQUIRE(command(start).m_exitCode == 0);
  REQUIRE(callers.CallUntil("rolled_back"));
  const std::string told =
    command({ "rollout", "explain", "lockers" }).m_output;
  CAPTURE(told);
  CHECK(told.find("v1 to v2, rolled_back") != std::string::npos);
  CHECK(told.find("reason: failures") != std::string::npos);
  // The same build is not tried again under the same name.
  CHECK(command(start).m_exitCode == 1);
  CHECK(command({ "rollout", "stop", "lockers" }).m_exitCode == 1);
  CHECK(command({ "rollout", "begin" }).m_exitCode == 2);
}

TEST_CASE("a version that does well gets all calls and is completed")
{
  Fleet fleet;
  StartLockers(fleet, kOld);
  AddNewWorkers(fleet, false);
  Callers callers{ fleet };
  Order(fleet, 10.0);
  REQUIRE(callers.CallUntil("completed"));
  const int old = RunsAtOld(fleet);
  callers.Call(200);
  // They may be stopped at any moment from now on.
  CHECK(RunsAtOld(fleet) == old);
  CHECK(callers.Failed() == 0);
}

TEST_CASE("a verdict outlives a store that comes back from an older copy")
{
  // The copy is from before the order. Order and verdict are gone; the operator
  // writes the order again, under another revision.
  Fleet fleet;
  StartLockers(fleet, kOld);
  AddNewWorkers(fleet, true);
  fleet.StoreAction("/backup");
  Callers callers{ fleet };
  Order(fleet, 20.0);
  REQUIRE(callers.CallUntil("rolled_back"));
  const int tried = RunsAtNew(fleet);

  fleet.StoreAction("/restore");
  CHECK(StateOf(fleet).empty());
  Order(fleet, 20.0);
  REQUIRE(callers.CallUntil("rolled_back"));
  callers.Call(200);
  CHECK(RunsAtNew(fleet) == tried);
  CHECK(StateOf(fleet) == "rolled_back");
}

TEST_CASE("a roll-out outlives the daemons that lead it")
{
  // One daemon after the other is killed while a version that fails is tried
  // and written down; the store still gets the one word.
  Fleet fleet;
  StartLockers(fleet, kOld);
  AddNewWorkers(fleet, true);
  Callers callers{ fleet };
  Order(fleet, 20.0);
  for (int i = 1; i <= kNew; ++i) {
    callers.Call(60);
    fleet.Restart(NewSlot(i));
  }
  REQUIRE(callers.CallUntil("rolled_back"));
  CHECK(RunsAtNew(fleet) <= kMaxShare * callers.Calls() + kSlack);
}
