#include "greengagehub/transport/codec.hpp"

#include "control.pb.h"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

GossipMessage
MessageWith(QuotaReport aReport)
{
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Quota;
  message.m_sender.m_slot = "b";
  message.m_quotaReport = std::move(aReport);
  return message;
}

}

TEST_CASE("queries and reports of a shard survive encoding and decoding")
{
  GossipMessage query;
  query.m_kind = GossipMessage::Kind::Quota;
  query.m_sender.m_slot = "a";
  query.m_quotaQuery = QuotaQuery{ .m_sequence = 4, .m_shard = 3 };
  const auto decodedQuery = DecodeGossip(EncodeGossip(query, 1400));
  REQUIRE(decodedQuery);
  REQUIRE(decodedQuery.value().m_quotaQuery);
  CHECK(decodedQuery.value().m_quotaQuery->m_shard == 3);
  CHECK(decodedQuery.value().m_quotaQuery->m_knowsShards);
  for (const std::uint32_t shard : { 0U, 3U }) {
    const auto decoded = DecodeGossip(
      EncodeGossip(MessageWith({ .m_sequence = 4,
                                 .m_coordinator = "b",
                                 .m_term = 9,
                                 .m_isGranting = true,
                                 .m_grants = { { .m_workspace = 5,
                                                 .m_tokens = 2,
                                                 .m_milliReserve = 3000 } },
                                 .m_shard = shard,
                                 .m_shards = 4,
                                 .m_endedTerm = 8 }),
                   1400));
    REQUIRE(decoded);
    REQUIRE(decoded.value().m_quotaReport);
    const QuotaReport& report = *decoded.value().m_quotaReport;
    CHECK(report.m_coordinator == "b");
    CHECK(report.m_term == 9);
    CHECK(report.m_isGranting);
    CHECK(report.m_shard == shard);
    CHECK(report.m_shards == 4);
    CHECK(report.m_endedTerm == 8);
    REQUIRE(report.m_grants.size() == 1);
    CHECK(report.m_grants[0].m_milliReserve == 3000);
  }
}

TEST_CASE("an announcement of another shard tells a daemon that knows one "
          "coordinator who that is")
{
  // Guards against a daemon of the previous version that takes any granting
  // report for its coordinator's.
  const std::string bytes =
    EncodeGossip(MessageWith({ .m_coordinator = "b",
                               .m_term = 9,
                               .m_isGranting = true,
                               .m_shard = 2,
                               .m_shards = 4,
                               .m_firstCoordinator = "a" }),
                 1400);
  wire::Datagram datagram;
  REQUIRE(datagram.ParseFromString(bytes));
  CHECK(datagram.quota_report().coordinator() == "a");
  CHECK_FALSE(datagram.quota_report().is_granting());
  CHECK(datagram.quota_report().term() == 0);
}

TEST_CASE("a query that names no shard is of a daemon that knows one "
          "coordinator")
{
  // Guards against shares of the reserve for a daemon that keeps them forever.
  GossipMessage query;
  query.m_kind = GossipMessage::Kind::Quota;
  query.m_sender.m_slot = "a";
  query.m_quotaQuery = QuotaQuery{ .m_sequence = 4 };
  wire::Datagram datagram;
  REQUIRE(datagram.ParseFromString(EncodeGossip(query, 1400)));
  datagram.mutable_quota_query()->clear_knows_shards();
  const auto decoded = DecodeGossip(datagram.SerializeAsString());
  REQUIRE(decoded);
  CHECK_FALSE(decoded.value().m_quotaQuery->m_knowsShards);
}
