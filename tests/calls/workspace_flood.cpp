#include "replay.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;
using namespace greengagehub::test;

// A workspace that floods beside 72 others, with dispatchers and run tables.

namespace {

constexpr std::size_t kWorkspaces = 73;
constexpr double kFlood = 20.0;
/// What the others may lose by it.
constexpr double kMaxLoss = 0.02;
/// No workspace is answered less often than this part of the mean.
constexpr double kLeastPart = 0.25;

struct Flood
{
  /// Of all workspaces at their usual rates, as a fraction of capacity.
  double m_load{ 0.9 };
  double m_rate{ kFlood };
  double m_limit{ 0.0 };
  bool m_sharesFairly{ true };
};

ReplayResult
RunFlood(const Flood& aFlood)
{
  ReplaySetup setup;
  setup.m_domains = { { .m_load = aFlood.m_load } };
  setup.m_sharesFairly = aFlood.m_sharesFairly;
  setup.m_span = 60s;
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    setup.m_workspaces.push_back({ .m_share = { i + 1, kUnitWeight } });
  }
  setup.m_workspaces[0].m_rate = aFlood.m_rate;
  setup.m_workspaces[0].m_limit = aFlood.m_limit;
  return Replay{ std::move(setup) }.Run();
}

struct Others
{
  double m_answered{ 0.0 };
  double m_inTarget{ 0.0 };
  /// Share of calls answered, of the workspace with the least.
  double m_least{ 1.0 };
  double m_calls{ 0.0 };

  explicit Others(const ReplayResult& aResult)
  {
    for (std::size_t i = 1; i < aResult.m_workspaces.size(); ++i) {
      const ReplayWorkspaceResult& each = aResult.m_workspaces[i];
      m_calls += static_cast<double>(each.m_calls);
      m_answered += static_cast<double>(each.m_answered);
      m_inTarget += static_cast<double>(each.m_inTarget);
      m_least = std::min(m_least,
                         static_cast<double>(each.m_answered) /
                           static_cast<double>(each.m_calls));
    }
  }
  [[nodiscard]] double AnsweredShare() const { return m_answered / m_calls; }
};

std::string
Describe(const Flood& aFlood, const ReplayResult& aResult)
{
  const Others others{ aResult };
  const ReplayWorkspaceResult& own = aResult.m_workspaces[0];
  return fmt::format(
    "load {} rate {} limit {} fair {}: others {} in target, {} "
    "answered, least {:.3f}; flood {} calls, {} in target, {} answered",
    aFlood.m_load,
    aFlood.m_rate,
    aFlood.m_limit,
    aFlood.m_sharesFairly,
    others.m_inTarget,
    others.m_answered,
    others.m_least,
    own.m_calls,
    own.m_inTarget,
    own.m_answered);
}

}

TEST_CASE("a workspace that sends 20 times its usual takes nothing from others")
{
  // Guards against one workspace whose calls fill all queues, so that those of
  // the others are refused or late.
  const Flood byGainAlone{ .m_sharesFairly = false };
  MESSAGE(Describe(byGainAlone, RunFlood(byGainAlone)));
  for (const double load : { 0.9, 1.2, 2.0 }) {
    const Flood usual{ .m_load = load, .m_rate = 1.0 };
    const ReplayResult before = RunFlood(usual);
    MESSAGE(Describe(usual, before));
    for (const double limit : { 0.0, 5.0 }) {
      const Flood flood{ .m_load = load, .m_limit = limit };
      const ReplayResult result = RunFlood(flood);
      MESSAGE(Describe(flood, result));
      const Others calm{ before };
      const Others flooded{ result };
      CHECK(flooded.m_inTarget >= (1.0 - kMaxLoss) * calm.m_inTarget);
      CHECK(flooded.m_answered >= (1.0 - kMaxLoss) * calm.m_answered);
      CHECK(flooded.m_least >= kLeastPart * flooded.AnsweredShare());
    }
  }
}

TEST_CASE("calls without workspace are ordered as if shares were off")
{
  // Guards against decisions that change where no workspaces are configured.
  std::vector<ReplayResult> results;
  for (const bool sharesFairly : { false, true }) {
    ReplaySetup setup;
    setup.m_domains = { { .m_load = 1.3 } };
    setup.m_sharesFairly = sharesFairly;
    results.push_back(Replay{ std::move(setup) }.Run());
  }
  CHECK(results[0].m_digest != 0);
  CHECK(results[0].m_digest == results[1].m_digest);
  CHECK(results[0].m_sends == results[1].m_sends);
}

TEST_CASE("workspaces above their shares are answered by weight")
{
  // Guards against shares that ignore the configured weights.
  ReplaySetup setup;
  setup.m_domains = { { .m_load = 2.5 } };
  for (const std::uint32_t weight : { 1000U, 2000U, 4000U }) {
    setup.m_workspaces.push_back(
      { .m_share = { setup.m_workspaces.size() + 1, weight } });
  }
  setup.m_workspaces[0].m_rate = 2.0;
  setup.m_workspaces[2].m_rate = 2.0;
  const auto result = Replay{ std::move(setup) }.Run();
  const auto part = [&](std::size_t aWorkspace) {
    return std::chrono::duration<double>(
             result.m_workspaces[aWorkspace].m_slotTime)
      .count();
  };
  MESSAGE(
    fmt::format("{:.1f} s, {:.1f} s, {:.1f} s", part(0), part(1), part(2)));
  CHECK(part(1) == doctest::Approx(2.0 * part(0)).epsilon(0.1));
  CHECK(part(2) == doctest::Approx(4.0 * part(0)).epsilon(0.1));
}
