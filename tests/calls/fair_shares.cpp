#include "greengagehub/calls/run_table.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr auto kService = 100ms;
constexpr std::uint64_t kFlood = 1;
constexpr std::uint64_t kOther = 2;

/// \brief One worker in virtual time whose runs all take kService.
class SharedWorker
{
public:
  explicit SharedWorker(std::uint32_t aSlots, std::uint32_t aQueue = 24)
    : m_table({ .m_slots = aSlots, .m_queue = aQueue })
  {
    // The first run shows how long they take.
    Send(0);
    RunFor(kService);
    m_started.clear();
  }

  RunTable m_table;
  TimePoint m_now{ 1h };
  /// Runs started and calls refused, by workspace.
  std::map<std::uint64_t, int> m_started{};
  std::map<std::uint64_t, int> m_refused{};

  Admission::Kind Send(std::uint64_t aWorkspace,
                       std::uint32_t aWeight = kUnitWeight,
                       std::uint32_t aPriority = 0,
                       std::uint64_t aCaller = 1)
  {
    const CallKey key{ aCaller, ++m_lastCall };
    m_workspaceOf[key] = aWorkspace;
    RunActions out;
    const auto admission = m_table.Admit(
      m_now,
      key,
      1,
      { .m_priority = aPriority,
        .m_timeLeft = 10s,
        .m_targetLeft = 10s,
        .m_share = { aWorkspace, aWorkspace != 0 ? aWeight : 0 } },
      out);
    if (admission.m_kind == Admission::Kind::Start) {
      Start(key);
    } else if (admission.m_kind == Admission::Kind::Refused) {
      ++m_refused[aWorkspace];
    }
    Apply(out);
    return admission.m_kind;
  }

  void SendMany(std::uint64_t aWorkspace, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      static_cast<void>(Send(aWorkspace));
    }
  }

  void RunFor(Duration aSpan)
  {
    const TimePoint until = m_now + aSpan;
    while (!m_ends.empty() && m_ends.begin()->first <= until) {
      m_now = m_ends.begin()->first;
      const CallKey key = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      Apply(m_table.Finish(m_now, key));
    }
    m_now = until;
  }

  /// Keeps up to four calls of each workspace waiting.
  void RunBacklogged(const std::vector<CallShare>& aShares, Duration aSpan)
  {
    for (const TimePoint end = m_now + aSpan; m_now < end;) {
      for (const CallShare& each : aShares) {
        const std::uint64_t workspace = each.m_workspace;
        while (m_table.Shares().UseOf(m_now, workspace).m_queued < 4 &&
               Send(workspace, each.m_weight) != Admission::Kind::Refused) {
        }
      }
      RunFor(10ms);
    }
  }

private:
  void Start(const CallKey& aKey)
  {
    ++m_started[m_workspaceOf.at(aKey)];
    m_ends.emplace(m_now + kService, aKey);
  }

  void Apply(const RunActions& aActions)
  {
    for (const RefusedRun& each : aActions.m_refused) {
      ++m_refused[m_workspaceOf.at(each.m_key)];
    }
    for (const CallKey& each : aActions.m_start) {
      Start(each);
    }
  }

  std::uint64_t m_lastCall{ 0 };
  std::map<CallKey, std::uint64_t> m_workspaceOf{};
  std::multimap<TimePoint, CallKey> m_ends{};
};

}

TEST_CASE("a call starts before those that a flooding workspace queued earlier")
{
  // Guards against an order of arrival, in which a call waits behind all calls
  // of a workspace that floods.
  SharedWorker worker{ 2 };
  worker.SendMany(kFlood, 20);
  REQUIRE(worker.Send(kOther) == Admission::Kind::Queued);
  worker.RunFor(kService);
  CHECK(worker.m_started[kOther] == 1);
}

TEST_CASE("a workspace within its share is not refused by a queue that another "
          "has filled")
{
  // Guards against a full queue that refuses the call that came last.
  SharedWorker worker{ 2, 10 };
  worker.SendMany(kFlood, 40);
  const int refused = worker.m_refused[kFlood];
  CHECK(worker.Send(kOther) == Admission::Kind::Queued);
  CHECK(worker.m_refused[kOther] == 0);
  CHECK(worker.m_refused[kFlood] == refused + 1);
  CHECK(worker.m_table.Queued() == 10);
}

TEST_CASE("a flooding workspace does not displace calls within their share")
{
  // Guards against evictions in favour of the workspace that is ahead.
  SharedWorker worker{ 2, 10 };
  worker.SendMany(kFlood, 4);
  for (std::uint64_t other = kOther; other < kOther + 8; ++other) {
    REQUIRE(worker.Send(other) == Admission::Kind::Queued);
  }
  worker.SendMany(kFlood, 20);
  for (std::uint64_t other = kOther; other < kOther + 8; ++other) {
    CHECK(worker.m_refused[other] == 0);
  }
  CHECK(worker.m_table.Shares().RefusedCount() > 0);
}

TEST_CASE("a workspace alone uses all slots and the whole queue")
{
  // Guards against slots or queue places that are kept for workspaces without
  // calls.
  SharedWorker worker{ 4, 10 };
  worker.SendMany(kFlood, 14);
  CHECK(worker.m_table.Running() == 4);
  CHECK(worker.m_table.Queued() == 10);
  CHECK(worker.m_refused[kFlood] == 0);
  worker.RunFor(1s);
  CHECK(worker.m_started[kFlood] == 14);
}

TEST_CASE("no slot is idle while a call of any workspace waits")
{
  // Guards against a share that limits a workspace although slots are free.
  SharedWorker worker{ 4, 16 };
  worker.SendMany(kFlood, 12);
  worker.SendMany(kOther, 2);
  while (worker.m_table.Queued() > 0) {
    CHECK(worker.m_table.Running() == 4);
    worker.RunFor(10ms);
  }
  CHECK(worker.m_started[kFlood] == 12);
}

TEST_CASE("slot time is shared by weight while all have calls waiting")
{
  // Guards against equal shares in spite of unequal weights.
  SharedWorker worker{ 4 };
  worker.RunBacklogged({ { 1, 1000 }, { 2, 3000 } }, 20s);
  CHECK(worker.m_started[2] ==
        doctest::Approx(3.0 * worker.m_started[1]).epsilon(0.05));
}

TEST_CASE("a workspace gains no credit while it has no calls")
{
  // Guards against a workspace that uses the worker alone after a pause, by
  // the shares that it did not use.
  SharedWorker worker{ 2 };
  worker.RunBacklogged({ { 1, 1000 } }, 30s);
  worker.m_started.clear();
  worker.RunBacklogged({ { 1, 1000 }, { 2, 1000 } }, 2s);
  CHECK(worker.m_started[1] >= 18);
  CHECK(worker.m_started[2] >= 18);
}

TEST_CASE("a workspace that used free slots is not behind afterwards")
{
  // Guards against shares that charge for what nobody else wanted.
  SharedWorker worker{ 4 };
  for (int i = 0; i < 100; ++i) {
    worker.SendMany(kFlood, 3);
    worker.RunFor(kService);
  }
  worker.m_started.clear();
  worker.RunBacklogged({ { kFlood, 1000 }, { kOther, 1000 } }, 2s);
  CHECK(worker.m_started[kFlood] >= 36);
}

TEST_CASE("the number of callers of a workspace does not matter")
{
  // Guards against shares by caller instead of by workspace.
  SharedWorker worker{ 2 };
  for (std::uint64_t caller = 1; caller <= 20; ++caller) {
    static_cast<void>(worker.Send(kFlood, kUnitWeight, 0, caller));
  }
  worker.SendMany(kOther, 4);
  worker.RunFor(4 * kService);
  CHECK(worker.m_started[kOther] == 4);
}

TEST_CASE("calls of a higher rank go first in spite of shares")
{
  // Guards against shares across ranks, which the configuration orders.
  SharedWorker worker{ 1 };
  static_cast<void>(worker.Send(kFlood));
  for (int i = 0; i < 3; ++i) {
    static_cast<void>(worker.Send(kFlood));
  }
  static_cast<void>(worker.Send(kOther, kUnitWeight, 1));
  worker.RunFor(3 * kService);
  CHECK(worker.m_started[kFlood] == 4);
  CHECK(worker.m_started[kOther] == 0);
}

TEST_CASE("calls without workspace weigh as much as all known workspaces")
{
  // Guards against daemons of an earlier version, whose calls name no
  // workspace, being held to the share of one.
  SharedWorker worker{ 2, 40 };
  worker.RunBacklogged({ { 1, 1000 }, { 2, 1000 }, { 3, 1000 }, { 0, 0 } },
                       20s);
  const int named =
    worker.m_started[1] + worker.m_started[2] + worker.m_started[3];
  CHECK(worker.m_started[0] == doctest::Approx(named).epsilon(0.1));
}

TEST_CASE("shares are kept while the worker restarts")
{
  // Guards against charges that are lost, or counted twice, when runs end after
  // their worker has been replaced.
  SharedWorker worker{ 2 };
  worker.RunBacklogged({ { 1, 1000 }, { 2, 1000 } }, 1s);
  worker.m_table.OnWorkerRestarted();
  worker.m_started.clear();
  worker.RunBacklogged({ { 1, 1000 }, { 2, 1000 } }, 4s);
  CHECK(worker.m_started[1] ==
        doctest::Approx(worker.m_started[2]).epsilon(0.1));
}

TEST_CASE("a refused call costs its workspace nothing")
{
  // Guards against calls that are refused and retried being charged again at
  // every worker that they reach.
  SharedWorker worker{ 1, 4 };
  worker.SendMany(kFlood, 5);
  worker.SendMany(kOther, 40);
  REQUIRE(worker.m_refused[kOther] >= 30);
  CHECK(worker.m_table.Shares().UseOf(worker.m_now, kOther).m_recentSeconds ==
        0.0);
  worker.m_started.clear();
  worker.RunBacklogged({ { kFlood, 1000 }, { kOther, 1000 } }, 4s);
  CHECK(worker.m_started[kOther] ==
        doctest::Approx(worker.m_started[kFlood]).epsilon(0.1));
}

TEST_CASE("idle workspaces are forgotten")
{
  // Guards against state for every workspace that was ever seen.
  SharedWorker worker{ 2 };
  for (std::uint64_t workspace = 1; workspace <= 12'000; ++workspace) {
    static_cast<void>(worker.Send(workspace));
    worker.RunFor(kService / 2);
  }
  worker.RunFor(1s);
  CHECK(worker.m_table.Shares().FlowCount() == 0);
  CHECK(worker.m_table.Shares().Uses(worker.m_now).size() <=
        FairShares::kMaxWorkspaces);
  CHECK_FALSE(worker.m_table.Shares().IsInUse());
}

TEST_CASE("no more than 10,000 workspaces are remembered")
{
  // Guards against unbounded state while the worker is never idle and all
  // workspaces are ahead of their shares.
  FairShares shares;
  TimePoint now{ 1h };
  auto held = shares.Queue(now, 0, { 1, kUnitWeight }, kService);
  for (std::uint64_t workspace = 2; workspace <= 30'000; ++workspace) {
    now += 1ms;
    auto ticket = shares.Queue(now, 0, { workspace, kUnitWeight }, kService);
    shares.Start(ticket, kService);
    shares.Finish(now, ticket, kService);
    REQUIRE(shares.FlowCount() <= FairShares::kMaxWorkspaces);
  }
  CHECK(shares.Uses(now).size() <= FairShares::kMaxWorkspaces);
  shares.Drop(held);
  CHECK(shares.FlowCount() == 0);
}
