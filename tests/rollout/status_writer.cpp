#include "platform/rollout_document.hpp"
#include "support/damage.hpp"

#include <doctest/doctest.h>
#include <functional>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1h };
using Form = platform::RolloutForm;

RolloutStatus
Status(RolloutState aState)
{
  return { "lockers", "v2", aState };
}

/// One key of a store, and what it was ever made to say.
class OneKey
{
public:
  StoreReply Carry(const StoreRequest& aRequest)
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
    m_said.push_back(Form::Parse(aRequest.m_key, m_value).value().m_state);
    return reply;
  }

  [[nodiscard]] RolloutState State() const { return m_said.back(); }
  [[nodiscard]] const std::vector<RolloutState>& Said() const { return m_said; }

private:
  std::string m_value;
  Revision m_revision{ 0 };
  std::vector<RolloutState> m_said;
};

/// A daemon that first says "running" and then how it ended, and what it heard
/// of that.
struct Daemon
{
  StatusWriter<Form> m_writer;
  RolloutState m_wants;
  std::optional<StoreRequest> m_sent{};
  std::optional<StoreReply> m_reply{};
  std::optional<RolloutState> m_heard{};
  bool m_hasWantedEnd{ false };
};

/// Plays all orders in which two daemons send, the store decides, and answers
/// come or are lost.
class Interleavings
{
public:
  void Play(const std::vector<Daemon>& aDaemons, const OneKey& aKey, int aSteps)
  {
    if (aSteps == 0) {
      Check(aDaemons, aKey);
      return;
    }
    for (std::size_t i = 0; i < aDaemons.size(); ++i) {
      for (const bool loses : { false, true }) {
        std::vector<Daemon> daemons = aDaemons;
        OneKey key = aKey;
        if (Step(daemons[i], key, loses)) {
          Play(daemons, key, aSteps - 1);
        }
      }
    }
  }

  int m_played{ 0 };

private:
  /// One step of a daemon: it wants, sends, or hears.
  static bool Step(Daemon& aDaemon, OneKey& aKey, bool aLoses)
  {
    if (aDaemon.m_sent) {
      StoreReply reply = aKey.Carry(*aDaemon.m_sent);
      aDaemon.m_sent.reset();
      if (aLoses) {
        reply = StoreReply{};
      }
      auto step = aDaemon.m_writer.OnReply(kNow, reply);
      aDaemon.m_sent = std::move(step.m_next);
      if (step.m_written && IsFinal(step.m_written->m_state)) {
        aDaemon.m_heard = step.m_written->m_state;
      }
      return true;
    }
    if (aLoses) {
      return false;
    }
    aDaemon.m_sent = aDaemon.m_writer.OnTick(kNow + 1h);
    if (!aDaemon.m_sent && !aDaemon.m_hasWantedEnd) {
      aDaemon.m_hasWantedEnd = true;
      aDaemon.m_writer.Want(Status(aDaemon.m_wants), kNow);
    }
    return true;
  }

  void Check(const std::vector<Daemon>& aDaemons, const OneKey& aKey)
  {
    ++m_played;
    bool ended = false;
    for (const RolloutState each : aKey.Said()) {
      REQUIRE_FALSE(ended);
      ended = IsFinal(each);
    }
    for (const Daemon& each : aDaemons) {
      if (each.m_heard) {
        REQUIRE(*each.m_heard == aKey.State());
      }
    }
  }
};

}

TEST_CASE("the store takes one end, whoever writes and whatever is lost")
{
  // One daemon has found the version bad, another one, that took over, good.
  // Both write; answers are lost after the store has decided.
  std::vector<Daemon> daemons(2);
  daemons[0].m_wants = RolloutState::RolledBack;
  daemons[1].m_wants = RolloutState::Completed;
  for (Daemon& each : daemons) {
    each.m_writer.Want(Status(RolloutState::Running), kNow);
  }
  Interleavings all;
  all.Play(daemons, {}, 12);
  CHECK(all.m_played > 10'000);
}

TEST_CASE("statuses and orders as they stand in the store")
{
  const std::string key = Form::KeyOf("lockers");
  for (const RolloutState each : { RolloutState::Running,
                                   RolloutState::RolledBack,
                                   RolloutState::Completed }) {
    const auto read = Form::Parse(key, Form::Format(Status(each)));
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
  CHECK_FALSE(Form::Parse(key, R"({"state":"done","target_version":"v2"})"));
}

TEST_CASE("damaged orders and statuses are refused or read, never more")
{
  Random random{ 7 };
  const std::string order =
    R"({"service":"lockers","target_version":"v2","duration_s":12})";
  const std::string status = Form::Format(Status(RolloutState::Running));
  for (int i = 0; i < 20'000; ++i) {
    const auto one = platform::ParseRolloutOrder("op/rollout/lockers",
                                                 test::Damaged(order, random));
    if (one) {
      CHECK(one.value().m_service == "lockers");
      CHECK(one.value().m_duration > 0ms);
    }
    static_cast<void>(
      Form::Parse(Form::KeyOf("lockers"), test::Damaged(status, random)));
  }
}
