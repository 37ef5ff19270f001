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
