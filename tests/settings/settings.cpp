#include "greengagehub/settings/settings.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

constexpr const char* kValid = R"(
[daemon]
slot = "a"
service = "locker-app"
region = "stockholm"
domain = "solna"
[operators]
token = "secret"
[worker]
url = "http://127.0.0.1:9000"
[store]
url = "http://127.0.0.1:9001"
)";

}

TEST_CASE("absent keys take their default values")
{
  const auto settings = ParseSettings(kValid, "good.toml");
  REQUIRE(settings);
  CHECK(settings.value().m_slot == "a");
  CHECK(settings.value().m_runs.m_slots == 20);
  CHECK(settings.value().m_store.m_timeout == std::chrono::seconds{ 2 });
}

TEST_CASE(
  "the decisions section overrides single settings and checks their types")
{
  const auto settings = ParseSettings(std::string{ kValid } + R"([decisions]
counts_time = false
crossing_per_kib = 0.2
max_busy = 0
counts_transit = false
report_lifetime_ms = 500
)",
                                      "good.toml");
  REQUIRE(settings);
  const DecisionSettings& decisions = settings.value().m_runs.m_decisions;
  CHECK_FALSE(decisions.m_ranksPerSlotTime);
  CHECK(decisions.m_crossingPerKib == 0.2);
  CHECK(decisions.m_maxBusyReplies == 0);
  CHECK_FALSE(decisions.m_countsTransit);
  CHECK(decisions.m_reportLifetime == std::chrono::milliseconds{ 500 });
  CHECK(decisions.m_refusesEarly);

  const auto bad = ParseSettings(std::string{ kValid } + R"([decisions]
ejects = 1
late_credit = 2.0
counts_transit = "no"
report_lifetime_ms = 0
)",
                                 "bad.toml");
  REQUIRE_FALSE(bad);
  CHECK(bad.error().size() == 4);
}

TEST_CASE("fair shares are on unless the workspaces section turns them off")
{
  // Guards against a switch that takes anything else than a truth value.
  const auto parse = [](const char* aLine) {
    return ParseSettings(std::string{ kValid } + "[workspaces]\n" + aLine,
                         "s.toml");
  };
  CHECK(parse("").value().m_runs.m_sharesFairly);
  CHECK_FALSE(parse("fair_shares = false\n").value().m_runs.m_sharesFairly);
  CHECK_FALSE(parse("fair_shares = 1\n"));
  CHECK_FALSE(parse("fair_share = true\n"));
}

TEST_CASE("the number of quota shards is 1 unless set, and from 1 to 16")
{
  // Guards against a fleet without any coordinator, and against a check of more
  // keys than the store compares.
  const auto parse = [](const char* aValue) {
    return ParseSettings(std::string{ kValid } +
                           "[workspaces]\nquota_shards = " + aValue + "\n",
                         "shards.toml");
  };
  const auto settings = ParseSettings(kValid, "shards.toml");
  REQUIRE(settings);
  CHECK(settings.value().m_workspaces.m_quotaShards == 1);
  CHECK(parse("16").value().m_workspaces.m_quotaShards == 16);
  for (const char* each : { "0", "17", "-1", "2.5", "\"4\"" }) {
    CAPTURE(each);
    const auto bad = parse(each);
    REQUIRE_FALSE(bad);
    REQUIRE(bad.error().size() == 1);
    REQUIRE(bad.error()[0].m_source);
    CHECK(bad.error()[0].m_source->m_line > 12);
  }
}

TEST_CASE("all errors of a file are reported, each with its line")
{
  const std::string bad = std::string{ kValid } + R"([calls]
tries = 99
colour = "red"
[listen]
calls_port = "http"
[nonsense]
)";
  const auto settings = ParseSettings(bad, "bad.toml");
  REQUIRE_FALSE(settings);
  REQUIRE(settings.error().size() == 4);
  for (const Error& each : settings.error()) {
    REQUIRE(each.m_source);
    CHECK(each.m_source->m_file == "bad.toml");
    CHECK(each.m_source->m_line > 12);
  }
}

TEST_CASE("a missing required key is reported by name")
{
  const auto settings = ParseSettings("", "empty.toml");
  REQUIRE_FALSE(settings);
  std::string all;
  for (const Error& each : settings.error()) {
    all += each.m_message + "\n";
  }
  for (const char* key : { "daemon.slot",
                           "daemon.service",
                           "operators.token",
                           "worker.url",
                           "store.url" }) {
    CHECK(all.find(key) != std::string::npos);
  }
}

TEST_CASE("a TOML syntax error is reported with its line")
{
  const auto settings = ParseSettings("[daemon\nslot = 1", "cut.toml");
  REQUIRE_FALSE(settings);
  REQUIRE(settings.error().size() == 1);
  CHECK(settings.error()[0].m_source->m_line == 1);
}

TEST_CASE("a seed must be an IP address and a port")
{
  const std::string with =
    std::string{ kValid } + "[membership]\nseeds = [\"127.0.0.1:7001\"]\n";
  const auto settings = ParseSettings(with, "seeds.toml");
  REQUIRE(settings);
  REQUIRE(settings.value().m_seeds.size() == 1);
  CHECK(settings.value().m_seeds[0].m_gossipPort == 7001);
  const std::string wrong =
    std::string{ kValid } + "[membership]\nseeds = [\"nowhere\"]\n";
  CHECK_FALSE(ParseSettings(wrong, "seeds.toml"));
}

TEST_CASE("the backend server's host must be an IP address")
{
  // Guards against a host name that passes the settings check and fails only
  // when the client connects.
  const std::string text = R"([daemon]
slot = "a"
service = "s"
region = "r"
domain = "d"
[operators]
token = "t"
[store]
url = "http://127.0.0.1:1"
[worker]
url = "http://localhost:80"
)";
  const auto named = ParseSettings(text, "x.toml");
  REQUIRE_FALSE(named);
  CHECK(named.error().at(0).m_message.find("http://IP:PORT") !=
        std::string::npos);
}

TEST_CASE("books_links is true or false, and on without it")
{
  // Guards against a misspelt switch that leaves links booked, or unbooked.
  const auto parse = [](const std::string& aCalls) {
    return ParseSettings(std::string{ kValid } + "[calls]\n" + aCalls + "\n",
                         "calls.toml");
  };
  CHECK(parse("").value().m_calls.m_booksLinks);
  CHECK_FALSE(parse("books_links = false").value().m_calls.m_booksLinks);
  CHECK_FALSE(parse("books_links = 0"));
  CHECK_FALSE(parse("books_links = \"no\""));
  CHECK_FALSE(parse("book_links = false"));
}
