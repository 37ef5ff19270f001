#include "target_size.hpp"

#include "greengagehub/calls/route_table.hpp"
#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/worker_table.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/core/compression.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/transport/codec.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

/// \file
/// \brief Microbenchmarks of a daemon's operations at sizes up to the planned
/// fleet size of docs/CAPACITY.md.

namespace {

using namespace greengagehub; // NOLINT: a program in one file
using namespace std::chrono_literals;

/// \returns A patch with this number of services and as many routes.
std::string
MakePatch(std::int64_t aServices)
{
  std::string services;
  std::string routes;
  for (std::int64_t i = 0; i < aServices; ++i) {
    const char* comma = i == 0 ? "" : ",";
    services += fmt::format(
      R"({}"service-{}":{{"slots":20,"queue":40,"connections":100}})",
      comma,
      i);
    routes += fmt::format(
      R"({}"route-{}":{{"path":"/service/{}/calls","service":"service-{}","class":"lookup"}})",
      comma,
      i,
      i,
      i);
  }
  return fmt::format(
    R"({{"services":{{{}}},"routes":{{{}}}}})", services, routes);
}

void
ApplySnapshot(benchmark::State& aState)
{
  const std::string patch = MakePatch(aState.range(0));
  for (auto _ : aState) {
    Content content;
    benchmark::DoNotOptimize(content.Apply(patch));
  }
  aState.counters["bytes"] = static_cast<double>(patch.size());
  aState.counters["compressed"] = static_cast<double>(Compress(patch).size());
}
BENCHMARK(ApplySnapshot)->Arg(100)->Arg(1000)->Arg(6800);

void
ApplyOnePatch(benchmark::State& aState)
{
  Content base;
  static_cast<void>(base.Apply(MakePatch(aState.range(0))));
  const std::string patch =
    R"({"routes":{"route-7":{"path":"/new/path","service":"service-9"}}})";
  for (auto _ : aState) {
    Content next = base;
    benchmark::DoNotOptimize(next.Apply(patch));
  }
}
BENCHMARK(ApplyOnePatch)->Arg(100)->Arg(1000)->Arg(6800);

/// One of the routes of a whole document has changed.
void
StageDocumentWithOneChange(benchmark::State& aState)
{
  Content base;
  static_cast<void>(base.Apply(MakePatch(aState.range(0))));
  ContentTexts texts{ "{}", {}, {} };
  for (const auto& [name, route] : base.Routes()) {
    texts.m_routes.push_back({ name, route->m_text });
  }
  for (const auto& [name, service] : base.Services()) {
    texts.m_services.push_back({ name, service->m_text });
  }
  ConfigHolder holder;
  static_cast<void>(holder.StageDocument(Version{ 1 }, texts));
  const std::string changed[] = {
    R"({"class":"lookup","path":"/new/","service":"service-9"})",
    R"({"class":"lookup","path":"/old/","service":"service-9"})"
  };
  std::uint64_t version = 1;
  for (auto _ : aState) {
    texts.m_routes.front().m_text = changed[version % 2];
    benchmark::DoNotOptimize(holder.StageDocument(Version{ ++version }, texts));
  }
  aState.counters["patch_bytes"] =
    static_cast<double>(holder.Entry(Version{ version })->m_patch.size());
}
BENCHMARK(StageDocumentWithOneChange)->Arg(100)->Arg(1000)->Arg(6800);

void
BuildRouteTable(benchmark::State& aState)
{
  Content content;
  static_cast<void>(content.Apply(MakePatch(aState.range(0))));
  for (auto _ : aState) {
    RouteTable table{ content };
    benchmark::DoNotOptimize(table);
  }
}
BENCHMARK(BuildRouteTable)->Arg(100)->Arg(1000)->Arg(6800);

void
FindRoute(benchmark::State& aState)
{
  Content content;
  static_cast<void>(content.Apply(MakePatch(aState.range(0))));
  const RouteTable table{ content };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Find("host", "/service/42/calls/17/x"));
  }
}
BENCHMARK(FindRoute)->Arg(100)->Arg(6800);

void
ChooseWorker(benchmark::State& aState)
{
  WorkerTable workers;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    WorkerRow row;
    row.m_slot = fmt::format("w{}", i);
    row.m_service = "s";
    workers.Put(std::move(row));
  }
  Random random{ 1 };
  TwoChoices policy;
  const std::vector<std::string> none;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(workers.Choose(
      policy, "s", none, RoutingContext{ TimePoint{ 1h } }, random));
  }
}
BENCHMARK(ChooseWorker)->Arg(6)->Arg(60)->Arg(600);

void
AdmitAndFinish(benchmark::State& aState)
{
  RunTable runs{ {} };
  std::uint64_t call = 0;
  RunActions out;
  const TimePoint now{ 1h };
  for (auto _ : aState) {
    const CallKey key{ 1, ++call };
    benchmark::DoNotOptimize(
      runs.Admit(now, key, 1, { .m_timeLeft = 1s, .m_targetLeft = 1s }, out));
    benchmark::DoNotOptimize(runs.Finish(now, key));
  }
}
BENCHMARK(AdmitAndFinish);

Membership
MakeMembership(std::int64_t aCount)
{
  Membership membership{ MakeMemberRecord(0), {}, 1 };
  std::vector<MemberRecord> records;
  for (std::int64_t i = 1; i < aCount; ++i) {
    records.push_back(MakeMemberRecord(i));
  }
  static_cast<void>(membership.OnRecords(TimePoint{ 1h }, records));
  return membership;
}

void
MembershipPeriod(benchmark::State& aState)
{
  Membership membership = MakeMembership(aState.range(0));
  TimePoint now{ 1h };
  GossipMessage ping;
  ping.m_sender = MakeMemberRecord(5);
  for (auto _ : aState) {
    // The work of an idle daemon in a second.
    for (int i = 0; i < 10; ++i) {
      now += 100ms;
      benchmark::DoNotOptimize(membership.OnTick(now));
    }
    benchmark::DoNotOptimize(
      membership.OnMessage(now, ping.m_sender.m_address, ping));
    benchmark::DoNotOptimize(membership.Digests().Summary());
  }
}
BENCHMARK(MembershipPeriod)->Arg(100)->Arg(1000)->Arg(10000)->Arg(38000);

void
DomainRank(benchmark::State& aState)
{
  const Membership membership = MakeMembership(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(membership.RankInDomain());
  }
}
BENCHMARK(DomainRank)->Arg(1000)->Arg(38000);

void
EncodeMemberTable(benchmark::State& aState)
{
  Membership membership = MakeMembership(aState.range(0));
  PullAnswer answer;
  answer.m_members = membership.DifferingRecords(MemberDigests{});
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const std::string encoded = Compress(EncodePullAnswer(answer));
    bytes = encoded.size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_per_member"] =
    static_cast<double>(bytes) / static_cast<double>(aState.range(0));
}
BENCHMARK(EncodeMemberTable)->Arg(1000)->Arg(38000);

void
FrameRoundTrip(benchmark::State& aState)
{
  CallRequest request;
  request.m_method = "POST";
  request.m_target = "/service/42/calls";
  request.m_headers = { { "X-Request-Id", "abcdefgh" },
                        { "traceparent",
                          "00-0af7651916cd43dd8448eb211c80319c-"
                          "b7ad6b7169203331-01" } };
  request.m_body = std::string(200, 'x');
  std::size_t bytes = 0;
  for (auto _ : aState) {
    std::string frame;
    AppendFrame(frame, request);
    bytes = frame.size();
    benchmark::DoNotOptimize(
      DecodeFrame(std::string_view{ frame }.substr(kFrameLengthBytes)));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(FrameRoundTrip);

}

BENCHMARK_MAIN();
