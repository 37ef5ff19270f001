#pragma once

#include "greengagehub/core/clock.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Histogram of run times. Each bucket ends at 1.5 times the end of the
/// one before; the last one is unbounded.
class RunTimeHistogram
{
public:
  static constexpr std::size_t kBuckets = 24;
  /// Upper bound of the first bucket.
  static constexpr std::chrono::milliseconds kFirstBucketEnd{ 2 };

  using Buckets = std::array<std::uint32_t, kBuckets>;

  [[nodiscard]] static std::size_t BucketOf(Duration aTook) noexcept;
  [[nodiscard]] static double SumFrom(const Buckets& aBuckets,
                                      std::size_t aFirst) noexcept;
};

/// \brief Counts of one route on one worker since the order.
struct RouteCounts
{
  /// Digest of the route's key; 0 for all routes beyond RunCounter::kMaxRoutes.
  std::uint64_t m_route{ 0 };
  std::uint32_t m_runs{ 0 };
  /// The worker answered with an error.
  std::uint32_t m_failed{ 0 };
  /// The answer was lost or incomplete.
  std::uint32_t m_lost{ 0 };
  /// Times of successful and expired runs, corrected for cold workers.
  RunTimeHistogram::Buckets m_times{};
};

/// \brief Counts of one worker. They only grow, so lost and duplicate reports
/// are harmless.
struct WorkerCounts
{
  std::string m_slot{};
  /// Process of the daemon; counts restart with a new process.
  std::uint64_t m_process{ 0 };
  std::string m_service{};
  std::string m_version{};
  /// Running and queued calls.
  std::uint32_t m_pendingCalls{ 0 };
  /// Calls received since the order.
  std::uint32_t m_arrived{ 0 };
  std::vector<RouteCounts> m_routes{};
};

class RunCounter
{
public:
  /// Routes with counts of their own.
  static constexpr std::size_t kMaxRoutes = 8;

  enum class Result : std::uint8_t
  {
    Good,
    Failed,
    Lost,
    /// The run exceeded its deadline.
    Expired,
  };

  /// To be called for a new order.
  void Clear();
  void Arrived() noexcept { ++m_arrived; }
  /// \param aIsCold whether the worker is still warming up.
  void Ended(std::uint64_t aRoute,
             Result aResult,
             Duration aTook,
             bool aIsCold);

  [[nodiscard]] std::uint32_t CountArrived() const noexcept
  {
    return m_arrived;
  }
  [[nodiscard]] const std::vector<RouteCounts>& Routes() const noexcept
  {
    return m_routes;
  }

private:
  [[nodiscard]] RouteCounts& CountsOf(std::uint64_t aRoute);

  std::uint32_t m_arrived{ 0 };
  std::vector<RouteCounts> m_routes;
};

}
