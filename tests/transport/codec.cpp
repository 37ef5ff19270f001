#include "greengagehub/transport/codec.hpp"

#include "greengagehub/core/random.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

GossipMessage
SomeGossip()
{
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Ack;
  message.m_sender.m_slot = "a";
  message.m_sender.m_workerStart = 4'000'000'000U;
  message.m_sender.m_address = { "127.0.0.1", 1, 2, 3 };
  message.m_sequence = 77;
  message.m_head = { Version{ 9 }, HashOf("chain") };
  message.m_floor = Version{ 8 };
  for (int i = 0; i < 6; ++i) {
    MemberRecord record = message.m_sender;
    record.m_slot = "member-" + std::to_string(i);
    record.m_state = MemberState::Suspect;
    message.m_updates.push_back(record);
  }
  message.m_entries.push_back(
    { Version{ 9 }, R"({"services":{}})", HashOf("x"), HashOf("y") });
  return message;
}

std::string
SomeFrame()
{
  CallRequest request;
  request.m_call = 5;
  request.m_method = "POST";
  request.m_target = "/release?x=1";
  request.m_headers = { { "X-Request-Id", "abc" } };
  request.m_body = std::string("\0\1binary", 8);
  request.m_timeLeft = std::chrono::microseconds{ 1500 };
  request.m_class = CallClass::Export;
  std::string bytes;
  AppendFrame(bytes, request);
  return bytes;
}

}

TEST_CASE("a datagram comes back as it was")
{
  const GossipMessage sent = SomeGossip();
  const auto got = DecodeGossip(EncodeGossip(sent, 1400));
  REQUIRE(got);
  CHECK(got.value().m_kind == sent.m_kind);
  CHECK(got.value().m_sender.m_address == sent.m_sender.m_address);
  CHECK(got.value().m_sender.m_workerStart == 4'000'000'000U);
  CHECK(got.value().m_updates.size() == 6);
  CHECK(got.value().m_updates[3].m_state == MemberState::Suspect);
  CHECK(got.value().m_entries == sent.m_entries);
  CHECK(got.value().m_head.m_chain == sent.m_head.m_chain);
}

TEST_CASE("a datagram is cut to fit: records first, then entries")
{
  const std::string bytes = EncodeGossip(SomeGossip(), 300);
  CHECK(bytes.size() <= 300);
  const auto got = DecodeGossip(bytes);
  REQUIRE(got);
  CHECK(got.value().m_updates.size() < 6);
  CHECK(got.value().m_sequence == 77);
}

TEST_CASE("a frame comes back as it was")
{
  const std::string bytes = SomeFrame();
  REQUIRE(FrameLength(bytes.data()) == bytes.size() - kFrameHeader);
  const auto frame =
    DecodeFrame(std::string_view{ bytes }.substr(kFrameHeader));
  REQUIRE(frame);
  const auto& request = std::get<CallRequest>(frame.value());
  CHECK(request.m_body.size() == 8);
  CHECK(request.m_class == CallClass::Export);
  CHECK(request.m_timeLeft.count() == 1500);
  CHECK(request.m_headers.at(0).m_value == "abc");
}

TEST_CASE("garbage and damaged messages are errors, never crashes")
{
  // Anything may come in on an open port. 100,000 random or damaged messages
  // go through each decoder; what is taken must be in range.
  Random random{ 11 };
  const std::string gossip = EncodeGossip(SomeGossip(), 1400);
  const std::string frame = SomeFrame().substr(kFrameHeader);
  PullAnswer answer;
  answer.m_head = { Version{ 1 }, HashOf("x") };
  const std::string pull = EncodePullAnswer(answer);
  for (int i = 0; i < 100'000; ++i) {
    for (const std::string* whole : { &gossip, &frame, &pull }) {
      std::string bytes = *whole;
      for (std::uint64_t hits = 1 + Below(random, 4); hits > 0; --hits) {
        bytes[Below(random, bytes.size())] = static_cast<char>(random());
      }
      if (Below(random, 3) == 0) {
        bytes.resize(Below(random, bytes.size()));
      }
      const auto message = DecodeGossip(bytes);
      if (message) {
        CHECK(message.value().m_sender.m_state <= MemberState::Left);
      }
      static_cast<void>(DecodeFrame(bytes));
      static_cast<void>(DecodePullRequest(bytes));
      static_cast<void>(DecodePullAnswer(bytes));
    }
  }
}

TEST_CASE("a caller's header that is no UTF-8 does not cost the link")
{
  // A caller sends a header in another encoding, which HTTP allows. A frame
  // that cannot be decoded closes the link, with every other call on it.
  CallRequest request;
  request.m_headers = { { "X-Name", "Bj\xf6rn" } };
  request.m_target = "/\xff";
  std::string bytes;
  AppendFrame(bytes, request);
  const auto frame =
    DecodeFrame(std::string_view{ bytes }.substr(kFrameHeader));
  REQUIRE(frame);
  CHECK(std::get<CallRequest>(frame.value()).m_headers.at(0).m_value ==
        "Bj\xf6rn");
}
