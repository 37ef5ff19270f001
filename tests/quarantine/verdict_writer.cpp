#include "greengagehub/quarantine/verdict_writer.hpp"
#include "support/odd_entries.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using Kind = StoreRequest::Kind;
using Status = StoreReply::Status;

namespace {

const TimePoint kStart{ 1h };

QuarantineVerdict
MakeVerdict(std::uint32_t aGeneration = 1)
{
  QuarantineVerdict verdict;
  verdict.m_fingerprint = { 1, 2 };
  verdict.m_service = "locker-app";
  verdict.m_generation = aGeneration;
  verdict.m_isQuarantined = true;
  verdict.m_crashCount = 3;
  return verdict;
}

StoreReply
MakeReply(Status aStatus)
{
  StoreReply reply;
  reply.m_status = aStatus;
  reply.m_lease = 5;
  reply.m_revision = 9;
  return reply;
}

}

TEST_CASE("verdicts round-trip and malformed values are rejected")
{
  const std::string key =
    std::string{ kVerdictPrefix } + ToHex(MakeVerdict().m_fingerprint);
  const std::string value = VerdictToJson(MakeVerdict(4));
  const auto read = ParseVerdict(key, value);
  REQUIRE(read);
  CHECK(read.value().m_fingerprint == MakeVerdict().m_fingerprint);
  CHECK(read.value().m_generation == 4);
  CHECK(read.value().m_isQuarantined);
  CHECK_FALSE(ParseVerdict(key + "0", value));
  CHECK_FALSE(ParseVerdict("other/" + key, value));
  for (const char* bad :
       { "",
         "null",
         "[]",
         "{}",
         "7",
         "\xff\xfe",
         R"({"format":1})",
         R"({"format":1,"service":"a","generation":-1,"ends":3})",
         R"({"format":1,"service":"a","generation":0,"ends":3})",
         R"({"format":1,"service":7,"generation":1,"ends":3})",
         R"({"format":2,"service":"a","generation":1,"ends":3})" }) {
    CAPTURE(bad);
    CHECK_FALSE(ParseVerdict(key, bad));
  }
}

TEST_CASE("a verdict is written with a lease")
{
  VerdictWriter writer;
  writer.QueueWrite(MakeVerdict(), kStart, false);
  const auto lease = writer.OnTick(kStart);
  REQUIRE(lease);
  CHECK(lease->m_kind == Kind::LeaseGrant);
  CHECK_FALSE(writer.OnTick(kStart));
  const auto put = writer.OnReply(kStart, MakeReply(Status::Ok));
  REQUIRE(put);
  CHECK(put->m_kind == Kind::Put);
  CHECK(put->m_lease == 5);
  CHECK(put->m_expected == 0);

  SUBCASE("written")
  {
    CHECK_FALSE(writer.OnReply(kStart, MakeReply(Status::Ok)));
    CHECK(writer.CountQueued() == 0);
  }
  SUBCASE("another daemon wrote the same verdict")
  {
    StoreReply conflict = MakeReply(Status::Conflict);
    conflict.m_value = VerdictToJson(MakeVerdict());
    CHECK_FALSE(writer.OnReply(kStart, conflict));
    CHECK(writer.CountQueued() == 0);
  }
  SUBCASE("an earlier verdict is replaced")
  {
    StoreReply conflict = MakeReply(Status::Conflict);
    conflict.m_value = "older";
    const auto again = writer.OnReply(kStart, conflict);
    REQUIRE(again);
    CHECK(again->m_expected == 9);
  }
  SUBCASE("a lost answer is retried")
  {
    CHECK_FALSE(writer.OnReply(kStart, MakeReply(Status::Unknown)));
    CHECK(writer.CountQueued() == 1);
    CHECK_FALSE(writer.OnTick(kStart));
    CHECK(writer.OnTick(kStart + 2s)->m_kind == Kind::LeaseGrant);
  }
  SUBCASE("a verdict lifted during its write is deleted afterwards")
  {
    writer.Lift(MakeVerdict().m_fingerprint, kStart);
    CHECK_FALSE(writer.OnTick(kStart));
    CHECK_FALSE(writer.OnReply(kStart, MakeReply(Status::Ok)));
    const auto deletion = writer.OnTick(kStart);
    REQUIRE(deletion);
    CHECK(deletion->m_kind == Kind::Delete);
    CHECK_FALSE(writer.OnReply(kStart, MakeReply(Status::Ok)));
    CHECK(writer.CountQueued() == 0);
  }
}

TEST_CASE("a verdict of another daemon is written only if it is missing")
{
  // The daemon that reached the verdict may have lost power before writing it.
  VerdictWriter writer;
  writer.QueueWrite(MakeVerdict(), kStart + 1s, true);
  CHECK_FALSE(writer.OnTick(kStart));
  const auto check = writer.OnTick(kStart + 1s);
  REQUIRE(check);
  CHECK(check->m_kind == Kind::Get);
  SUBCASE("the key exists")
  {
    CHECK_FALSE(writer.OnReply(kStart, MakeReply(Status::Ok)));
    CHECK(writer.CountQueued() == 0);
  }
  SUBCASE("the key is missing")
  {
    CHECK(writer.OnReply(kStart, MakeReply(Status::NotFound))->m_kind ==
          Kind::LeaseGrant);
  }
  SUBCASE("the store is unavailable")
  {
    CHECK_FALSE(writer.OnReply(kStart, MakeReply(Status::Unavailable)));
    CHECK(writer.CountQueued() == 1);
  }
}

TEST_CASE("odd verdicts of another writer end no daemon")
{
  const std::string key =
    std::string{ kVerdictPrefix } + ToHex(MakeVerdict().m_fingerprint);
  const std::string value = VerdictToJson(MakeVerdict(4));
  REQUIRE(ParseVerdict(key, value));
  for (const std::string& each : test::OddVariantsOf(value)) {
    const auto verdict = ParseVerdict(key, each);
    CHECK((!verdict || verdict.value().m_generation > 0));
  }
}
