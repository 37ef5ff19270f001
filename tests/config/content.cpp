#include "greengagehub/config/content.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

Content
WithLocker()
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

TEST_CASE("a patch that brings a route and its service is accepted")
{
  const Content content = WithLocker();
  CHECK(content.Services().size() == 1);
  CHECK(content.Routes().at("release")->m_value.m_service == "locker-app");
}

TEST_CASE("a route without its service is refused with its place")
{
  Content content;
  const auto reasons =
    content.Apply(R"({"routes":{"r":{"path":"/r","service":"gone"}}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::UnknownService);
  CHECK(reasons[0].m_place == "/routes/r/service");
}

TEST_CASE("a service that a route names cannot go, alone")
{
  Content content = WithLocker();
  const auto reasons = content.Apply(R"({"services":{"locker-app":null}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::ServiceInUse);
  CHECK(reasons[0].m_place == "/services/locker-app");
}

TEST_CASE("a service can go together with the routes that name it")
{
  Content content = WithLocker();
  CHECK(
    content
      .Apply(R"({"services":{"locker-app":null},"routes":{"release":null}})")
      .empty());
  CHECK(content.GetDigest() == Content{}.GetDigest());
}

TEST_CASE("every broken rule is told in one go")
{
  Content content;
  const auto reasons = content.Apply(
    R"({"services":{"A b":{},"c":{"slots":0,"colour":1}},"extra":1})");
  CHECK(reasons.size() == 4);
}

TEST_CASE("two routes with the same match are refused")
{
  Content content = WithLocker();
  const auto reasons = content.Apply(
    R"({"routes":{"again":{"path":"/release","service":"locker-app"}}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::DuplicateMatch);
  CHECK(reasons[0].m_place == "/routes/again");
}

TEST_CASE("patches one by one and the whole content have the same digest")
{
  Content stepwise = WithLocker();
  REQUIRE(stepwise.Apply(R"({"services":{"ledger":{"slots":3}}})").empty());
  REQUIRE(stepwise.Apply(R"({"limits":{"retry_percent":5}})").empty());
  REQUIRE(stepwise.Apply(R"({"services":{"ledger":{"queue":9}}})").empty());
  Content whole;
  REQUIRE(whole.Apply(stepwise.ToJson()).empty());
  CHECK(whole.GetDigest() == stepwise.GetDigest());
  CHECK(whole.ToJson() == stepwise.ToJson());
}

TEST_CASE("limits that are removed leave no trace in the digest")
{
  Content content;
  REQUIRE(content.Apply(R"({"limits":{"max_depth":5}})").empty());
  REQUIRE(content.Apply(R"({"limits":null})").empty());
  CHECK(content.GetDigest() == Content{}.GetDigest());
  CHECK(content.GetLimits().m_maxDepth == Limits{}.m_maxDepth);
}

TEST_CASE("what is no JSON object is refused whole")
{
  Content content;
  CHECK(content.Apply("[1]").at(0).m_code == ReasonCode::NotAnObject);
  CHECK(content.Apply("{").at(0).m_code == ReasonCode::NotJson);
  CHECK(content.Apply(R"({"services":3})").at(0).m_code ==
        ReasonCode::WrongType);
}
