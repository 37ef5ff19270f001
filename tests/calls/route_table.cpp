#include "greengagehub/calls/route_table.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

TEST_CASE("routes match by host, then by the longest prefix of path segments")
{
  Content content;
  REQUIRE(content
            .Apply(R"({"services":{"a":{},"b":{},"c":{},"d":{}},"routes":{
    "any":{"path":"/","service":"a"},
    "deep":{"path":"/locker/release","service":"b"},
    "shallow":{"path":"/locker","service":"c"},
    "host":{"host":"yard.example","path":"/locker","service":"d"}}})")
            .empty());
  const RouteTable table{ content };
  const auto service = [&table](const char* aHost, const char* aPath) {
    const Route* route = table.Find(aHost, aPath);
    return route == nullptr ? std::string{ "none" } : route->m_service;
  };
  CHECK(service("x", "/") == "a");
  CHECK(service("x", "/lockers") == "a");
  CHECK(service("x", "/locker") == "c");
  CHECK(service("x", "/locker/status") == "c");
  CHECK(service("x", "/locker/release/17") == "b");
  CHECK(service("yard.example", "/locker/release") == "d");
  CHECK(service("yard.example", "/other") == "a");
}

TEST_CASE("no route is found in a table without routes")
{
  const RouteTable table{ Content{} };
  CHECK(table.Find("x", "/a/b/") == nullptr);
  CHECK(table.Find("", "") == nullptr);
}
