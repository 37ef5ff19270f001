#pragma once

#include "greengagehub/core/clock.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Times of runs in buckets, each reaching half as far again as the one
/// before; the last one is open.
class TimeCounts
{
public:
  static constexpr std::size_t kBuckets = 24;
  /// Upper end of the first one.
  static constexpr std::chrono::milliseconds kFirst{ 2 };

  using Buckets = std::array<std::uint32_t, kBuckets>;

  [[nodiscard]] static std::size_t BucketOf(Duration aTook) noexcept;
  /// \returns Sum of the buckets from `aFirst` on.
  [[nodiscard]] static double SumFrom(const Buckets& aBuckets,
                                      std::size_t aFirst) noexcept;
};

/// \brief What runs of one route at one worker came to, since the order.
struct RouteCounts
{
  /// Digest of the route's key; 0: all those for which there was no room.
  std::uint64_t m_route{ 0 };
  std::uint32_t m_runs{ 0 };
  /// The worker answered with a failure of its own.
  std::uint32_t m_failed{ 0 };
  /// No answer came, or one that was not whole.
  std::uint32_t m_lost{ 0 };
  /// Of runs that were answered well or ran out of time; as if it had been
  /// warm, where the worker was cold.
  TimeCounts::Buckets m_times{};
};

/// \brief What one daemon counted beside its worker. Counts only grow, so that
/// one that is lost or comes twice does no harm.
struct WorkerCounts
{
  std::string m_slot{};
  /// Process of the daemon; another one counts anew.
  std::uint64_t m_process{ 0 };
  std::string m_service{};
  std::string m_version{};
  /// Calls that the worker runs or that wait for it.
  std::uint32_t m_atWork{ 0 };
  /// Calls that came for it.
  std::uint32_t m_arrived{ 0 };
  std::vector<RouteCounts> m_routes{};
};

/// \brief Counts the runs of the worker beside this daemon.
class RunTally
{
public:
  /// Routes counted apart.
  static constexpr std::size_t kMaxRoutes = 8;

  enum class Result : std::uint8_t
  {
    Good,
    Failed,
    Lost,
    /// It ran out of time.
    Expired,
  };

  /// \brief Counts anew, for another order.
  void Clear();
  void Arrived() noexcept { ++m_arrived; }
  /// \param aIsCold whether the worker is still slow after its start.
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
