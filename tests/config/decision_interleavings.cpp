#include "fake_store.hpp"

#include "greengagehub/config/compaction_process.hpp"
#include "greengagehub/config/decision_process.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <set>
#include <unordered_set>

// Enumerates interleavings of submissions and compaction with lost replies and
// delayed writes, and compares answers with the recorded decisions.

using namespace greengagehub;

namespace {

using Status = StoreReply::Status;

enum class Fault
{
  None,
  /// The write takes effect; the reply is lost.
  ReplyLost,
  /// The request is lost; the sender receives no reply.
  RequestLost,
  /// The write takes effect later, or never.
  Delayed,
  /// The store rejects the request.
  Unavailable,
};

void
Mix(std::size_t& aDigest, std::size_t aValue)
{
  aDigest = (aDigest ^ aValue) * 0x9E3779B97F4A7C15U;
  aDigest ^= aDigest >> 29U;
}

struct Actor
{
  std::optional<DecisionProcess> m_submit;
  std::optional<CompactionProcess> m_compaction;
  std::optional<StoreRequest> m_next;
  std::optional<DecisionAnswer> m_answer;
  /// Hash of all replies so far; they determine the state of the process.
  std::size_t m_repliesHash{ 0 };

  void Advance(DecisionProcess::Step aStep)
  {
    m_next.reset();
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      m_next = std::move(*request);
    } else {
      m_answer = std::move(std::get<DecisionAnswer>(aStep));
    }
  }
  void Advance(CompactionProcess::Step aStep)
  {
    m_next.reset();
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      m_next = std::move(*request);
    }
  }
  void Start()
  {
    if (m_submit) {
      Advance(m_submit->Start());
    } else {
      Advance(m_compaction->Start());
    }
  }
  void OnReply(const StoreReply& aReply)
  {
    Mix(m_repliesHash, static_cast<std::size_t>(aReply.m_status));
    Mix(m_repliesHash, aReply.m_revision);
    Mix(m_repliesHash, std::hash<std::string>{}(aReply.m_value));
    if (m_submit) {
      Advance(m_submit->OnReply(aReply));
    } else {
      Advance(m_compaction->OnReply(aReply));
    }
  }
};

struct World
{
  FakeStore m_store;
  std::vector<Actor> m_actors;
  /// Delayed writes whose sender no longer waits.
  std::vector<StoreRequest> m_delayed;
  int m_faultsLeft{ 0 };
};

/// \returns A hash of the state, to recognize states that were visited before.
std::size_t
HashOfState(const World& aWorld)
{
  std::size_t digest = static_cast<std::size_t>(aWorld.m_faultsLeft);
  for (const auto& [name, key] : aWorld.m_store.m_keys) {
    Mix(digest, std::hash<std::string>{}(name));
    Mix(digest, std::hash<std::string>{}(key.m_value));
    Mix(digest, key.m_revision);
  }
  for (const Actor& each : aWorld.m_actors) {
    Mix(digest, each.m_repliesHash);
  }
  for (const StoreRequest& each : aWorld.m_delayed) {
    Mix(digest, std::hash<std::string>{}(each.m_key + each.m_value));
  }
  return digest;
}

std::optional<Decision>
Find(FakeStore aStore, const std::string& aId)
{
  DecisionProcess lookup{ ActiveConfigPtr{ new ActiveConfig }, aId };
  auto step = lookup.Start();
  while (auto* request = std::get_if<StoreRequest>(&step)) {
    step = lookup.OnReply(aStore.Execute(*request));
  }
  const auto& answer = std::get<DecisionAnswer>(step);
  if (answer.m_kind != DecisionAnswer::Kind::Decided) {
    return std::nullopt;
  }
  return answer.m_decision;
}

/// \param aViolation set when two decisions share a number.
std::vector<Decision>
AllDecisions(const FakeStore& aStore, std::string& aViolation)
{
  std::map<std::uint64_t, Decision> bySequence;
  const auto add = [&](const std::vector<Decision>& aDecisions) {
    for (const Decision& each : aDecisions) {
      const auto [known, isNew] = bySequence.emplace(each.m_sequence, each);
      if (!isNew && known->second != each) {
        aViolation = "two decisions under one sequence number";
      }
    }
  };
  for (const auto& [name, key] : aStore.m_keys) {
    if (name.starts_with("config/archive/")) {
      add(ParseDecisions(Decompress(key.m_value, kMaxUnpackedBytes).value())
            .value());
    }
  }
  const auto log = aStore.m_keys.find(std::string{ kLogKey });
  if (log != aStore.m_keys.end()) {
    add(ParseLog(log->second.m_value).value().m_decisions);
  }
  std::vector<Decision> all;
  all.reserve(bySequence.size());
  for (auto& [sequence, decision] : bySequence) {
    all.push_back(std::move(decision));
  }
  return all;
}

/// \returns The violation in the recorded history; empty if it is consistent.
std::string
CheckHistory(const FakeStore& aStore)
{
  std::string violation;
  ConfigHolder holder;
  std::set<std::string> ids;
  for (const Decision& each : AllDecisions(aStore, violation)) {
    if (!ids.insert(each.m_id).second) {
      return "an id was decided twice";
    }
    if (each.m_accepted && holder.Stage(each.m_entry) != StageResult::Applied) {
      return "the accepted versions do not follow each other";
    }
  }
  const auto log = aStore.m_keys.find(std::string{ kLogKey });
  if (log != aStore.m_keys.end()) {
    const DecisionLog parsed = ParseLog(log->second.m_value).value();
    if (parsed.m_head != holder.GetVersion()) {
      return "the head is not the last accepted version";
    }
    if (parsed.m_content != holder.Active()->m_content.GetDigest()) {
      return "the head's digest is not that of its content";
    }
  }
  return violation;
}

/// \returns The violation at the end of an interleaving; empty for none.
std::string
Check(const World& aWorld)
{
  if (std::string violation = CheckHistory(aWorld.m_store);
      !violation.empty()) {
    return violation;
  }
  for (const Actor& each : aWorld.m_actors) {
    if (!each.m_answer ||
        each.m_answer->m_kind != DecisionAnswer::Kind::Decided) {
      continue;
    }
    const auto recorded = Find(aWorld.m_store, each.m_answer->m_decision.m_id);
    if (!recorded) {
      return "an operator received a decision that is not recorded";
    }
    if (*recorded != each.m_answer->m_decision) {
      return "an operator received another decision than the recorded one";
    }
  }
  return {};
}

/// Depth-first search over the order of requests and the injected faults.
class Search
{
public:
  [[nodiscard]] std::uint64_t Interleavings() const { return m_interleavings; }
  [[nodiscard]] std::size_t States() const { return m_seen.size(); }
  [[nodiscard]] const std::string& Violation() const { return m_violation; }

  void Run(const World& aWorld)
  {
    if (!m_violation.empty() || !m_seen.insert(HashOfState(aWorld)).second) {
      return;
    }
    bool ended = true;
    for (std::size_t i = 0; i < aWorld.m_actors.size(); ++i) {
      if (!aWorld.m_actors[i].m_next) {
        continue;
      }
      ended = false;
      Step(aWorld, i, Fault::None);
      if (aWorld.m_faultsLeft > 0) {
        Step(aWorld, i, Fault::RequestLost);
        Step(aWorld, i, Fault::Unavailable);
        if (aWorld.m_actors[i].m_next->m_kind == StoreRequest::Kind::Put) {
          Step(aWorld, i, Fault::ReplyLost);
          Step(aWorld, i, Fault::Delayed);
        }
      }
    }
    for (std::size_t i = 0; i < aWorld.m_delayed.size(); ++i) {
      World next = aWorld;
      static_cast<void>(next.m_store.Execute(next.m_delayed[i]));
      next.m_delayed.erase(next.m_delayed.begin() +
                           static_cast<std::ptrdiff_t>(i));
      Run(next);
    }
    if (ended) {
      ++m_interleavings;
      m_violation = Check(aWorld);
    }
  }

private:
  void Step(World aWorld, std::size_t aActor, Fault aFault)
  {
    Actor& actor = aWorld.m_actors[aActor];
    const StoreRequest request = *actor.m_next;
    StoreReply reply;
    if (aFault == Fault::None || aFault == Fault::ReplyLost) {
      reply = aWorld.m_store.Execute(request);
    }
    if (aFault == Fault::Delayed) {
      aWorld.m_delayed.push_back(request);
    }
    if (aFault != Fault::None) {
      --aWorld.m_faultsLeft;
      reply = { .m_status = aFault == Fault::Unavailable ? Status::Unavailable
                                                         : Status::Unknown };
    }
    actor.OnReply(reply);
    Run(aWorld);
  }

  std::uint64_t m_interleavings{ 0 };
  std::unordered_set<std::size_t> m_seen;
  std::string m_violation;
};

Actor
Submit(const ConfigHolder& aHolder,
       const std::string& aId,
       std::uint64_t aBase,
       const std::string& aPatch)
{
  Actor actor;
  actor.m_submit = DecisionProcess{
    aHolder.Active(),
    Submission{ aId, Version{ aBase }, "operator", aPatch, WallTime{} }
  };
  actor.Start();
  return actor;
}

std::string
ServicePatch(const std::string& aName)
{
  return fmt::format(R"({{"services":{{"{}":{{}}}}}})", aName);
}

/// Records `aVersions` accepted versions in the store and applies them to
/// the holder.
void
RecordVersions(World& aWorld, ConfigHolder& aHolder, std::uint64_t aVersions)
{
  for (std::uint64_t i = 0; i < aVersions; ++i) {
    Actor actor = Submit(aHolder,
                         fmt::format("old-{}", i),
                         i,
                         ServicePatch(fmt::format("old-{}", i)));
    while (actor.m_next) {
      actor.OnReply(aWorld.m_store.Execute(*actor.m_next));
    }
    REQUIRE(actor.m_answer->m_decision.m_accepted);
    REQUIRE(aHolder.Stage(actor.m_answer->m_decision.m_entry) ==
            StageResult::Applied);
  }
}

}

TEST_CASE("two operators submit on one version, with up to two faults")
{
  // Guards against accepting both patches, and against answers that differ from
  // the recorded decision.
  World world;
  world.m_faultsLeft = 2;
  const ConfigHolder holder;
  world.m_actors.push_back(Submit(holder, "a", 0, ServicePatch("a")));
  world.m_actors.push_back(Submit(holder, "b", 0, ServicePatch("b")));
  Search search;
  search.Run(world);
  CHECK(search.Violation() == "");
  CHECK(search.Interleavings() > 100);
  MESSAGE(
    "states: ", search.States(), ", interleavings: ", search.Interleavings());
}

TEST_CASE("the same patch submitted through two daemons gets one decision")
{
  // An operator submits again while the first submission is still in progress.
  // Guards against deciding the id twice.
  World world;
  world.m_faultsLeft = 3;
  const ConfigHolder holder;
  world.m_actors.push_back(Submit(holder, "a", 0, ServicePatch("a")));
  world.m_actors.push_back(Submit(holder, "a", 0, ServicePatch("a")));
  Search search;
  search.Run(world);
  CHECK(search.Violation() == "");
  MESSAGE(
    "states: ", search.States(), ", interleavings: ", search.Interleavings());
}

TEST_CASE("three operators submit on one version, with up to two faults")
{
  World world;
  world.m_faultsLeft = 2;
  const ConfigHolder holder;
  world.m_actors.push_back(Submit(holder, "a", 0, ServicePatch("a")));
  world.m_actors.push_back(Submit(holder, "b", 0, ServicePatch("b")));
  world.m_actors.push_back(Submit(holder, "c", 0, ServicePatch("c")));
  Search search;
  search.Run(world);
  CHECK(search.Violation() == "");
  MESSAGE(
    "states: ", search.States(), ", interleavings: ", search.Interleavings());
}

TEST_CASE("a decision is found while it moves to the archive")
{
  // Guards against a moment in which the decision is neither in the log nor in
  // the archive: a repeated submission would decide it again.
  World world;
  world.m_faultsLeft = 1;
  ConfigHolder holder;
  RecordVersions(world, holder, 2);
  world.m_actors.push_back(Submit(holder, "old-0", 0, ServicePatch("old-0")));
  world.m_actors.push_back(Submit(holder, "new", 2, ServicePatch("new")));
  Actor compaction;
  compaction.m_compaction =
    CompactionProcess{ holder.Active(), CompactionLimits{ 1, 1 } };
  compaction.Start();
  world.m_actors.push_back(std::move(compaction));
  Search search;
  search.Run(world);
  CHECK(search.Violation() == "");
  MESSAGE(
    "states: ", search.States(), ", interleavings: ", search.Interleavings());
}

TEST_CASE("two compactions and a submission")
{
  World world;
  ConfigHolder holder;
  RecordVersions(world, holder, 1);
  for (int i = 0; i < 2; ++i) {
    Actor compaction;
    compaction.m_compaction =
      CompactionProcess{ holder.Active(), CompactionLimits{ 1, 1 } };
    compaction.Start();
    world.m_actors.push_back(std::move(compaction));
  }
  world.m_actors.push_back(Submit(holder, "new", 1, ServicePatch("new")));
  Search search;
  search.Run(world);
  CHECK(search.Violation() == "");
  MESSAGE(
    "states: ", search.States(), ", interleavings: ", search.Interleavings());
}

TEST_CASE("the search detects a store that does not compare revisions")
{
  // Checks the search itself: without compare-and-swap, both patches are
  // reported as accepted and only one is recorded.
  World world;
  world.m_store.m_ignoresExpected = true;
  const ConfigHolder holder;
  world.m_actors.push_back(Submit(holder, "a", 0, ServicePatch("a")));
  world.m_actors.push_back(Submit(holder, "b", 0, ServicePatch("b")));
  Search search;
  search.Run(world);
  CHECK(search.Violation() ==
        "an operator received a decision that is not recorded");
}

TEST_CASE("an archived decision can be looked up, and a new proxy can start")
{
  World world;
  ConfigHolder holder;
  RecordVersions(world, holder, 5);
  CompactionProcess compaction{ holder.Active(), CompactionLimits{ 1, 1 } };
  auto step = compaction.Start();
  while (auto* request = std::get_if<StoreRequest>(&step)) {
    step = compaction.OnReply(world.m_store.Execute(*request));
  }
  REQUIRE(std::get<CompactionProcess::Result>(step) ==
          CompactionProcess::Result::Compacted);
  const auto log =
    ParseLog(world.m_store.m_keys.at(std::string{ kLogKey }).m_value).value();
  CHECK(log.m_decisions.empty());
  for (int i = 0; i < 5; ++i) {
    const auto found = Find(world.m_store, fmt::format("old-{}", i));
    REQUIRE(found);
    CHECK(found->m_entry.m_version.m_number ==
          static_cast<std::uint64_t>(i) + 1);
  }
  // A daemon without a configuration decides on top of the snapshot.
  const ConfigHolder fresh;
  Actor actor = Submit(fresh, "next", 5, ServicePatch("next"));
  while (actor.m_next) {
    actor.OnReply(world.m_store.Execute(*actor.m_next));
  }
  CHECK(actor.m_answer->m_decision.m_accepted);
  CHECK(CheckHistory(world.m_store) == "");
}

TEST_CASE("no decision is made on a store that is behind the fleet")
{
  // The store is restored from a backup. Guards against assigning version 3 to
  // a second patch.
  World world;
  ConfigHolder holder;
  RecordVersions(world, holder, 2);
  const FakeStore backup = world.m_store;
  RecordVersions(world, holder, 0);
  Actor third = Submit(holder, "third", 2, ServicePatch("third"));
  while (third.m_next) {
    third.OnReply(world.m_store.Execute(*third.m_next));
  }
  REQUIRE(holder.Stage(third.m_answer->m_decision.m_entry) ==
          StageResult::Applied);
  world.m_store = backup;
  Actor after = Submit(holder, "after", 2, ServicePatch("after"));
  while (after.m_next) {
    after.OnReply(world.m_store.Execute(*after.m_next));
  }
  CHECK(after.m_answer->m_kind == DecisionAnswer::Kind::StoreBehind);

  // A restarted daemon continues from the backup: daemons on the first history
  // must detect the fork.
  const ConfigHolder restarted;
  Actor other = Submit(restarted, "other", 2, ServicePatch("other"));
  while (other.m_next) {
    other.OnReply(world.m_store.Execute(*other.m_next));
  }
  REQUIRE(other.m_answer->m_decision.m_accepted);
  CHECK(holder.Stage(other.m_answer->m_decision.m_entry) ==
        StageResult::Forked);
  Actor again = Submit(holder, "again", 3, ServicePatch("again"));
  while (again.m_next) {
    again.OnReply(world.m_store.Execute(*again.m_next));
  }
  CHECK(again.m_answer->m_kind == DecisionAnswer::Kind::StoreBehind);
}
