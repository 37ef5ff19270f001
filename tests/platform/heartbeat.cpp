#include "platform/heartbeat.hpp"
#include "support/damage.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace greengagehub;

namespace {

constexpr const char* kBody =
  R"({"service":"lockers","address":"10.0.0.9:8080","zone":"solna",
      "version":"v1","slots":18,"state":"draining","cold_left_ms":250,
      "seq":4})";

HttpRequest
Request(const char* aMethod, const char* aTarget, std::string aBody = {})
{
  HttpRequest request;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_body = std::move(aBody);
  return request;
}

}

TEST_CASE("heartbeats and farewells")
{
  const auto beat =
    platform::ParseNotice(Request("PUT", "/instances/i-7f", kBody));
  REQUIRE(beat);
  const auto& report = std::get<WorkerReport>(beat.value());
  CHECK(report.m_start.m_id == "i-7f");
  CHECK(report.m_service == "lockers");
  CHECK(report.m_slots == 18);
  CHECK(report.m_leaving);
  CHECK(report.m_coldLeft == std::chrono::milliseconds{ 250 });
  CHECK(report.m_sequence == 4);

  const auto left = platform::ParseNotice(Request("DELETE", "/instances/i-7f"));
  REQUIRE(left);
  CHECK(std::get<platform::WorkerLeft>(left.value()).m_start.m_id == "i-7f");

  CHECK_FALSE(platform::ParseNotice(Request("PUT", "/instances/i-7f", "{")));
  CHECK_FALSE(platform::ParseNotice(Request("PUT", "/instances/i-7f", "{}")));
  CHECK_FALSE(platform::ParseNotice(Request("GET", "/instances/i-7f")));
  CHECK_FALSE(platform::ParseNotice(Request("PUT", "/other", kBody)));
}

TEST_CASE("the time of a start is a whole number of milliseconds")
{
  auto body = nlohmann::json::parse(kBody);
  body["born"] = 1'764'000'000'123;
  const auto beat =
    platform::ParseNotice(Request("PUT", "/instances/i-7f", body.dump()));
  REQUIRE(beat);
  const WallTime born{ std::chrono::milliseconds{ 1'764'000'000'123 } };
  CHECK(std::get<WorkerReport>(beat.value()).m_start.m_born == born);

  const auto left = platform::ParseNotice(
    Request("DELETE", "/instances/i-7f", R"({"born":1764000000123})"));
  REQUIRE(left);
  CHECK(std::get<platform::WorkerLeft>(left.value()).m_start.m_born == born);
}

TEST_CASE("a report of another writer names no worker")
{
  // Whoever else writes to this address sends what it likes: a state that is
  // not known would drain a sound worker, and half a slot or minus one would
  // become a number of slots.
  using Json = nlohmann::json;
  const Json whole = [] {
    Json body = Json::parse(kBody);
    body["born"] = 1'764'000'000'123;
    return body;
  }();
  const auto refused = [](const std::string& aBody) {
    return !platform::ParseNotice(Request("PUT", "/instances/i-7f", aBody));
  };
  REQUIRE_FALSE(refused(whole.dump()));
  const std::vector<Json> wrong{ nullptr,       true,           -1,
                                 6.5,           1e30,           "",
                                 Json::array(), Json::object(), "4" };
  for (auto field = whole.begin(); field != whole.end(); ++field) {
    const std::string& name = field.key();
    const Json& value = field.value();
    CAPTURE(name);
    if (name != "born") {
      Json body = whole;
      body.erase(name);
      CHECK(refused(body.dump()));
    }
    for (const Json& each : wrong) {
      // Any text may be the name of a place, an address or a version.
      if (value.is_string() && each == "4" && name != "state") {
        continue;
      }
      CAPTURE(each);
      Json body = whole;
      body[name] = each;
      CHECK(refused(body.dump()));
    }
  }
  for (const char* state : { "resting", "READY", "ready ", "Draining" }) {
    Json body = whole;
    body["state"] = state;
    CHECK(refused(body.dump()));
  }
  Json body = whole;
  body["slots"] = 0;
  CHECK(refused(body.dump()));
  for (const char* text : { "",
                            "null",
                            "[]",
                            "7",
                            "\"text\"",
                            "{\"service\":",
                            "\xff\xfe\x00",
                            "{\"service\":\"\xc3\x28\"}" }) {
    CHECK(refused(text));
  }
  CHECK(refused(std::string(100'000, '[')));
  CHECK_FALSE(platform::ParseNotice(
    Request("DELETE", "/instances/i-7f", R"({"born":-4})")));
  CHECK_FALSE(platform::ParseNotice(Request("DELETE", "/instances/")));
}

TEST_CASE("damaged reports are refused or read, and end nothing")
{
  Random random{ 23 };
  for (int i = 0; i < 50'000; ++i) {
    const auto notice = platform::ParseNotice(
      Request("PUT", "/instances/i-7f", test::Damaged(kBody, random)));
    if (notice) {
      const auto& report = std::get<WorkerReport>(notice.value());
      CHECK(report.m_slots > 0);
      CHECK(report.m_slots <= 100'000);
    }
  }
}
