#include "platform_fleet.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

constexpr const char* kTarget = "/status/all";
constexpr int kOldWorkers = 4;
constexpr int kNewWorkers = 3;
/// Upper bound on the calls to a bad version: a share of all calls plus slack.
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
  for (int i = 1; i <= kNewWorkers; ++i) {
    aFleet.Add({ .m_slot = NewSlot(i),
                 .m_service = "lockers",
                 .m_serviceMs = 2,
                 .m_backendArguments = { "--version", "v2" },
                 .m_onPlatform = true });
    aFleet.ControlWorker(NewSlot(i), { { "fail", aFails } });
  }
  WaitForLockers(aFleet);
}

void
OrderRollout(const Fleet& aFleet, double aSeconds)
{
  aFleet.WriteToStore("op/rollout/lockers",
                      Json{ { "service", "lockers" },
                            { "target_version", "v2" },
                            { "duration_s", aSeconds } }
                        .dump());
}

std::string
StateOf(const Fleet& aFleet)
{
  const std::string text = aFleet.ReadFromStore("status/rollout/lockers");
  const Json status = Json::parse(text, nullptr, false);
  return status.is_object() ? status.value("state", "") : "";
}

int
RunsAtNew(const Fleet& aFleet)
{
  int runs = 0;
  for (int i = 1; i <= kNewWorkers; ++i) {
    runs += aFleet.WorkerCounts(NewSlot(i))["targets"].value(kTarget, 0);
  }
  return runs;
}

int
RunsAtOld(const Fleet& aFleet)
{
  int runs = 0;
  for (int i = 1; i <= kOldWorkers; ++i) {
    const std::string slot = "lockers-" + std::to_string(i);
    runs += aFleet.WorkerCounts(slot)["targets"].value(kTarget, 0);
  }
  return runs;
}

/// Sends calls through the daemons of the old workers, in turn.
class CallGenerator
{
public:
  explicit CallGenerator(const Fleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  void Call(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      ++m_calls;
      const std::string slot =
        "lockers-" + std::to_string(m_calls % kOldWorkers + 1);
      const CallResult result = SendRequest(
        m_fleet, slot, "GET", kTarget, "call-" + std::to_string(m_calls));
      m_failed += result.Status() == 200 ? 0 : 1;
    }
  }

  /// Sends calls until the roll-out reaches a state.
  /// \returns False if it does not within a minute.
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

  [[nodiscard]] int CallCount() const noexcept { return m_calls; }
  [[nodiscard]] int FailureCount() const noexcept { return m_failed; }

private:
  const Fleet& m_fleet;
  int m_calls{ 0 };
  int m_failed{ 0 };
};

}

TEST_CASE("a failing version gets a few calls and is rolled back")
{
  // Its workers must get no call before the order or after the rollback.
  Fleet fleet;
  StartLockers(fleet, kOldWorkers);
  AddNewWorkers(fleet, true);
  CallGenerator generator{ fleet };
  generator.Call(100);
  CHECK(RunsAtNew(fleet) == 0);

  OrderRollout(fleet, 20.0);
  REQUIRE(generator.CallUntil("rolled_back"));
  const int canaryRuns = RunsAtNew(fleet);
  CHECK(canaryRuns > 0);
  CHECK(canaryRuns <= kMaxShare * generator.CallCount() + kSlack);
  // Calls that failed there were retried at the old version.
  CHECK(generator.FailureCount() == 0);

  generator.Call(200);
  CHECK(RunsAtNew(fleet) == canaryRuns);
  CHECK(StateOf(fleet) == "rolled_back");
}

TEST_CASE("the command line starts a roll-out and explains its rollback")
{
  Fleet fleet;
  StartLockers(fleet, kOldWorkers);
  AddNewWorkers(fleet, true);
  CallGenerator generator{ fleet };
  const auto command = [&](std::vector<std::string> aArguments) {
    return fleet.Command("lockers-1", std::move(aArguments));
  };
  const std::vector<std::string> start{ "rollout", "start",     "lockers",
                                        "v2",      "--timeout", "20" };
  REQUIRE(command(start).m_exitCode == 0);
  REQUIRE(generator.CallUntil("rolled_back"));
  const std::string explanation =
    command({ "rollout", "explain", "lockers" }).m_output;
  CAPTURE(explanation);
  CHECK(explanation.find("v1 to v2, rolled_back") != std::string::npos);
  CHECK(explanation.find("reason: failures") != std::string::npos);
  // The same build is not tried again under the same name.
  CHECK(command(start).m_exitCode == 1);
  CHECK(command({ "rollout", "stop", "lockers" }).m_exitCode == 1);
  CHECK(command({ "rollout", "begin" }).m_exitCode == 2);
}

TEST_CASE("a good version gets all calls and its roll-out completes")
{
  Fleet fleet;
  StartLockers(fleet, kOldWorkers);
  AddNewWorkers(fleet, false);
  CallGenerator generator{ fleet };
  OrderRollout(fleet, 10.0);
  REQUIRE(generator.CallUntil("completed"));
  const int old = RunsAtOld(fleet);
  generator.Call(200);
  // The old workers get no more calls, so they may be stopped.
  CHECK(RunsAtOld(fleet) == old);
  CHECK(generator.FailureCount() == 0);
}

TEST_CASE("a rollback outlasts a restore of the store")
{
  // A restore removes the order and its result; the same order under another
  // revision must not start the bad version again.
  Fleet fleet;
  StartLockers(fleet, kOldWorkers);
  AddNewWorkers(fleet, true);
  fleet.PostToStore("/backup");
  CallGenerator generator{ fleet };
  OrderRollout(fleet, 20.0);
  REQUIRE(generator.CallUntil("rolled_back"));
  const int canaryRuns = RunsAtNew(fleet);

  fleet.PostToStore("/restore");
  CHECK(StateOf(fleet).empty());
  OrderRollout(fleet, 20.0);
  REQUIRE(generator.CallUntil("rolled_back"));
  generator.Call(200);
  CHECK(RunsAtNew(fleet) == canaryRuns);
  CHECK(StateOf(fleet) == "rolled_back");
}

TEST_CASE("a roll-out continues when its leaders are restarted")
{
  // Daemons are killed in turn during a canary of a failing version: it must
  // still be rolled back within its exposure limit.
  Fleet fleet;
  StartLockers(fleet, kOldWorkers);
  AddNewWorkers(fleet, true);
  CallGenerator generator{ fleet };
  OrderRollout(fleet, 20.0);
  for (int i = 1; i <= kNewWorkers; ++i) {
    generator.Call(60);
    fleet.Restart(NewSlot(i));
  }
  REQUIRE(generator.CallUntil("rolled_back"));
  CHECK(RunsAtNew(fleet) <= kMaxShare * generator.CallCount() + kSlack);
}
