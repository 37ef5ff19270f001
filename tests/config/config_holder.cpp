#include "greengagehub/config/config_holder.hpp"

#include "greengagehub/core/random.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

// Delivers random histories late, reordered, repeated and damaged.

using namespace greengagehub;

namespace {

struct History
{
  std::vector<VersionEntry> m_entries;
  std::vector<Content> m_contents{ Content{} };
};

/// A mostly valid patch that adds, changes and removes services and routes. The
/// few names make references between them likely.
std::string
RandomPatch(Random& aRandom)
{
  std::string services;
  std::string routes;
  const auto add = [](std::string& aTo, const std::string& aItem) {
    aTo += (aTo.empty() ? "" : ",") + aItem;
  };
  const auto service = Below(aRandom, 5);
  const auto route = Below(aRandom, 5);
  if (Below(aRandom, 3) > 0) {
    add(services,
        Below(aRandom, 4) == 0 ? fmt::format(R"("s{}":null)", service)
                               : fmt::format(R"("s{}":{{"slots":{}}})",
                                             service,
                                             1 + Below(aRandom, 50)));
  }
  if (Below(aRandom, 3) > 0) {
    add(routes,
        Below(aRandom, 4) == 0
          ? fmt::format(R"("r{}":null)", route)
          : fmt::format(R"("r{}":{{"service":"s{}","path":"/{}"}})",
                        route,
                        Below(aRandom, 5),
                        route));
  }
  return fmt::format(
    R"({{"services":{{{}}},"routes":{{{}}}}})", services, routes);
}

History
RandomHistory(Random& aRandom, std::size_t aLength)
{
  History history;
  DecisionLog log;
  while (history.m_entries.size() < aLength) {
    const Submission submission{ fmt::format("p{}", log.m_nextSequence),
                                 log.m_head,
                                 "operator",
                                 RandomPatch(aRandom),
                                 WallTime{} };
    const Decision decision =
      Decide(log, history.m_contents.back(), submission);
    log = WithDecision(std::move(log), decision);
    if (decision.m_accepted) {
      Content next = history.m_contents.back();
      REQUIRE(next.Apply(submission.m_patch).empty());
      history.m_contents.push_back(std::move(next));
      history.m_entries.push_back(decision.m_entry);
    }
  }
  return history;
}

void
CheckReferences(const Content& aContent)
{
  for (const auto& [name, route] : aContent.Routes()) {
    CHECK(aContent.Services().contains(route->m_value.m_service));
  }
}

VersionEntry
Damaged(VersionEntry aEntry, Random& aRandom)
{
  switch (Below(aRandom, 4)) {
    case 0:
      aEntry.m_patch += " ";
      break;
    case 1:
      aEntry.m_patch.resize(aEntry.m_patch.size() / 2);
      break;
    case 2:
      aEntry.m_chain.m_bytes[Below(aRandom, Digest::kBytes)] ^= 1U;
      break;
    default:
      aEntry.m_content.m_bytes[Below(aRandom, Digest::kBytes)] ^= 1U;
      break;
  }
  return aEntry;
}

}

TEST_CASE("in any delivery order, versions only increase and apply completely")
{
  // Guards against going back to an older version, applying part of one, or a
  // route without its service.
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random{ seed };
    const History history = RandomHistory(random, 20);
    ConfigHolder holder;
    Version before;
    for (int step = 0; step < 120; ++step) {
      const auto& entry =
        history.m_entries[Below(random, history.m_entries.size())];
      const bool damage = Below(random, 4) == 0;
      if (Below(random, 30) == 0) {
        const auto at = entry.m_version.m_number;
        static_cast<void>(
          holder.StageSnapshot(entry, history.m_contents[at].ToJson()));
      } else {
        static_cast<void>(
          holder.Stage(damage ? Damaged(entry, random) : entry));
      }
      const Version now = holder.GetVersion();
      REQUIRE(now >= before);
      before = now;
      const Content& content = holder.Active()->m_content;
      REQUIRE(content.GetDigest() ==
              history.m_contents[now.m_number].GetDigest());
      CheckReferences(content);
    }
    for (const VersionEntry& each : history.m_entries) {
      static_cast<void>(holder.Stage(each));
    }
    CHECK(holder.GetVersion().m_number == 20);
  }
}

TEST_CASE("a damaged snapshot changes nothing")
{
  Random random{ 3 };
  const History history = RandomHistory(random, 5);
  ConfigHolder holder;
  REQUIRE(holder.Stage(history.m_entries[0]) == StageResult::Applied);
  const std::string text = history.m_contents[5].ToJson();
  CHECK(holder.StageSnapshot(history.m_entries[4], text.substr(1)) ==
        StageResult::Corrupt);
  CHECK(holder.StageSnapshot(history.m_entries[4], "{}") ==
        StageResult::Corrupt);
  CHECK(holder.GetVersion().m_number == 1);
  CHECK(holder.StageSnapshot(history.m_entries[4], text) ==
        StageResult::Applied);
  CHECK(holder.GetVersion().m_number == 5);
}

TEST_CASE("a damaged pending entry does not block the correct one")
{
  // Version 3 arrives damaged and before version 2. Guards against dropping the
  // correct version 3 that arrives later.
  Random random{ 4 };
  const History history = RandomHistory(random, 3);
  ConfigHolder holder;
  REQUIRE(holder.Stage(history.m_entries[0]) == StageResult::Applied);
  VersionEntry damaged = history.m_entries[2];
  damaged.m_patch = R"({"services":{"intruder":{}}})";
  CHECK(holder.Stage(damaged) == StageResult::Gap);
  CHECK(holder.Stage(history.m_entries[1]) == StageResult::Applied);
  CHECK(holder.GetVersion().m_number == 2);
  CHECK(holder.Stage(history.m_entries[2]) == StageResult::Applied);
  CHECK(holder.GetVersion().m_number == 3);
}

TEST_CASE("a call keeps the version it started with")
{
  Random random{ 5 };
  const History history = RandomHistory(random, 2);
  ConfigHolder holder;
  REQUIRE(holder.Stage(history.m_entries[0]) == StageResult::Applied);
  const ActiveConfigPtr held = holder.Active();
  REQUIRE(holder.Stage(history.m_entries[1]) == StageResult::Applied);
  CHECK(held->m_version.m_number == 1);
  CHECK(held->m_content.GetDigest() == history.m_contents[1].GetDigest());
}
