#include "platform/rollout_document.hpp"
#include "support/damage.hpp"
#include "support/odd_entries.hpp"

#include <doctest/doctest.h>
#include <functional>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1h };
using Codec = platform::RolloutCodec;

RolloutStatus
Status(RolloutState aState)
{
  return { "lockers", "v2", aState };
}

class FakeKey
{
public:
  StoreReply Apply(const StoreRequest& aRequest)
  {
    StoreReply reply;
    if (aRequest.m_expected != m_revision) {
      reply.m_status = StoreReply::Status::Conflict;
      reply.m_value = m_value;
      reply.m_revision = m_revision;
      return reply;
    }
    m_value = aRequest.m_value;
    reply.m_status = StoreReply::Status::Ok;
    reply.m_revision = ++m_revision;
    m_history.push_back(Codec::Parse(aRequest.m_key, m_value).value().m_state);
    return reply;
  }

  [[nodiscard]] RolloutState State() const { return m_history.back(); }
  [[nodiscard]] const std::vector<RolloutState>& History() const
  {
    return m_history;
  }

private:
  std::string m_value;
  Revision m_revision{ 0 };
  std::vector<RolloutState> m_history;
};

/// A daemon that writes "running" and then a final state.
struct Daemon
{
  StatusWriter<Codec> m_writer;
  RolloutState m_finalState;
  std::optional<StoreRequest> m_request{};
  std::optional<StoreReply> m_reply{};
  std::optional<RolloutState> m_reported{};
  bool m_hasQueuedFinal{ false };
};

/// Explores all interleavings in which two daemons send writes, the store
/// decides, and replies arrive or are lost.
class Interleavings
{
public:
  void Explore(const std::vector<Daemon>& aDaemons,
               const FakeKey& aKey,
               int aSteps)
  {
    if (aSteps == 0) {
      Check(aDaemons, aKey);
      return;
    }
    for (std::size_t i = 0; i < aDaemons.size(); ++i) {
      for (const bool isReplyLost : { false, true }) {
        std::vector<Daemon> daemons = aDaemons;
        FakeKey key = aKey;
        if (Step(daemons[i], key, isReplyLost)) {
          Explore(daemons, key, aSteps - 1);
        }
      }
    }
  }

  int m_explored{ 0 };

private:
  /// \returns Whether the daemon made a step.
  static bool Step(Daemon& aDaemon, FakeKey& aKey, bool aIsReplyLost)
  {
    if (aDaemon.m_request) {
      StoreReply reply = aKey.Apply(*aDaemon.m_request);
      aDaemon.m_request.reset();
      if (aIsReplyLost) {
        reply = StoreReply{};
      }
      auto step = aDaemon.m_writer.OnReply(kNow, reply);
      aDaemon.m_request = std::move(step.m_next);
      if (step.m_written && IsFinal(step.m_written->m_state)) {
        aDaemon.m_reported = step.m_written->m_state;
      }
      return true;
    }
    if (aIsReplyLost) {
      return false;
    }
    aDaemon.m_request = aDaemon.m_writer.OnTick(kNow + 1h);
    if (!aDaemon.m_request && !aDaemon.m_hasQueuedFinal) {
      aDaemon.m_hasQueuedFinal = true;
      aDaemon.m_writer.QueueWrite(Status(aDaemon.m_finalState), kNow);
    }
    return true;
  }

  void Check(const std::vector<Daemon>& aDaemons, const FakeKey& aKey)
  {
    ++m_explored;
    bool isFinal = false;
    for (const RolloutState each : aKey.History()) {
      REQUIRE_FALSE(isFinal);
      isFinal = IsFinal(each);
    }
    for (const Daemon& each : aDaemons) {
      if (each.m_reported) {
        REQUIRE(*each.m_reported == aKey.State());
      }
    }
  }
};

}

TEST_CASE("the store accepts one final state despite concurrent writers and "
          "lost replies")
{
  // Two leaders write different final states.
  std::vector<Daemon> daemons(2);
  daemons[0].m_finalState = RolloutState::RolledBack;
  daemons[1].m_finalState = RolloutState::Completed;
  for (Daemon& each : daemons) {
    each.m_writer.QueueWrite(Status(RolloutState::Running), kNow);
  }
  Interleavings all;
  all.Explore(daemons, {}, 12);
  CHECK(all.m_explored > 10'000);
}

TEST_CASE("statuses and orders round-trip and malformed values are rejected")
{
  const std::string key = Codec::KeyOf("lockers");
  for (const RolloutState each : { RolloutState::Running,
                                   RolloutState::RolledBack,
                                   RolloutState::Completed }) {
    const auto read = Codec::Parse(key, Codec::Format(Status(each)));
    REQUIRE(read);
    CHECK(read.value().m_state == each);
    CHECK(read.value().m_service == "lockers");
    CHECK(read.value().m_target == "v2");
  }
  const char* good =
    R"({"service":"lockers","target_version":"v2","duration_s":12.5,"x":1})";
  const auto order = platform::ParseRolloutOrder("op/rollout/lockers", good);
  REQUIRE(order);
  CHECK(order.value().m_target == "v2");
  CHECK(order.value().m_duration == 12'500ms);

  for (const char* each :
       { "",
         "{}",
         "[]",
         R"({"service":"lockers","target_version":"v2","duration_s":0})",
         R"({"service":"lockers","target_version":"v2","duration_s":"12"})",
         R"({"service":"lockers","target_version":"","duration_s":12})",
         R"({"service":"other","target_version":"v2","duration_s":12})" }) {
    CAPTURE(each);
    CHECK_FALSE(platform::ParseRolloutOrder("op/rollout/lockers", each));
  }
  CHECK_FALSE(Codec::Parse(key, R"({"state":"done","target_version":"v2"})"));
}

TEST_CASE("damaged orders and statuses are rejected or parsed safely")
{
  Random random{ 7 };
  const std::string order =
    R"({"service":"lockers","target_version":"v2","duration_s":12})";
  const std::string status = Codec::Format(Status(RolloutState::Running));
  for (int i = 0; i < 20'000; ++i) {
    const auto one = platform::ParseRolloutOrder("op/rollout/lockers",
                                                 test::Damaged(order, random));
    if (one) {
      CHECK(one.value().m_service == "lockers");
      CHECK(one.value().m_duration > 0ms);
    }
    static_cast<void>(
      Codec::Parse(Codec::KeyOf("lockers"), test::Damaged(status, random)));
  }
}

TEST_CASE("odd orders of another writer end no daemon")
{
  const std::string order =
    R"({"service":"lockers","target_version":"v2","duration_s":12.5})";
  const std::string key = Codec::KeyOf("lockers");
  for (const std::string& each : test::OddVariantsOf(order)) {
    const auto read = platform::ParseRolloutOrder("op/rollout/lockers", each);
    CHECK((!read || !read.value().m_target.empty()));
    static_cast<void>(Codec::Parse(key, each));
  }
}
