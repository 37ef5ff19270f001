#include "greengagehub/rollout/run_counts.hpp"

#include <algorithm>
#include <numeric>

namespace greengagehub {

namespace {

/// Corrects the times of a cold worker, which takes about twice as long.
constexpr std::size_t kColdBucketShift = 2;

}

std::size_t
RunTimeHistogram::BucketOf(Duration aTook) noexcept
{
  constexpr double kGrowth = 1.5;
  std::chrono::duration<double, std::milli> end = kFirstBucketEnd;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && aTook >= end) {
    end *= kGrowth;
    ++bucket;
  }
  return bucket;
}

double
RunTimeHistogram::SumFrom(const Buckets& aBuckets, std::size_t aFirst) noexcept
{
  const auto first =
    aBuckets.begin() + static_cast<std::ptrdiff_t>(std::min(aFirst, kBuckets));
  return std::accumulate(first, aBuckets.end(), 0.0);
}

void
RunCounter::Clear()
{
  m_arrived = 0;
  m_routes.clear();
}

RouteCounts&
RunCounter::CountsOf(std::uint64_t aRoute)
{
  const auto findRoute = [this](std::uint64_t aWanted) {
    return std::ranges::find(m_routes, aWanted, &RouteCounts::m_route);
  };
  auto found = findRoute(aRoute);
  if (found == m_routes.end() && m_routes.size() >= kMaxRoutes) {
    aRoute = 0;
    found = findRoute(aRoute);
  }
  if (found == m_routes.end()) {
    m_routes.push_back({ aRoute });
    return m_routes.back();
  }
  return *found;
}

void
RunCounter::Ended(std::uint64_t aRoute,
                  Result aResult,
                  Duration aTook,
                  bool aIsCold)
{
  RouteCounts& counts = CountsOf(aRoute);
  ++counts.m_runs;
  counts.m_failed += aResult == Result::Failed ? 1 : 0;
  counts.m_lost += aResult == Result::Lost ? 1 : 0;
  if (aResult == Result::Expired) {
    ++counts.m_times.back();
  } else if (aResult == Result::Good) {
    const std::size_t bucket = RunTimeHistogram::BucketOf(aTook);
    const std::size_t shift = aIsCold ? kColdBucketShift : 0;
    ++counts.m_times.at(bucket - std::min(bucket, shift));
  }
}

}
