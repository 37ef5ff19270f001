#include "greengagehub/calls/send_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// Time for which unused rate accumulates; covers delays of this process.
constexpr std::chrono::milliseconds kBurstTime{ 500 };
/// Requests per second at the lowest limits, so that their end is noticed.
constexpr double kMinRate = 0.5;
/// Bound on the requests in a window: a multiple of what the limit allows, and
/// a constant.
constexpr double kWindowFactor = 1.4;
constexpr double kWindowSlack = 4.0;
/// After the end of a limit the rate doubles at this interval, for this time.
constexpr std::chrono::milliseconds kReleaseDoubling{ 250 };
constexpr std::chrono::milliseconds kReleaseTime{ 2000 };
constexpr std::chrono::milliseconds kUnknownTime{ 1000 };
constexpr std::chrono::hours kMaxDelay{ 1 };

using Seconds = std::chrono::duration<double>;

}

std::int64_t
SlidingCount::NumberOf(TimePoint aTime) noexcept
{
  return aTime.time_since_epoch() / kBucket;
}

void
SlidingCount::Add(TimePoint aNow) noexcept
{
  const std::int64_t number = NumberOf(aNow);
  Bucket& bucket = m_buckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.m_number != number) {
    bucket = { number, 0 };
  }
  ++bucket.m_count;
}

std::uint32_t
SlidingCount::CountAt(TimePoint aNow) const noexcept
{
  const std::int64_t number = NumberOf(aNow);
  std::uint32_t count = 0;
  for (const Bucket& each : m_buckets) {
    const bool isInWindow = number - each.m_number < std::ssize(m_buckets);
    count += isInWindow ? each.m_count : 0;
  }
  return count;
}

TimePoint
SlidingCount::BelowAt(TimePoint aNow, double aMax) const noexcept
{
  double count = CountAt(aNow);
  const std::int64_t last = NumberOf(aNow);
  for (std::int64_t number = last - std::ssize(m_buckets) + 1;
       count >= aMax && number <= last;
       ++number) {
    const Bucket& bucket =
      m_buckets[static_cast<std::size_t>(number) % kBuckets];
    count -= bucket.m_number == number ? bucket.m_count : 0;
    aNow = TimePoint{ (number + std::ssize(m_buckets)) * kBucket };
  }
  return aNow;
}

void
SendLimiter::StartLimit(TimePoint aNow, double aLimit)
{
  const bool isFirst = !m_endedAt || aNow - *m_endedAt >= SlidingCount::kWindow;
  if (isFirst) {
    m_sent.Clear();
    m_nextDue = aNow + kBurstTime;
  }
  m_since = aNow;
  m_limit = aLimit;
}

void
SendLimiter::OnResponse(TimePoint aNow,
                        TimePoint aSentAt,
                        std::optional<double> aLimit)
{
  m_hasResponse = true;
  m_isUnknown = false;
  if (!aLimit) {
    if (m_limit && aSentAt > m_statedAt) {
      m_endedLimit = *m_limit;
      m_endedAt = aNow;
      m_limit.reset();
    }
    return;
  }
  if (!m_limit) {
    StartLimit(aNow, *aLimit);
  }
  m_limit = aLimit;
  m_statedAt = aNow;
  // After a low limit the next request must not wait for its long interval.
  m_nextDue = std::min(m_nextDue, aNow + kBurstTime + Interval(aNow));
}

void
SendLimiter::Adopt(TimePoint aNow, double aLimit)
{
  if (m_hasResponse || m_limit) {
    return;
  }
  m_isUnknown = false;
  StartLimit(aNow, aLimit);
  m_statedAt = aNow;
}

void
SendLimiter::Reset()
{
  const bool wasUnknown = m_isUnknown;
  *this = {};
  m_isUnknown = wasUnknown;
}

void
SendLimiter::RecordSend(TimePoint aNow)
{
  if (!m_firstSendAt) {
    m_firstSendAt = aNow;
  }
  const bool isCounted =
    m_limit || (m_endedAt && aNow - *m_endedAt < SlidingCount::kWindow);
  if (!isCounted) {
    return;
  }
  m_sent.Add(aNow);
  m_nextDue = std::max(m_nextDue, aNow) + Interval(aNow);
}

bool
SendLimiter::IsUnknown(TimePoint aNow) const noexcept
{
  return m_isUnknown &&
         (!m_firstSendAt || aNow - *m_firstSendAt < kUnknownTime);
}

bool
SendLimiter::IsLimiting(TimePoint aNow) const noexcept
{
  return m_limit || (m_endedAt && aNow - *m_endedAt < kReleaseTime);
}

Duration
SendLimiter::Interval(TimePoint aNow) const
{
  double rate = std::max(m_limit.value_or(m_endedLimit), kMinRate);
  if (!m_limit && m_endedAt) {
    rate *= std::exp2((aNow - *m_endedAt) / Seconds{ kReleaseDoubling });
  }
  return std::chrono::duration_cast<Duration>(Seconds{ 1.0 / rate });
}

TimePoint
SendLimiter::NextSendAt(TimePoint aNow) const
{
  if (!IsLimiting(aNow)) {
    return aNow;
  }
  TimePoint next = std::max<TimePoint>(aNow, m_nextDue - kBurstTime);
  if (m_limit) {
    const double allowed = *m_limit * Seconds{ SlidingCount::kWindow }.count();
    next = std::max(
      next, m_sent.BelowAt(aNow, kWindowFactor * allowed + kWindowSlack));
  }
  return next;
}

Duration
SendLimiter::DelayAfter(TimePoint aNow, std::size_t aAhead) const
{
  if (!IsLimiting(aNow)) {
    return Duration::zero();
  }
  const Seconds ahead = Seconds{ Interval(aNow) } * static_cast<double>(aAhead);
  const Duration capped =
    std::chrono::duration_cast<Duration>(std::min<Seconds>(ahead, kMaxDelay));
  return NextSendAt(aNow) - aNow + capped;
}

}
