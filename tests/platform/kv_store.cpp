#include "platform/kv_store.hpp"

#include "greengagehub/http/http_server.hpp"
#include "platform/base64.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

/// \returns How a conditional check of two keys reads this response.
StoreReply
CheckAnsweredWith(std::uint16_t aStatus, const std::string& aBody)
{
  asio::io_context loop;
  HttpServer server{ loop, {}, [&](const HttpRequest&, HttpResponder aTo) {
                      aTo.Answer(JsonResponse(aStatus, aBody));
                    } };
  const auto port = server.Open();
  REQUIRE(port);
  platform::KvStore store{ loop,
                           fmt::format("http://127.0.0.1:{}", port.value()),
                           5s };
  StoreRequest request = MakeCheck("config", 4);
  request.m_alsoExpected = { { "role", 9 } };
  std::optional<StoreReply> reply;
  store.Execute(std::move(request), [&](StoreReply aReply) {
    reply = std::move(aReply);
    loop.stop();
  });
  loop.run();
  REQUIRE(reply);
  return *reply;
}

/// \returns 0 if the reply does not hold the key.
Revision
RevisionOf(const StoreReply& aReply, const std::string& aKey)
{
  for (const StoreItem& each : aReply.m_items) {
    if (each.m_key == aKey) {
      return each.m_revision;
    }
  }
  return 0;
}

std::string
Item(const char* aKey, int aRevision, const std::string& aValue)
{
  return fmt::format(R"({{"key":"{}","revision":{},"value":"{}"}})",
                     aKey,
                     aRevision,
                     platform::ToBase64(aValue));
}

}

TEST_CASE("a check in conflict reports the revisions of both keys")
{
  const StoreReply both =
    CheckAnsweredWith(412,
                      R"({"items":[)" + Item("role", 9, "a 1") + "," +
                        Item("config", 5, "{}") + "]}");
  CHECK(both.m_status == StoreReply::Status::Conflict);
  CHECK(both.m_revision == 5);
  CHECK(both.m_value == "{}");
  CHECK(RevisionOf(both, "role") == 9);
  const StoreReply one =
    CheckAnsweredWith(412, R"({"items":[)" + Item("role", 10, "b 2") + "]}");
  CHECK(one.m_status == StoreReply::Status::Conflict);
  CHECK(one.m_revision == 0);
  CHECK(RevisionOf(one, "role") == 10);
}

TEST_CASE("a conflict without items does not show that the keys are missing")
{
  CHECK(CheckAnsweredWith(412, "{}").m_status == StoreReply::Status::Unknown);
  CHECK(CheckAnsweredWith(
          412, R"({"items":[{"key":"config","revision":5,"value":"!"}]})")
          .m_status == StoreReply::Status::Unknown);
}

TEST_CASE("after a lost answer no request waits on another idle connection")
{
  // Guards against a daemon whose idle connections to the store have all gone
  // silent, and that finds this out one time-out after the other.
  asio::io_context loop;
  std::vector<HttpResponder> held;
  std::vector<std::uint64_t> connections;
  bool isSilent = false;
  HttpServer server{ loop,
                     {},
                     [&](const HttpRequest& aRequest, HttpResponder aTo) {
                       connections.push_back(aRequest.m_connection);
                       held.push_back(std::move(aTo));
                       if (!isSilent && held.size() >= 2) {
                         for (HttpResponder& each : held) {
                           each.Answer(
                             JsonResponse(200, R"({"revision":1,"value":""})"));
                         }
                       }
                     } };
  const auto port = server.Open();
  REQUIRE(port);
  platform::KvStore store{ loop,
                           fmt::format("http://127.0.0.1:{}", port.value()),
                           200ms };
  std::vector<StoreReply::Status> replies;
  const auto get = [&] {
    store.Execute(MakeGet("config"), [&](const StoreReply& aReply) {
      replies.push_back(aReply.m_status);
      loop.stop();
    });
  };
  const auto runUntilReplies = [&](std::size_t aCount) {
    while (replies.size() < aCount) {
      loop.restart();
      loop.run_one_for(1s);
    }
  };
  get();
  get();
  runUntilReplies(2);
  isSilent = true;
  held.clear();
  get();
  runUntilReplies(3);
  REQUIRE(replies.back() == StoreReply::Status::Unknown);
  get();
  runUntilReplies(4);
  REQUIRE(connections.size() == 4);
  CHECK((connections[2] == connections[0] || connections[2] == connections[1]));
  CHECK(connections[3] != connections[0]);
  CHECK(connections[3] != connections[1]);
}
