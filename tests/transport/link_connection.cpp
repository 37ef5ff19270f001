#include "greengagehub/transport/link_connection.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <vector>

using namespace greengagehub;
using asio::ip::tcp;

namespace {

LinkFrame
MakeAnswer(std::uint64_t aCall, std::size_t aBytes)
{
  CallAnswer answer{ .m_call = aCall, .m_outcome = CallOutcome::Answered };
  answer.m_response.m_status = 200;
  answer.m_response.m_body = std::string(aBytes, 'x');
  return answer;
}

struct ConnectionPair
{
  explicit ConnectionPair(bool aTakesParts = true)
  {
    tcp::acceptor acceptor{
      m_loop, tcp::endpoint{ asio::ip::address_v4::loopback(), 0 }
    };
    tcp::socket near{ m_loop };
    near.connect(acceptor.local_endpoint());
    m_sender = new LinkConnection{ std::move(near), m_meter, &m_pacer };
    m_receiver = new LinkConnection{ acceptor.accept(), m_meter };
    m_sender->SetTakesParts(aTakesParts);
    m_receiver->UseBudget(m_budget);
    const auto closed = [](LinkConnection&) {};
    m_sender->Start([](LinkConnection&, const LinkFrame&) {}, closed);
    m_receiver->Start(
      [this](LinkConnection&, const LinkFrame& aFrame) {
        m_received.push_back(std::get<CallAnswer>(aFrame));
      },
      closed);
  }

  /// \returns Bytes of the largest answer that the receiver has room for.
  [[nodiscard]] std::size_t MaxAnswerBytes() const
  {
    return m_budget->LimitFor(ByteUse::LargeAnswer);
  }

  void RunUntilReceived(std::size_t aCount)
  {
    while (m_received.size() < aCount) {
      m_loop.run_one();
    }
  }

  asio::io_context m_loop;
  TrafficMeter m_meter;
  LinkPacer m_pacer{ 100 };
  ByteBudget::Pointer m_budget{ new ByteBudget{ 1'000'000 } };
  LinkConnection::Pointer m_sender;
  LinkConnection::Pointer m_receiver;
  std::vector<CallAnswer> m_received;
};

}

TEST_CASE("a small answer overtakes large answers that are still queued")
{
  ConnectionPair pair;
  pair.m_sender->Send(MakeAnswer(1, 300'000));
  pair.m_sender->Send(MakeAnswer(2, 300'000));
  pair.m_sender->Send(MakeAnswer(3, 100));
  pair.RunUntilReceived(3);
  CHECK(pair.m_received.back().m_call == 2);
  for (const CallAnswer& each : pair.m_received) {
    CHECK(each.m_response.m_body.Size() == (each.m_call == 3 ? 100 : 300'000));
  }
}

TEST_CASE("a small answer overtakes the rest of a large one")
{
  // Guards against a body that holds up the other calls of its link.
  ConnectionPair pair;
  const std::size_t bytes = pair.MaxAnswerBytes();
  pair.m_sender->Send(MakeAnswer(1, bytes));
  while (pair.m_sender->BytesSent() < 100'000) {
    pair.m_loop.run_one();
  }
  pair.m_sender->Send(MakeAnswer(2, 100));
  pair.RunUntilReceived(2);
  CHECK(pair.m_received.front().m_call == 2);
  CHECK(pair.m_received.back().m_response.m_body ==
        Body{ std::string(bytes, 'x') });
  pair.m_received.clear();
  CHECK(pair.m_budget->Used() == 0);
}

TEST_CASE("a body without room at the receiver does not end the link")
{
  // Guards against one body that ends all calls of its link.
  ConnectionPair pair;
  pair.m_sender->Send(MakeAnswer(1, pair.MaxAnswerBytes() + 1));
  pair.m_sender->Send(MakeAnswer(2, 300'000));
  pair.RunUntilReceived(2);
  CHECK(pair.m_received.front().m_call == 1);
  CHECK(pair.m_received.front().m_outcome == CallOutcome::Unknown);
  CHECK(pair.m_received.front().m_reason == RefusalReason::AnswerLost);
  CHECK(pair.m_received.back().m_response.m_body.Size() == 300'000);
}

TEST_CASE("a peer of an older version receives large bodies whole")
{
  ConnectionPair pair{ false };
  pair.m_sender->Send(MakeAnswer(1, 300'000));
  pair.m_sender->Send(MakeAnswer(2, 100));
  pair.RunUntilReceived(2);
  CHECK(pair.m_received.front().m_response.m_body.Size() ==
        (pair.m_received.front().m_call == 1 ? 300'000 : 100));
  CHECK(pair.m_sender->CanSend(MakeAnswer(3, 30UL * 1024 * 1024)));
  CHECK_FALSE(pair.m_sender->CanSend(MakeAnswer(3, 40UL * 1024 * 1024)));
}

TEST_CASE("HasUnsent is true until the last answer is written")
{
  ConnectionPair pair;
  CHECK_FALSE(pair.m_sender->HasUnsent());
  pair.m_sender->Send(MakeAnswer(1, 300'000));
  pair.m_sender->Send(MakeAnswer(2, 300'000));
  CHECK(pair.m_sender->HasUnsent());
  pair.RunUntilReceived(1);
  CHECK(pair.m_sender->HasUnsent());
  pair.RunUntilReceived(2);
  while (pair.m_sender->HasUnsent()) {
    pair.m_loop.run_one();
  }
  CHECK(pair.m_received.size() == 2);
}

TEST_CASE("a connection with queued large answers closes cleanly")
{
  ConnectionPair pair;
  pair.m_sender->Send(MakeAnswer(1, 300'000));
  pair.m_sender->Send(MakeAnswer(2, 300'000));
  pair.RunUntilReceived(1);
  pair.m_sender->Close();
  pair.m_loop.run();
  CHECK_FALSE(pair.m_sender->HasUnsent());
  CHECK(pair.m_received.size() == 1);
}

TEST_CASE("a batch of small frames does not restart the turn of a large one")
{
  // Guards against link time that is reserved twice when small frames of more
  // than a part are written while a large one waits for its turn.
  ConnectionPair pair;
  // 100 ms on the link; the large frame waits for them.
  static_cast<void>(pair.m_pacer.Reserve(Clock::now(), 1'062'500));
  const std::uint64_t before = pair.m_pacer.ReservedBytes();
  pair.m_sender->Send(MakeAnswer(1, 300'000));
  for (std::uint64_t i = 2; i <= 5; ++i) {
    pair.m_sender->Send(MakeAnswer(i, 10'000));
  }
  pair.RunUntilReceived(5);
  while (pair.m_sender->HasUnsent()) {
    pair.m_loop.run_one();
  }
  CHECK(pair.m_received.back().m_call == 1);
  const std::uint64_t reserved = pair.m_pacer.ReservedBytes() - before;
  CHECK(reserved >= 340'000);
  // Heads of frames take some bytes.
  CHECK(reserved <= 341'000);
  CHECK(pair.m_pacer.WaitingBytes() == 0);
}

TEST_CASE("large frames count in the backlog while they wait for their turn")
{
  // Guards against calls accepted beside answers that the pacer does not know.
  ConnectionPair pair;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    pair.m_sender->Send(MakeAnswer(i, 300'000));
  }
  CHECK(pair.m_pacer.WaitingBytes() + pair.m_pacer.ReservedBytes() == 900'000);
  pair.RunUntilReceived(3);
  CHECK(pair.m_pacer.WaitingBytes() == 0);
}

TEST_CASE("a lost connection returns the link time of its unsent answers")
{
  // Guards against a link that counts as busy with answers nobody receives.
  ConnectionPair pair;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    pair.m_sender->Send(MakeAnswer(i, 300'000));
  }
  pair.RunUntilReceived(1);
  pair.m_sender->Close();
  pair.m_loop.run();
  CHECK(pair.m_pacer.WaitingBytes() == 0);
  CHECK(pair.m_pacer.ReservedBytes() >= 300'000);
  CHECK(pair.m_pacer.ReservedBytes() <= 300'000 + LinkPacer::kPartBytes);
}

// Guards against answers that arrived before a reset and are thrown away
// because a write fails first.
TEST_CASE("frames that arrived are delivered although a write fails")
{
  ConnectionPair pair;
  // The answer and the reset are in the receiver's socket before it reads.
  pair.m_sender->Send(MakeAnswer(1, 1'000));
  pair.m_sender->Abort();
  pair.m_receiver->Send(LinkPing{ 1 });
  pair.m_loop.run();
  REQUIRE(pair.m_received.size() == 1);
  CHECK(pair.m_received.front().m_call == 1);
}

TEST_CASE("a finished link delivers what is queued and receives until the end")
{
  // Guards against a reset under frames that arrive while a daemon stops.
  ConnectionPair pair;
  pair.m_sender->Send(MakeAnswer(1, 300'000));
  pair.m_sender->Send(MakeAnswer(2, 100));
  pair.m_sender->Finish();
  pair.m_sender->Send(MakeAnswer(3, 100));
  while (pair.m_receiver->IsOpen()) {
    pair.m_receiver->Send(LinkPing{ 1 });
    pair.m_loop.run_one();
  }
  CHECK(pair.m_received.size() == 2);
  CHECK(pair.m_receiver->AtClose().m_cause == LinkCloseCause::Peer);
  pair.m_loop.run();
  CHECK_FALSE(pair.m_sender->IsOpen());
}
