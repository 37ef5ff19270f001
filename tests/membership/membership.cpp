#include "group.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using test::Group;
using test::Record;

TEST_CASE("members discover each other through one address")
{
  Group group{ 8 };
  for (std::uint16_t i = 1; i <= 8; ++i) {
    CHECK(group.At(i).Members().Present() == 7);
  }
}

TEST_CASE("all members detect a dead member")
{
  Group group{ 6 };
  group.Pause(6);
  group.Run(60s);
  for (std::uint16_t i = 1; i <= 5; ++i) {
    CHECK(group.StateOf(i, 6) == MemberState::Dead);
  }
}

TEST_CASE("a member that a single peer cannot reach is not declared dead")
{
  // Indirect probes must succeed where the direct connection is cut.
  Group group{ 6 };
  group.SetCut([](std::uint16_t aFrom, std::uint16_t aTo) {
    return (aFrom == 1 && aTo == 2) || (aFrom == 2 && aTo == 1);
  });
  group.Run(120s);
  CHECK(IsPresent(group.StateOf(1, 2)));
  CHECK(IsPresent(group.StateOf(3, 2)));
}

TEST_CASE("a resumed process does not treat its peers as dead")
{
  // The acks it missed during the pause must not lead to suspicions.
  Group group{ 6 };
  group.Pause(1);
  group.Run(30s);
  group.Resume(1);
  group.Run(1s);
  for (std::uint16_t i = 2; i <= 6; ++i) {
    CHECK(group.StateOf(1, i) == MemberState::Alive);
  }
  group.Run(60s);
  for (std::uint16_t i = 2; i <= 6; ++i) {
    CHECK(group.StateOf(i, 1) == MemberState::Alive);
  }
}

TEST_CASE("the sides of a long network partition rejoin")
{
  // Both sides have declared each other dead and must rejoin without a seed.
  Group group{ 8 };
  group.SetCut([](std::uint16_t aFrom, std::uint16_t aTo) {
    return (aFrom <= 4) != (aTo <= 4);
  });
  group.Run(600s);
  CHECK(group.StateOf(1, 8) == MemberState::Dead);
  CHECK(group.StateOf(8, 1) == MemberState::Dead);
  group.SetCut({});
  group.Run(120s);
  for (std::uint16_t i = 1; i <= 8; ++i) {
    CHECK(group.At(i).Members().Present() == 7);
  }
}

TEST_CASE("members that restart without seeds are found by their peers")
{
  // The restarted members know no address.
  Group group{ 8 };
  for (std::uint16_t i = 5; i <= 8; ++i) {
    group.Pause(i);
  }
  group.Run(120s);
  for (std::uint16_t i = 5; i <= 8; ++i) {
    group.Start(i, 2);
  }
  group.Run(180s);
  for (std::uint16_t i = 1; i <= 8; ++i) {
    CHECK(group.At(i).Members().Present() == 7);
  }
}

TEST_CASE("a restart with the clock set back overrides older records")
{
  Group group{ 4 };
  group.Start(4, 0);
  group.Send(4, group.At(4).Contact({ group.At(1).Self().m_address }));
  group.Run(60s);
  CHECK(group.StateOf(1, 4) == MemberState::Alive);
  CHECK(group.StateOf(2, 4) == MemberState::Alive);
}

TEST_CASE("a draining member takes no calls after its announcement")
{
  Group group{ 6 };
  group.Send(1, group.At(1).Announce(MemberState::Leaving));
  group.Run(2s);
  for (std::uint16_t i = 2; i <= 6; ++i) {
    CHECK(group.StateOf(i, 1) == MemberState::Leaving);
    CHECK_FALSE(TakesCalls(group.StateOf(i, 1)));
  }
  group.Send(1, group.At(1).Announce(MemberState::Left));
  group.Pause(1);
  group.Run(5s);
  CHECK(group.StateOf(2, 1) == MemberState::Left);
}

TEST_CASE("the minimum version of a slot survives its restarts")
{
  Group group{ 3 };
  group.At(1).RecordVersion("m3", Version{ 7 });
  group.Start(3, 2);
  group.Send(3, group.At(3).Contact({ group.At(1).Self().m_address }));
  group.Run(5s);
  CHECK(group.At(1).MinimumVersionOf("m3") == Version{ 7 });
}

TEST_CASE("a restarted member learns its previous worker from its peers")
{
  // Guards against a daemon that forgets what its worker has stated.
  Group group{ 4 };
  const WorkerDescription worker{ 18, 7, "v2", true, 9 };
  group.Send(3, group.At(3).Announce(MemberState::Alive, worker));
  group.Run(3s);
  const MembershipActions contact = [&] {
    group.Kill(3);
    group.Start(3, 2);
    return group.At(3).Contact({ group.At(1).Self().m_address });
  }();
  const MemberRecord self = group.At(3).Self();
  CHECK(group.At(1).PreviousWorkerOf(self) == worker);
  const auto answerTo = [&](const GossipMessage& aPing) {
    return group.At(1)
      .OnMessage(group.Now(), self.m_address, aPing)
      .m_sends.front()
      .m_message.m_previousWorker;
  };
  CHECK(answerTo(contact.m_sends.front().m_message) == worker);
  group.Send(3, contact);
  group.Run(3s);
  CHECK(answerTo(contact.m_sends.front().m_message) == worker);
  // Known again, it needs no more telling.
  const MembershipActions announced =
    group.At(3).Announce(MemberState::Alive, { 18, 8, "v3", false, 10 });
  GossipMessage ping = announced.m_sends.front().m_message;
  ping.m_kind = GossipMessage::Kind::Ping;
  CHECK(answerTo(ping).m_idTag == 0);
  SUBCASE("of another service")
  {
    MemberRecord moved = self;
    moved.m_incarnation = 3U << 16U;
    moved.m_service = "ledger";
    ping.m_sender = moved;
    CHECK(answerTo(ping).m_idTag == 0);
  }
}

TEST_CASE("digests select the records that two views do not share")
{
  Group group{ 5 };
  CHECK(group.At(1).Digests() == group.At(2).Digests());
  CHECK(group.At(1).DifferingRecords(group.At(2).Digests()).empty());
  Membership stranger{ Record(9), {}, 9 };
  CHECK(group.At(1).DifferingRecords(stranger.Digests()).size() >= 5);
}

TEST_CASE("an exchange between entirely different views is bounded")
{
  // All buckets differ after the loss of a failure domain. A joining daemon
  // still gets the whole table.
  Membership one{ Record(1), {}, 1 };
  Membership other{ Record(2), {}, 2 };
  std::vector<MemberRecord> records;
  for (std::uint16_t i = 10; i < 20'010; ++i) {
    records.push_back(Record(i));
  }
  static_cast<void>(one.OnRecords(TimePoint{ 1h }, records));
  for (MemberRecord& each : records) {
    each.m_incarnation += 1;
  }
  static_cast<void>(other.OnRecords(TimePoint{ 1h }, records));
  const std::size_t part = one.DifferingRecords(other.Digests()).size();
  CHECK(part >= Membership::kMaxSyncRecords);
  CHECK(part < Membership::kMaxSyncRecords + 200);
  Membership joiner{ Record(3), {}, 3 };
  CHECK(one.DifferingRecords(joiner.Digests()).size() > 20'000);
}
