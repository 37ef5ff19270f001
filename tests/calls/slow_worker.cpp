#include "greengagehub/calls/run_table.hpp"

#include "greengagehub/core/random.hpp"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 15;
constexpr auto kTarget = 1000ms;

/// A worker that is always full, with log-normal run times of 390 ms on
/// average.
class FullWorker
{
public:
  explicit FullWorker(bool aDetectsSlowness = true)
    : m_table({ .m_slots = kSlots,
                .m_queue = 4 * kSlots,
                .m_decisions = { .m_detectsSlowness = aDetectsSlowness } })
  {
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      SendCall(kTarget);
    }
    Run(10s);
    m_longestEstimate = Duration{ 0 };
  }

  [[nodiscard]] RunTable& Table() noexcept { return m_table; }
  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }
  [[nodiscard]] std::size_t Refused() const noexcept { return m_refused; }
  void SetSlowdown(double aFactor) noexcept { m_slowdown = aFactor; }

  Admission SendCall(std::chrono::milliseconds aTargetLeft,
                     bool aRefuseIfBusy = false)
  {
    RunActions out;
    const CallKey key{ 1, ++m_lastCall };
    const Admission admission =
      m_table.Admit(m_now,
                    key,
                    1,
                    { .m_priority = 2,
                      .m_kind = kTarget,
                      .m_timeLeft = 6s,
                      .m_targetLeft = aTargetLeft,
                      .m_refuseIfBusy = aRefuseIfBusy },
                    out);
    if (admission.m_kind == Admission::Kind::Start) {
      Start(key);
    }
    return admission;
  }

  /// \brief Replaces each run that ends by a new call.
  void Run(Duration aFor)
  {
    const TimePoint end = m_now + aFor;
    while (m_now < end) {
      m_now += 20ms;
      while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
        const CallKey key = m_ends.begin()->second;
        m_ends.erase(m_ends.begin());
        Apply(m_table.Finish(m_now, key));
        SendCall(kTarget);
      }
      Apply(m_table.OnTick(m_now));
      m_longestEstimate =
        std::max(m_longestEstimate, m_table.ServiceTime(m_now, kTarget));
    }
  }

  /// \returns Longest service time estimated since the warm-up.
  [[nodiscard]] Duration LongestEstimate() const noexcept
  {
    return m_longestEstimate;
  }

private:
  void Start(CallKey aKey)
  {
    std::lognormal_distribution<double> variation{ -0.11, 0.47 };
    const auto runTime = std::chrono::duration_cast<Duration>(
      390ms * m_slowdown * variation(m_random));
    m_ends.emplace(m_now + runTime, aKey);
  }

  void Apply(const RunActions& aActions)
  {
    m_refused += aActions.m_refused.size();
    for (const CallKey& each : aActions.m_start) {
      Start(each);
    }
  }

  RunTable m_table;
  TimePoint m_now{ 1h };
  double m_slowdown{ 1.0 };
  std::mt19937_64 m_random{ 5 };
  std::multimap<TimePoint, CallKey> m_ends;
  std::uint64_t m_lastCall{ 0 };
  std::size_t m_refused{ 0 };
  Duration m_longestEstimate{ 0 };
};

}

TEST_CASE("a worker that becomes slow is detected before a run ends")
{
  // Guards against calls that queue behind slow runs, because the estimate is
  // updated only when runs end.
  FullWorker worker;
  REQUIRE(worker.SendCall(kTarget, false).m_kind == Admission::Kind::Queued);
  worker.SetSlowdown(12.0);
  worker.Run(1500ms);
  CHECK(worker.Table().ServiceTime(worker.Now(), kTarget) > 900ms);
  CHECK(worker.SendCall(kTarget, true).m_reason == RefusalReason::Busy);
  worker.Run(1500ms);
  CHECK(worker.Table().ServiceTime(worker.Now(), kTarget) > 2s);
  CHECK(worker.SendCall(kTarget).m_kind == Admission::Kind::Refused);

  FullWorker withoutDetection{ false };
  withoutDetection.SetSlowdown(12.0);
  withoutDetection.Run(1500ms);
  CHECK(withoutDetection.Table().ServiceTime(withoutDetection.Now(), kTarget) <
        600ms);
}

TEST_CASE("calls queued at a worker that becomes slow are refused")
{
  FullWorker worker;
  for (int i = 0; i < 20; ++i) {
    REQUIRE(worker.SendCall(kTarget).m_kind == Admission::Kind::Queued);
  }
  const std::size_t refusedBefore = worker.Refused();
  worker.SetSlowdown(12.0);
  worker.Run(3s);
  // Early enough for another worker to answer within the caller's deadline.
  CHECK(worker.Refused() - refusedBefore >= 15);
}

TEST_CASE("the usual variation of run times is not treated as slowness")
{
  FullWorker worker;
  worker.Run(200s);
  CHECK(worker.LongestEstimate() < 700ms);
}

TEST_CASE("a worker that becomes fast again is detected as soon as runs end")
{
  FullWorker worker;
  worker.SetSlowdown(12.0);
  worker.Run(9s);
  worker.SetSlowdown(1.0);
  worker.Run(9s);
  CHECK(worker.Table().ServiceTime(worker.Now(), kTarget) < 700ms);
}
