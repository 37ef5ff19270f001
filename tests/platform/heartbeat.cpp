#include "platform/heartbeat.hpp"

#include <doctest/doctest.h>

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
  CHECK(report.m_id == "i-7f");
  CHECK(report.m_service == "lockers");
  CHECK(report.m_slots == 18);
  CHECK(report.m_leaving);
  CHECK(report.m_coldLeft == std::chrono::milliseconds{ 250 });
  CHECK(report.m_sequence == 4);

  const auto left = platform::ParseNotice(Request("DELETE", "/instances/i-7f"));
  REQUIRE(left);
  CHECK(std::get<platform::WorkerLeft>(left.value()).m_id == "i-7f");

  CHECK_FALSE(platform::ParseNotice(Request("PUT", "/instances/i-7f", "{")));
  CHECK_FALSE(platform::ParseNotice(Request("PUT", "/instances/i-7f", "{}")));
  CHECK_FALSE(platform::ParseNotice(Request("GET", "/instances/i-7f")));
  CHECK_FALSE(platform::ParseNotice(Request("PUT", "/other", kBody)));
}
