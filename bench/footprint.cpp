#include "target_size.hpp"

#include "greengagehub/calls/route_table.hpp"
#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/worker_table.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/membership/membership.hpp"

#include <fmt/format.h>
#include <fstream>
#include <malloc.h>

/// \file
/// \brief Prints the memory of a daemon's tables at the planned fleet size, as
/// the allocator reports it.

namespace {

using namespace greengagehub; // NOLINT: a program in one file
using namespace std::chrono_literals;

double
AllocatedMb()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

std::string
MakePatch(int aServices)
{
  std::string services;
  std::string routes;
  for (int i = 0; i < aServices; ++i) {
    const char* comma = i == 0 ? "" : ",";
    services +=
      fmt::format(R"({}"service-{}":{{"slots":20,"queue":40}})", comma, i);
    routes += fmt::format(
      R"({}"route-{}":{{"path":"/service/{}","service":"service-{}"}})",
      comma,
      i,
      i,
      i);
  }
  return fmt::format(
    R"({{"services":{{{}}},"routes":{{{}}}}})", services, routes);
}

template<class Build>
void
Measure(const char* aName, double aCount, Build aBuild)
{
  const double before = AllocatedMb();
  const auto kept = aBuild();
  const double used = AllocatedMb() - before;
  fmt::print(
    "{:36} {:8.2f} MB {:8.0f} B each\n", aName, used, used * 1e6 / aCount);
  static_cast<void>(kept);
}

std::unique_ptr<Membership>
MakeMembership(int aCount)
{
  auto membership =
    std::make_unique<Membership>(MakeMemberRecord(0), MembershipSettings{}, 1);
  std::vector<MemberRecord> records;
  for (int i = 1; i < aCount; ++i) {
    records.push_back(MakeMemberRecord(i));
  }
  static_cast<void>(membership->OnRecords(TimePoint{ 1h }, records));
  return membership;
}

std::unique_ptr<WorkerTable>
MakeWorkerTable(int aCount)
{
  auto workers = std::make_unique<WorkerTable>();
  for (int i = 0; i < aCount; ++i) {
    WorkerRow row;
    row.m_slot = MakeMemberRecord(i).m_slot;
    row.m_service = MakeMemberRecord(i).m_service;
    row.m_domain = MakeMemberRecord(i).m_domain;
    workers->Put(std::move(row));
  }
  return workers;
}

}

int
main()
{
  for (const int count : { 1000, 10'000, 38'000 }) {
    Measure(fmt::format("members, {}", count).c_str(), count, [count] {
      return MakeMembership(count);
    });
    Measure(fmt::format("workers, {}", count).c_str(), count, [count] {
      return MakeWorkerTable(count);
    });
  }
  for (const int count : { 1000, 6800 }) {
    Content content;
    Measure(fmt::format("content, {} services and routes", count).c_str(),
            count,
            [&] {
              static_cast<void>(content.Apply(MakePatch(count)));
              return 0;
            });
    Measure(fmt::format("route table, {}", count).c_str(), count, [&] {
      return std::make_unique<RouteTable>(content);
    });
  }
  for (const int count : { 10'000, 50'000 }) {
    Measure(fmt::format("ended attempts, {}", count).c_str(), count, [count] {
      auto runs = std::make_unique<RunTable>(RunTableSettings{});
      RunActions out;
      for (int call = 1; call <= count; ++call) {
        const CallKey key{ 1, static_cast<std::uint64_t>(call) };
        static_cast<void>(runs->Admit(TimePoint{ 1h },
                                      key,
                                      1,
                                      { .m_timeLeft = 1s, .m_targetLeft = 1s },
                                      out));
        static_cast<void>(runs->Finish(TimePoint{ 1h }, key));
      }
      return runs;
    });
  }
  constexpr int kWorkspaces = 10'000;
  Measure("shares, 10000 workspaces", kWorkspaces, [] {
    auto shares = std::make_unique<FairShares>();
    for (std::uint64_t workspace = 1; workspace < kWorkspaces; ++workspace) {
      // All remain ahead of the first one, whose call waits.
      auto ticket =
        shares->Queue(TimePoint{ 1h }, 0, { workspace, kUnitWeight }, 100ms);
      if (workspace > 1) {
        shares->Start(ticket, 100ms);
        shares->Finish(TimePoint{ 1h }, ticket, 100ms);
      }
    }
    return shares;
  });
  return 0;
}
