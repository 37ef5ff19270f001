#include "greengagehub/http/backend_client.hpp"
#include "greengagehub/http/http_client.hpp"

#include "scripted_server.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace greengagehub;
using namespace std::chrono_literals;
using namespace std::string_view_literals;

namespace {

using Ending = ScriptedServer::Ending;
using Kind = BackendResult::Kind;

/// More than the buffers of a loopback connection hold.
constexpr std::size_t kUploadBytes = 32UL * 1024 * 1024;

/// Longer than any test takes, so that a time-out is not taken for a loss.
constexpr auto kTimeout = std::chrono::seconds{ 20 };

BackendRequest
Upload(std::size_t aBodyBytes = kUploadBytes,
       std::chrono::milliseconds aTimeout = kTimeout)
{
  BackendRequest request;
  request.m_method = "POST";
  request.m_body = Body{ std::string(aBodyBytes, 'x') };
  request.m_deadline = Clock::now() + aTimeout;
  return request;
}

BackendResult
SendTo(const std::string& aAnswer,
       Ending aEnding,
       std::size_t aBodyBytes = 0,
       std::chrono::milliseconds aTimeout = kTimeout)
{
  asio::io_context loop;
  ScriptedServer server{ loop, aAnswer, aEnding };
  BackendClient client{ loop, { .m_address = server.Address() } };
  std::optional<BackendResult> result;
  client.Send(Upload(aBodyBytes, aTimeout),
              [&](BackendResult aResult) { result = std::move(aResult); });
  while (!result) {
    loop.run_one();
  }
  return std::move(*result);
}

/// \returns What the client of the store and of daemons' APIs makes of an
/// answer.
HttpClientResult
Fetch(const std::string& aAnswer, Ending aEnding, std::size_t aBodyBytes = 0)
{
  asio::io_context loop;
  ScriptedServer server{ loop, aAnswer, aEnding };
  HttpClient client{ loop };
  HttpClientRequest request;
  request.m_method = "POST";
  request.m_url =
    "http://127.0.0.1:" + std::to_string(server.Address().port()) + "/";
  request.m_body = std::string(aBodyBytes, 'x');
  request.m_timeout = kTimeout;
  std::optional<HttpClientResult> result;
  client.Send(std::move(request),
              [&](HttpClientResult aResult) { result = std::move(aResult); });
  while (!result) {
    loop.run_one();
  }
  return std::move(*result);
}

}

TEST_CASE("an answer without a length that is reset is lost")
{
  // Guards against a truncated answer that is passed on as a complete one.
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\npart of the body";
  CHECK(SendTo(answer, Ending::Reset).m_kind == Kind::Lost);
  CHECK(SendTo(answer, Ending::Reset, kUploadBytes).m_kind == Kind::Lost);
  CHECK(SendTo(answer, Ending::OrderlyThenReset, kUploadBytes).m_kind ==
        Kind::Lost);
}

TEST_CASE("an answer without a length that ends in order is complete")
{
  // Guards against an early answer that is dropped although the server reads
  // the rest of the request.
  for (const std::size_t bytes : { std::size_t{ 0 }, kUploadBytes }) {
    CAPTURE(bytes);
    const BackendResult result = SendTo(
      "HTTP/1.1 413 Too Large\r\n\r\nat most 1 MiB", Ending::Orderly, bytes);
    CHECK(result.m_kind == Kind::Answered);
    CHECK(result.m_response.m_status == 413);
    CHECK(result.m_response.m_body.View() == "at most 1 MiB");
  }
}

TEST_CASE("an answer without a length is not complete before its request")
{
  // Guards against an answer that counts before it is known whether the server
  // resets the connection.
  CHECK(SendTo("HTTP/1.1 200 OK\r\n\r\npart of the body",
               Ending::OrderlyUnread,
               kUploadBytes,
               200ms)
          .m_kind == Kind::TimedOut);
}

TEST_CASE("an early answer with a length is complete at its last byte")
{
  // Guards against an early answer that is dropped with the rest of an upload.
  const std::string answer =
    "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nok";
  for (const Ending ending :
       { Ending::None, Ending::Reset, Ending::OrderlyThenReset }) {
    CAPTURE(static_cast<int>(ending));
    const BackendResult result = SendTo(answer, ending, kUploadBytes);
    CHECK(result.m_kind == Kind::Answered);
    CHECK(result.m_response.m_body.View() == "ok");
  }
}

TEST_CASE("a reset is not the end of an answer that waits for room")
{
  // Guards against a reset that is forgotten while the budget holds up reading.
  asio::io_context loop;
  ScriptedServer server{ loop,
                         "HTTP/1.1 200 OK\r\n\r\n" + std::string(200'000, 'x'),
                         Ending::Reset };
  const ByteBudget::Pointer budget{ new ByteBudget{ 400'000 } };
  ByteReservation held = budget->Reserve(250'000, ByteUse::LargeAnswer);
  REQUIRE(held.Bytes() == 250'000);
  BackendClient client{ loop,
                        { .m_address = server.Address(), .m_budget = budget } };
  std::optional<BackendResult> result;
  client.Send(Upload(), [&](BackendResult aResult) { result = aResult; });
  while (!budget->HasWaiters() && !result) {
    loop.run_one();
  }
  REQUIRE_FALSE(result);
  held = {};
  while (!result) {
    loop.run_one();
  }
  CHECK(result->m_kind == Kind::Lost);
}

TEST_CASE("the client of the store loses an answer that is reset")
{
  // Guards against libcurl taking a reset for the end of an answer.
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\npart";
  CHECK(Fetch(answer, Ending::Reset).m_kind == HttpClientResult::Kind::Lost);
  CHECK(Fetch(answer, Ending::Reset, kUploadBytes).m_kind ==
        HttpClientResult::Kind::Lost);
  CHECK(Fetch(answer, Ending::OrderlyThenReset, kUploadBytes).m_kind ==
        HttpClientResult::Kind::Lost);
  CHECK(Fetch(answer, Ending::Orderly).m_kind ==
        HttpClientResult::Kind::Answered);
}

TEST_CASE("an answer without a valid status line is lost")
{
  // Guards against a status that no client can interpret, and against a broken
  // answer that is taken for an interim one until the deadline.
  for (const std::string line : { "HTTP/1.1 000 OK",
                                  "HTTP/1.1 099 OK",
                                  "HTTP/1.1 20 OK",
                                  "HTTP/1.1 101 OK",
                                  "HTTP/1.1 600 OK",
                                  "HTTP/1.1 999 OK",
                                  "HTTP/1.1 0200 OK",
                                  "HTTP/1.1 200x OK",
                                  "HTTP/1.1  200 OK",
                                  "HTTP/2.0 200 OK" }) {
    CAPTURE(line);
    const std::string answer = line + "\r\nContent-Length: 2\r\n\r\nok";
    CHECK(SendTo(answer, Ending::None).m_kind == Kind::Lost);
    CHECK(Fetch(answer, Ending::None).m_kind == HttpClientResult::Kind::Lost);
  }
}

TEST_CASE("an answer with any valid status line is complete")
{
  for (const std::string line :
       { "HTTP/1.1 200 OK",
         "HTTP/1.0 200 OK",
         "HTTP/1.1 200 ",
         "HTTP/1.1 200",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
         "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK",
         "HTTP/1.1 599 " }) {
    CAPTURE(line);
    const std::string answer = line + "\r\nContent-Length: 2\r\n\r\nok";
    const BackendResult result = SendTo(answer, Ending::None);
    CHECK(result.m_kind == Kind::Answered);
    CHECK(result.m_response.m_status == (line.find("599") == 9 ? 599 : 200));
    CHECK(result.m_response.m_body.View() == "ok");
    CHECK(Fetch(answer, Ending::None).m_response.m_body.View() == "ok");
  }
}

TEST_CASE("an answer with a field name that is no token is lost")
{
  // Guards against a line that is passed on, or that decides what the body is,
  // although a client may read it differently.
  const auto unwanted = "\0\x01\b\t\v\f\x1f \x7f\x80\xff\"(),/;<=>?@[\\]{}"sv;
  for (const std::string name :
       { "X-Note", "Content-Length", "Transfer-Encoding", "Connection" }) {
    for (const char each : unwanted) {
      for (const std::size_t at : { std::size_t{ 0 }, name.size() - 2 }) {
        std::string damaged = name;
        damaged.insert(at, 1, each);
        CAPTURE(damaged);
        const std::string answer = "HTTP/1.1 200 OK\r\n" + damaged +
                                   ": 2\r\nContent-Length: 2\r\n\r\nok";
        CHECK(SendTo(answer, Ending::Orderly).m_kind == Kind::Lost);
        CHECK(Fetch(answer, Ending::Orderly).m_kind ==
              HttpClientResult::Kind::Lost);
      }
    }
    const std::string answer = "HTTP/1.1 200 OK\r\n" + name + " : 2\r\n\r\nok";
    CHECK(SendTo(answer, Ending::Orderly).m_kind == Kind::Lost);
    CHECK(Fetch(answer, Ending::Orderly).m_kind ==
          HttpClientResult::Kind::Lost);
  }
}

TEST_CASE("an answer with a trailer whose name is no token is lost")
{
  // Guards against a trailer that is passed on although it is broken.
  const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n2\r\nok\r\n0\r\nX Note: a\r\n\r\n";
  CHECK(SendTo(answer, Ending::None).m_kind == Kind::Lost);
  CHECK(Fetch(answer, Ending::None).m_kind == HttpClientResult::Kind::Lost);
}

TEST_CASE("a trailer is no field of the head")
{
  // Guards against a trailer that replaces what the head says.
  const std::string answer =
    "HTTP/1.1 200 OK\r\nX-Note: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\nX-Seal: b\r\nX-Other: c\r\n\r\n";
  const BackendResult result = SendTo(answer, Ending::None);
  REQUIRE(result.m_kind == Kind::Answered);
  CHECK(result.m_response.m_body.View() == "ok");
  CHECK(HeaderValue(result.m_response.m_headers, "x-note") == "a");
  CHECK(HeaderValue(result.m_response.m_headers, "x-seal").empty());
  const HttpClientResult fetched = Fetch(answer, Ending::None);
  REQUIRE(fetched.m_kind == HttpClientResult::Kind::Answered);
  CHECK(HeaderValue(fetched.m_response.m_headers, "x-note") == "a");
  CHECK(HeaderValue(fetched.m_response.m_headers, "x-seal").empty());
}

TEST_CASE("a folded line is part of the field before it")
{
  // Guards against a field name check that takes the rest of a value for a
  // name.
  const std::string answer = "HTTP/1.1 200 OK\r\nX-Note: a\r\n b: c\r\n"
                             "Content-Length: 2\r\n\r\nok";
  const BackendResult result = SendTo(answer, Ending::None);
  REQUIRE(result.m_kind == Kind::Answered);
  CHECK(HeaderValue(result.m_response.m_headers, "x-note") == "a b: c");
  CHECK(Fetch(answer, Ending::None).m_kind == HttpClientResult::Kind::Answered);
}

TEST_CASE("an answer with a broken line end is lost")
{
  // Guards against a head or chunk that ends where the server did not end it,
  // which makes another body of the answer.
  for (const std::string start : { "HTTP/1.1 200 OK\r\n\r",
                                   "HTTP/1.1 200 OK\r\n\n",
                                   "HTTP/1.1 200 OK\r\nX-First: a\r\n\r",
                                   "HTTP/1.1 200 OK\r\nX-First: a\r\n\n",
                                   "HTTP/1.1 200\rX\r\n",
                                   "HTTP/1.1 200 O\rX\r\n" }) {
    CAPTURE(start);
    const std::string answer =
      start + "X-Note: a\r\nContent-Length: 2\r\n\r\nok";
    CHECK(SendTo(answer, Ending::Orderly).m_kind == Kind::Lost);
    CHECK(Fetch(answer, Ending::Orderly).m_kind ==
          HttpClientResult::Kind::Lost);
  }
  for (const std::string chunks : { "2\r\nokXY0\r\n\r\n",
                                    "2\r\nok\rX0\r\n\r\n",
                                    "2\rXok\r\n0\r\n\r\n",
                                    "2\r\nok\r\n0\rX\r\n",
                                    "2\r\nok\r\n0\r\n\rX" }) {
    CAPTURE(chunks);
    const std::string answer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    CHECK(SendTo(answer, Ending::Orderly).m_kind == Kind::Lost);
  }
}

TEST_CASE("an answer whose lines end with LF alone is complete")
{
  // Guards against a check that ends the service of such servers.
  for (const std::string answer :
       { "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
         "HTTP/1.1 200 OK\r\nX-Note: a\nContent-Length: 2\r\n\r\nok",
         "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
         "2\r\nok\r\n0\r\n\r\n" }) {
    CAPTURE(answer);
    const BackendResult result = SendTo(answer, Ending::None);
    CHECK(result.m_kind == Kind::Answered);
    CHECK(result.m_response.m_body.View() == "ok");
    CHECK(Fetch(answer, Ending::None).m_response.m_body.View() == "ok");
  }
}
