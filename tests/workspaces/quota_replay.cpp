#include "replay_fleet.hpp"

using namespace greengagehub;
using namespace greengagehub::replay;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWarmUp = 20s;

struct Result
{
  double m_share{ 0 };
  double m_use{ 0 };
};

/// Runs a fleet into a fault and for 8 s after it.
Result
Replay(std::uint32_t aShards, const std::function<void(Fleet&)>& aFault)
{
  Fleet fleet{ aShards };
  // Two workspaces ask for more than they may, so that windows fill.
  fleet.m_factors[3] = 3.0;
  fleet.m_factors[6] = 3.0;
  fleet.Run(kWarmUp);
  const TimePoint faultAt = fleet.m_now;
  aFault(fleet);
  fleet.Run(8s);
  return { fleet.LowestShare(faultAt), fleet.HighestUse() };
}

void
CheckReplay(const char* aName, const std::function<void(Fleet&)>& aFault)
{
  const Result before = Replay(1, aFault);
  const Result now = Replay(4, aFault);
  MESSAGE(std::string{ aName } << ": lowest share in a second " << now.m_share
                               << ", with one coordinator " << before.m_share
                               << "; highest use of the allowance " << now.m_use
                               << ", " << before.m_use);
  CHECK(now.m_use <= 1.0);
  CHECK(before.m_use <= 1.0);
  CHECK(now.m_share >= kMinAdmitted);
}

void
Kill(Fleet& aFleet, std::uint32_t aShard)
{
  aFleet.HolderOf(aShard).m_isDead = true;
}

}

TEST_CASE("replay: no fault")
{
  // Guards against rejections below the limit that no fault explains.
  CheckReplay("no fault", [](Fleet&) {});
}

TEST_CASE("replay: a coordinator is killed")
{
  // Guards against an outage of all workspaces until the next one grants.
  CheckReplay("killed", [](Fleet& aFleet) { Kill(aFleet, 0); });
}

TEST_CASE("replay: a coordinator is paused for three seconds")
{
  // Guards against tokens of a coordinator that resumes beside its successor.
  CheckReplay("paused", [](Fleet& aFleet) {
    Daemon& daemon = aFleet.HolderOf(0);
    daemon.m_isPaused = true;
    aFleet.Run(3s);
    aFleet.Resume(daemon);
  });
}

TEST_CASE("replay: a coordinator is cut from the store")
{
  // Guards against tokens granted without a confirmed lease.
  CheckReplay("cut from the store", [](Fleet& aFleet) {
    aFleet.HolderOf(0).m_isCutFromStore = true;
  });
}

TEST_CASE("replay: a coordinator is cut from its peers only")
{
  // Guards against a coordinator that keeps its key and serves nobody.
  CheckReplay("cut from its peers", [](Fleet& aFleet) {
    aFleet.HolderOf(0).m_isCutFromPeers = true;
  });
}

TEST_CASE("replay: a coordinator restarts beside its old self")
{
  // Guards against two coordinators of one slot.
  CheckReplay("restarted beside its old self", [](Fleet& aFleet) {
    const std::size_t index = aFleet.Holder(0);
    REQUIRE(index < aFleet.m_daemons.size());
    aFleet.Restart(index);
  });
}

TEST_CASE("replay: four coordinators in a row are killed")
{
  // Guards against an outage that returns with each change.
  CheckReplay("four in a row", [](Fleet& aFleet) {
    for (std::uint32_t i = 0; i < 4; ++i) {
      Kill(aFleet, i % aFleet.m_shards);
      aFleet.Run(4s);
    }
  });
}

namespace {

/// Kills a coordinator while all workspaces ask for this part of their limits.
/// \returns The lowest share of several runs.
double
LowestNearLimit(double aFactor)
{
  double lowest = 1.0;
  for (std::uint64_t seed = 11; seed < 21; ++seed) {
    Fleet fleet{ 4 };
    fleet.m_random.seed(seed);
    fleet.m_factors.fill(aFactor);
    fleet.Run(kWarmUp);
    const TimePoint faultAt = fleet.m_now;
    Kill(fleet, 0);
    fleet.Run(7s);
    CHECK(fleet.HighestUse() <= 1.0);
    lowest = std::min(lowest, fleet.LowestShare(faultAt));
  }
  MESSAGE("at " << aFactor << " of the limits: lowest share in a second "
                << lowest);
  return lowest;
}

}

TEST_CASE("replay: a coordinator is killed at 0.8 of the limits")
{
  // Guards against three parts that do not carry what four did.
  CHECK(LowestNearLimit(0.8) >= kMinAdmitted);
}

TEST_CASE("replay: a coordinator is killed at 0.9 of the limits")
{
  // Guards against the same close to the limit.
  CHECK(LowestNearLimit(0.9) >= kMinAdmitted);
}

TEST_CASE(
  "replay: a rolling upgrade from daemons that know one coordinator, and "
  "back")
{
  // Guards against parts that are granted beside the whole.
  for (const bool resigns : { true, false }) {
    Fleet fleet{ 1 };
    for (std::size_t i = 0; i < kDaemons; ++i) {
      fleet.Replace(i, 1, true, false);
    }
    fleet.m_factors.fill(4.0);
    fleet.Run(5s);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      fleet.Replace(i, 4, false, resigns);
      fleet.Run(300ms);
    }
    fleet.Run(3s);
    CHECK(fleet.Holder(3) < kDaemons);
    CHECK(fleet.HighestUse() <= 1.0);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      fleet.Replace(i, 1, true, resigns);
      fleet.Run(300ms);
    }
    fleet.Run(3s);
    CHECK(fleet.Holder(0) < kDaemons);
    CHECK(fleet.Holder(3) == kDaemons);
    MESSAGE("highest use of the allowance " << fleet.HighestUse());
    CHECK(fleet.HighestUse() <= 1.0);
  }
}

TEST_CASE("replay: the number of shards is changed daemon by daemon")
{
  // Guards against parts of different sizes at the same time.
  Fleet fleet{ 1 };
  fleet.m_factors.fill(4.0);
  fleet.Run(5s);
  for (const std::uint32_t shards : { 4U, 2U, 1U }) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      fleet.Replace(i, shards, false, i % 2 == 0);
      fleet.Run(200ms);
    }
    fleet.Run(4s);
    CAPTURE(shards);
    CHECK(fleet.Holder(shards - 1) < kDaemons);
    CHECK(fleet.Holder(shards) == kDaemons);
    CHECK(fleet.HighestUse() <= 1.0);
  }
}

TEST_CASE("replay: two coordinators are killed at once")
{
  // Guards against more than the allowance while half of it has to do; the
  // share is not promised then.
  const auto fault = [](Fleet& aFleet) {
    Kill(aFleet, 0);
    if (aFleet.m_shards > 1 && aFleet.Holder(1) < aFleet.m_daemons.size()) {
      Kill(aFleet, 1);
    }
  };
  const Result before = Replay(1, fault);
  const Result now = Replay(4, fault);
  MESSAGE("two at once: lowest share in a second "
          << now.m_share << ", with one coordinator " << before.m_share
          << "; highest use of the allowance " << now.m_use);
  CHECK(now.m_use <= 1.0);
  CHECK(now.m_share >= before.m_share);
}

TEST_CASE("replay: all coordinators are killed at once")
{
  // Guards against a reserve that exceeds the allowance beside the tokens.
  const auto fault = [](Fleet& aFleet) {
    for (std::uint32_t i = 0; i < aFleet.m_shards; ++i) {
      if (aFleet.Holder(i) < aFleet.m_daemons.size()) {
        Kill(aFleet, i);
      }
    }
  };
  const Result before = Replay(1, fault);
  const Result now = Replay(4, fault);
  MESSAGE("all at once: lowest share in a second "
          << now.m_share << ", with one coordinator " << before.m_share
          << "; highest use of the allowance " << now.m_use);
  CHECK(now.m_use <= 1.0);
}

TEST_CASE("replay: a limit is lowered to a half")
{
  // Guards against tokens and shares that outlive the limit they were granted
  // under.
  Fleet fleet{ 4 };
  fleet.m_factors.fill(3.0);
  fleet.Run(kWarmUp);
  CHECK(fleet.HighestUse() <= 1.0);
  fleet.m_table = MakeTable(0.5);
  for (const auto& daemon : fleet.m_daemons) {
    for (std::size_t i = 0; i < kLimits.size(); ++i) {
      daemon->m_client.OnLimitLowered(ShortHash(NameOf(i)));
    }
  }
  for (auto& each : fleet.m_admittedAt) {
    each.clear();
  }
  Kill(fleet, 2);
  fleet.Run(10s);
  for (std::size_t i = 0; i < kLimits.size(); ++i) {
    const auto& times = fleet.m_admittedAt[i];
    std::size_t highest = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > kTolerance.m_window) {
        ++first;
      }
      highest = std::max(highest, last - first + 1);
    }
    CAPTURE(kLimits[i]);
    CHECK(static_cast<double>(highest) <= Allowance(kLimits[i] / 2));
  }
}

TEST_CASE("store calls of the fleet are about 2.5 a second for each shard")
{
  // Guards against calls that grow with the daemons.
  Fleet fleet{ 4 };
  fleet.Run(5s);
  const std::size_t calls = fleet.m_storeCalls;
  const std::size_t queries = fleet.m_queries;
  fleet.Run(10s);
  const double perSecond = static_cast<double>(fleet.m_storeCalls - calls) / 10;
  MESSAGE("store calls a second: " << perSecond << ", queries a second: "
                                   << (fleet.m_queries - queries) / 10);
  CHECK(perSecond <= 4 * 2.5 * 1.05);
}
