#include "greengagehub/config/content.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

Content
ContentWithRoute()
{
  Content content;
  REQUIRE(content
            .Apply(R"({"services":{"locker-app":{}},
                       "routes":{"release":{"path":"/release",
                                            "service":"locker-app"}}})")
            .empty());
  return content;
}

}

TEST_CASE("a patch that adds a route and its service is accepted")
{
  const Content content = ContentWithRoute();
  CHECK(content.Services().size() == 1);
  CHECK(content.Routes().at("release")->m_value.m_service == "locker-app");
}

TEST_CASE("a route to an unknown service is rejected with its place")
{
  Content content;
  const auto reasons =
    content.Apply(R"({"routes":{"r":{"path":"/r","service":"gone"}}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::UnknownService);
  CHECK(reasons[0].m_place == "/routes/r/service");
}

TEST_CASE("a service in use by a route cannot be removed alone")
{
  Content content = ContentWithRoute();
  const auto reasons = content.Apply(R"({"services":{"locker-app":null}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::ServiceInUse);
  CHECK(reasons[0].m_place == "/services/locker-app");
}

TEST_CASE("a service can be removed together with its routes")
{
  Content content = ContentWithRoute();
  CHECK(
    content
      .Apply(R"({"services":{"locker-app":null},"routes":{"release":null}})")
      .empty());
  CHECK(content.GetDigest() == Content{}.GetDigest());
}

TEST_CASE("one patch reports all violations")
{
  Content content;
  const auto reasons = content.Apply(
    R"({"services":{"A b":{},"c":{"slots":0,"colour":1}},"extra":1})");
  CHECK(reasons.size() == 4);
}

TEST_CASE("two routes with the same host and path are rejected")
{
  Content content = ContentWithRoute();
  const auto reasons = content.Apply(
    R"({"routes":{"again":{"path":"/release","service":"locker-app"}}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::DuplicateMatch);
  CHECK(reasons[0].m_place == "/routes/again");
}

TEST_CASE("incremental patches and the whole content give the same digest")
{
  Content incremental = ContentWithRoute();
  REQUIRE(incremental.Apply(R"({"services":{"ledger":{"slots":3}}})").empty());
  REQUIRE(incremental.Apply(R"({"limits":{"retry_percent":5}})").empty());
  REQUIRE(incremental.Apply(R"({"services":{"ledger":{"queue":9}}})").empty());
  Content whole;
  REQUIRE(whole.Apply(incremental.ToJson()).empty());
  CHECK(whole.GetDigest() == incremental.GetDigest());
  CHECK(whole.ToJson() == incremental.ToJson());
}

TEST_CASE("removing the limits restores the digest")
{
  Content content;
  REQUIRE(content.Apply(R"({"limits":{"max_depth":5}})").empty());
  REQUIRE(content.Apply(R"({"limits":null})").empty());
  CHECK(content.GetDigest() == Content{}.GetDigest());
  CHECK(content.GetLimits().m_maxDepth == Limits{}.m_maxDepth);
}

TEST_CASE("a patch that is not a JSON object is rejected")
{
  Content content;
  CHECK(content.Apply("[1]").at(0).m_code == ReasonCode::NotAnObject);
  CHECK(content.Apply("{").at(0).m_code == ReasonCode::NotJson);
  CHECK(content.Apply(R"({"services":3})").at(0).m_code ==
        ReasonCode::WrongType);
}
