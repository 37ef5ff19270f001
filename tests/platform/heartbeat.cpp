#include "platform/heartbeat.hpp"
#include "support/damage.hpp"
#include "support/odd_entries.hpp"

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
  request.m_body = aBody;
  return request;
}

}

TEST_CASE("heartbeats and deregistrations are parsed")
{
  const auto beat =
    platform::ParseWorkerRequest(Request("PUT", "/instances/i-7f", kBody));
  REQUIRE(beat);
  const auto& report = std::get<WorkerReport>(beat.value());
  CHECK(report.m_incarnation.m_id == "i-7f");
  CHECK(report.m_service == "lockers");
  CHECK(report.m_slots == 18);
  CHECK(report.m_isDraining);
  CHECK(report.m_warmUpLeft == std::chrono::milliseconds{ 250 });
  CHECK(report.m_sequence == 4);

  const auto left =
    platform::ParseWorkerRequest(Request("DELETE", "/instances/i-7f"));
  REQUIRE(left);
  CHECK(
    std::get<platform::WorkerDeregistration>(left.value()).m_incarnation.m_id ==
    "i-7f");

  CHECK_FALSE(
    platform::ParseWorkerRequest(Request("PUT", "/instances/i-7f", "{")));
  CHECK_FALSE(
    platform::ParseWorkerRequest(Request("PUT", "/instances/i-7f", "{}")));
  CHECK_FALSE(platform::ParseWorkerRequest(Request("GET", "/instances/i-7f")));
  CHECK_FALSE(platform::ParseWorkerRequest(Request("PUT", "/other", kBody)));
}

TEST_CASE("the start time is given in milliseconds")
{
  auto body = nlohmann::json::parse(kBody);
  body["born"] = 1'764'000'000'123;
  const auto beat = platform::ParseWorkerRequest(
    Request("PUT", "/instances/i-7f", body.dump()));
  REQUIRE(beat);
  const WallTime born{ std::chrono::milliseconds{ 1'764'000'000'123 } };
  CHECK(std::get<WorkerReport>(beat.value()).m_incarnation.m_startedAt == born);

  const auto left = platform::ParseWorkerRequest(
    Request("DELETE", "/instances/i-7f", R"({"born":1764000000123})"));
  REQUIRE(left);
  CHECK(std::get<platform::WorkerDeregistration>(left.value())
          .m_incarnation.m_startedAt == born);
}

TEST_CASE("a report with a missing or invalid field is rejected")
{
  // Guards against malformed reports that would drain a healthy worker or set
  // an arbitrary number of slots.
  using Json = nlohmann::json;
  const Json valid = [] {
    Json body = Json::parse(kBody);
    body["born"] = 1'764'000'000'123;
    return body;
  }();
  const auto isRejected = [](const std::string& aBody) {
    return !platform::ParseWorkerRequest(
      Request("PUT", "/instances/i-7f", aBody));
  };
  REQUIRE_FALSE(isRejected(valid.dump()));
  const std::vector<Json> invalid{ nullptr,       true,           -1,
                                   6.5,           1e30,           "",
                                   Json::array(), Json::object(), "4" };
  for (auto field = valid.begin(); field != valid.end(); ++field) {
    const std::string& name = field.key();
    const Json& value = field.value();
    CAPTURE(name);
    if (name != "born") {
      Json body = valid;
      body.erase(name);
      CHECK(isRejected(body.dump()));
    }
    for (const Json& each : invalid) {
      // Any text is a valid service, address, zone or version.
      if (value.is_string() && each == "4" && name != "state") {
        continue;
      }
      CAPTURE(each);
      Json body = valid;
      body[name] = each;
      CHECK(isRejected(body.dump()));
    }
  }
  for (const char* state : { "resting", "READY", "ready ", "Draining" }) {
    Json body = valid;
    body["state"] = state;
    CHECK(isRejected(body.dump()));
  }
  Json body = valid;
  body["slots"] = 0;
  CHECK(isRejected(body.dump()));
  for (const char* text : { "",
                            "null",
                            "[]",
                            "7",
                            "\"text\"",
                            "{\"service\":",
                            "\xff\xfe\x00",
                            "{\"service\":\"\xc3\x28\"}" }) {
    CHECK(isRejected(text));
  }
  CHECK(isRejected(std::string(100'000, '[')));
  CHECK_FALSE(platform::ParseWorkerRequest(
    Request("DELETE", "/instances/i-7f", R"({"born":-4})")));
  CHECK_FALSE(platform::ParseWorkerRequest(Request("DELETE", "/instances/")));
}

TEST_CASE("damaged reports are rejected or parsed within limits")
{
  Random random{ 23 };
  for (int i = 0; i < 50'000; ++i) {
    const auto notice = platform::ParseWorkerRequest(
      Request("PUT", "/instances/i-7f", test::Damaged(kBody, random)));
    if (notice) {
      const auto& report = std::get<WorkerReport>(notice.value());
      CHECK(report.m_slots > 0);
      CHECK(report.m_slots <= 100'000);
    }
  }
}

TEST_CASE("odd heartbeats of another writer end no daemon")
{
  // Guards against values that are nested too deep or out of range, which end
  // the process that reads them.
  for (const std::string& each : test::OddVariantsOf(kBody)) {
    const auto put =
      platform::ParseWorkerRequest(Request("PUT", "/instances/i-7f", each));
    if (put) {
      CHECK(std::get<WorkerReport>(put.value()).m_slots > 0);
    }
    static_cast<void>(
      platform::ParseWorkerRequest(Request("DELETE", "/instances/i-7f", each)));
  }
}
