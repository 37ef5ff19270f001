#include "greengagehub/daemon/start_buffer.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

bool
Add(StartBuffer& aBuffer,
    TimePoint aNow,
    std::uint64_t aConnection,
    std::string aBody = {})
{
  HttpRequest request;
  request.m_connection = aConnection;
  request.m_body = aBody;
  HttpResponder responder{ [](const HttpResponse&, bool) {} };
  return aBuffer.Add(aNow, aNow, request, responder);
}

}

TEST_CASE("requests that arrive during the start are served when ready")
{
  // Guards against refusals, and a retry a second later, for a restart that
  // takes less than half a second.
  StartBuffer buffer{ kStart };
  CHECK(Add(buffer, kStart, 1));
  CHECK(Add(buffer, kStart + 100ms, 2));
  CHECK(buffer.TakeExpired(kStart + 400ms).empty());
  const auto buffered = buffer.TakeAll();
  REQUIRE(buffered.size() == 2);
  CHECK(buffered[0].m_request.m_connection == 1);
  CHECK(buffer.Count() == 0);
}

TEST_CASE("a slow start refuses requests after a bounded time")
{
  // Guards against callers that wait without limit while the store is
  // unavailable.
  StartBuffer buffer{ kStart };
  CHECK(Add(buffer, kStart, 1));
  CHECK(Add(buffer, kStart + 500ms, 2));
  const auto expired = buffer.TakeExpired(kStart + 1s);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].m_request.m_connection == 1);
  CHECK_FALSE(Add(buffer, kStart + 1500ms, 3));
}

TEST_CASE("buffering a request again does not extend its hold time")
{
  // A request is buffered again if the daemon is ready but knows no worker of
  // its service yet.
  StartBuffer buffer{ kStart };
  REQUIRE(Add(buffer, kStart, 1));
  auto buffered = buffer.TakeAll();
  REQUIRE(buffered.size() == 1);
  StartBuffer::Entry& first = buffered.front();
  CHECK(buffer.Add(
    kStart + 500ms, first.m_receivedAt, first.m_request, first.m_responder));
  CHECK(buffer.TakeExpired(kStart + 1s).size() == 1);
  CHECK_FALSE(buffer.Add(
    kStart + 1s, first.m_receivedAt, first.m_request, first.m_responder));
}

TEST_CASE("the buffer is bounded and drops requests of closed connections")
{
  StartBuffer buffer{ kStart };
  for (std::uint64_t i = 0; i < StartBuffer::kMaxRequests; ++i) {
    CHECK(Add(buffer, kStart, i));
  }
  CHECK_FALSE(Add(buffer, kStart, 1000));
  buffer.DropConnection(7);
  CHECK(Add(buffer, kStart, 1000, std::string(StartBuffer::kMaxBytes, 'x')));
  buffer.DropConnection(8);
  CHECK_FALSE(Add(buffer, kStart, 1001, "x"));
  buffer.DropConnection(1000);
  CHECK(Add(buffer, kStart, 1001, "x"));
}
