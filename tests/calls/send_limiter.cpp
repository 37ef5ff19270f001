#include "greengagehub/calls/send_limiter.hpp"
#include "greengagehub/core/random.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };
constexpr auto kStep = 1ms;

/// Sends whenever the limiter allows it and `aWants` is true.
class Sender
{
public:
  explicit Sender(SendLimiter& aLimiter)
    : m_limiter(aLimiter)
  {
  }

  template<class Wants>
  void RunUntil(TimePoint aUntil, Wants aWants)
  {
    for (; m_now < aUntil; m_now += kStep) {
      while (aWants(m_now) && m_limiter.NextSendAt(m_now) <= m_now) {
        m_limiter.RecordSend(m_now);
        m_sends.push_back(m_now);
      }
    }
  }
  void RunUntil(TimePoint aUntil)
  {
    RunUntil(aUntil, [](TimePoint) { return true; });
  }

  [[nodiscard]] std::size_t CountIn(TimePoint aFrom, TimePoint aUntil) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(m_sends, [&](TimePoint aEach) {
        return aEach >= aFrom && aEach < aUntil;
      }));
  }

  /// \returns Most sends in any 4 s that end at `aFrom` or later.
  [[nodiscard]] std::size_t MostInWindow(TimePoint aFrom = kStart) const
  {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_sends.size(); ++last) {
      while (m_sends[first] <= m_sends[last] - 4s) {
        ++first;
      }
      most = m_sends[last] < aFrom ? most : std::max(most, last - first + 1);
    }
    return most;
  }

private:
  SendLimiter& m_limiter;
  TimePoint m_now{ kStart };
  std::vector<TimePoint> m_sends;
};

}

TEST_CASE("without a limit nothing is delayed")
{
  SendLimiter limiter;
  CHECK_FALSE(limiter.IsLimiting(kStart));
  for (int i = 0; i < 1000; ++i) {
    limiter.RecordSend(kStart);
  }
  CHECK(limiter.NextSendAt(kStart) == kStart);
  CHECK(limiter.DelayAfter(kStart, 1000) == 0ms);
}

TEST_CASE("a limit is used up and not exceeded while more is wanted")
{
  for (const double limit : { 0.7, 6.6, 37.6, 900.0 }) {
    CAPTURE(limit);
    SendLimiter limiter;
    limiter.OnResponse(kStart, kStart, limit);
    Sender sender{ limiter };
    sender.RunUntil(kStart + 60s);
    const auto sent =
      static_cast<double>(sender.CountIn(kStart + 20s, kStart + 60s));
    CHECK(sent >= 0.95 * 40.0 * limit);
    CHECK(sent <= 1.1 * 40.0 * limit + 1.0);
    CHECK(static_cast<double>(sender.MostInWindow()) <= 4.5 * limit + 1.0);
  }
}

TEST_CASE("bursts after idle times stay within the bound of any window")
{
  // Guards against a bucket that fills while nothing is sent.
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Random random{ seed };
    const double limit = 2.0 + static_cast<double>(Below(random, 100));
    SendLimiter limiter;
    limiter.OnResponse(kStart, kStart, limit);
    Sender sender{ limiter };
    const auto wants =
      [&, until = kStart, isBurst = false](TimePoint aNow) mutable {
        if (aNow >= until) {
          until = aNow + std::chrono::milliseconds{ 50 + Below(random, 3000) };
          isBurst = !isBurst;
        }
        return isBurst;
      };
    sender.RunUntil(kStart + 40s, wants);
    CHECK(static_cast<double>(sender.MostInWindow()) <= 4.5 * limit + 1.0);
  }
}

TEST_CASE("a limit that falls bounds the window with what was sent before")
{
  for (const double divisor : { 2.0, 10.0 }) {
    CAPTURE(divisor);
    SendLimiter limiter;
    limiter.OnResponse(kStart, kStart, 40.0);
    Sender sender{ limiter };
    sender.RunUntil(kStart + 10s);
    const double lower = 40.0 / divisor;
    limiter.OnResponse(kStart + 10s, kStart + 9s, lower);
    const std::size_t before = sender.CountIn(kStart + 6s, kStart + 10s);
    sender.RunUntil(kStart + 40s);
    // What had been sent by then cannot be undone.
    CHECK(sender.MostInWindow(kStart + 10s) <= before);
    CHECK(static_cast<double>(sender.MostInWindow(kStart + 14s)) <=
          5.6 * lower + 4.0);
    CHECK(static_cast<double>(sender.CountIn(kStart + 20s, kStart + 40s)) >=
          0.95 * 20.0 * lower);
  }
}

TEST_CASE("a limit that rises is used at once")
{
  SendLimiter limiter;
  limiter.OnResponse(kStart, kStart, 0.1);
  Sender sender{ limiter };
  sender.RunUntil(kStart + 5s);
  limiter.OnResponse(kStart + 5s, kStart + 4s, 50.0);
  sender.RunUntil(kStart + 7s);
  CHECK(sender.CountIn(kStart + 5s, kStart + 7s) >= 90);
}

TEST_CASE("a limit of zero leaves room to notice its end")
{
  SendLimiter limiter;
  limiter.OnResponse(kStart, kStart, 0.0);
  Sender sender{ limiter };
  sender.RunUntil(kStart + 20s);
  CHECK(sender.MostInWindow() <= 5);
  CHECK(sender.CountIn(kStart + 4s, kStart + 20s) >= 7);
}

TEST_CASE("only a response to a later request ends a limit")
{
  // Guards against a slow response that was started before the limit.
  SendLimiter limiter;
  limiter.OnResponse(kStart, kStart - 1s, 10.0);
  limiter.OnResponse(kStart + 1s, kStart - 2s, std::nullopt);
  CHECK(limiter.Limit() == 10.0);
  limiter.OnResponse(kStart + 2s, kStart + 1s, std::nullopt);
  CHECK_FALSE(limiter.Limit());
}

TEST_CASE("after the end of a limit the rate rises within two seconds")
{
  SendLimiter limiter;
  limiter.OnResponse(kStart, kStart, 10.0);
  Sender sender{ limiter };
  sender.RunUntil(kStart + 10s);
  limiter.OnResponse(kStart + 10s, kStart + 9500ms, std::nullopt);
  sender.RunUntil(kStart + 10500ms);
  CHECK(sender.CountIn(kStart + 10s, kStart + 10500ms) <= 30);
  sender.RunUntil(kStart + 11500ms);
  CHECK(sender.CountIn(kStart + 11s, kStart + 11500ms) >= 50);
  CHECK_FALSE(limiter.IsLimiting(kStart + 12s));
}

TEST_CASE("a limit that comes and goes counts what was sent in between")
{
  SendLimiter limiter;
  limiter.OnResponse(kStart, kStart, 10.0);
  Sender sender{ limiter };
  sender.RunUntil(kStart + 5s);
  limiter.OnResponse(kStart + 5s, kStart + 4900ms, std::nullopt);
  sender.RunUntil(kStart + 6s);
  limiter.OnResponse(kStart + 6s, kStart + 5900ms, 10.0);
  const std::size_t before = sender.CountIn(kStart + 2s, kStart + 6s);
  sender.RunUntil(kStart + 20s);
  CHECK(sender.MostInWindow(kStart + 6s) <= std::max<std::size_t>(before, 60));
}

TEST_CASE("another daemon's knowledge counts until the first response")
{
  // A daemon restarts beside a worker that has stated a limit before.
  SendLimiter limiter;
  limiter.ExpectFirstResponse();
  CHECK(limiter.IsUnknown(kStart));
  limiter.Adopt(kStart, 5.0);
  CHECK_FALSE(limiter.IsUnknown(kStart));
  CHECK(limiter.Limit() == 5.0);
  limiter.OnResponse(kStart + 100ms, kStart + 50ms, std::nullopt);
  CHECK_FALSE(limiter.Limit());
  limiter.Adopt(kStart + 200ms, 5.0);
  CHECK_FALSE(limiter.Limit());
}

TEST_CASE("a limit of the previous incarnation binds nobody")
{
  SendLimiter limiter;
  limiter.OnResponse(kStart, kStart, 1.0);
  limiter.Reset();
  CHECK_FALSE(limiter.IsLimiting(kStart));
  CHECK(limiter.NextSendAt(kStart) == kStart);
}

TEST_CASE("a worker that does not respond is not held back for long")
{
  SendLimiter limiter;
  limiter.ExpectFirstResponse();
  limiter.RecordSend(kStart);
  CHECK(limiter.IsUnknown(kStart + 900ms));
  CHECK_FALSE(limiter.IsUnknown(kStart + 1s));
}
