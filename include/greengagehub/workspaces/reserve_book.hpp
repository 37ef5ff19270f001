#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace greengagehub {

/// \brief Books the shares of one workspace's reserve that daemons hold.
///
/// A daemon may use its share until it expires, and a window may contain uses
/// made just before. A share is therefore booked until a window after its
/// expiry, and the booked shares never exceed the reserve.
class ReserveBook
{
public:
  /// \param aWanted share that the daemon should have.
  /// \param aReserve reserve of the workspace, in requests per window.
  /// \param aBookedFor lifetime of the share and a quota window.
  /// \returns The share, in whole requests per window: aWanted, somewhat more
  /// if the daemon has had more, or what the reserve still allows.
  [[nodiscard]] std::uint32_t Grant(TimePoint aNow,
                                    std::uint64_t aDaemon,
                                    std::uint32_t aWanted,
                                    double aReserve,
                                    std::chrono::milliseconds aBookedFor);
  /// \returns Requests per window over all daemons.
  [[nodiscard]] std::uint32_t Booked() const noexcept { return m_booked; }

private:
  struct Booking
  {
    std::uint32_t m_share{ 0 };
    TimePoint m_until{};
  };
  /// Of one daemon: shares decrease and their ends increase. The first counts.
  using Bookings = std::vector<Booking>;

  void RemoveExpired(TimePoint aNow);
  static void Add(Bookings& aBookings, Booking aNew);
  [[nodiscard]] static std::uint32_t ShareOf(const Bookings& aBookings) noexcept
  {
    return aBookings.empty() ? 0 : aBookings.front().m_share;
  }

  std::unordered_map<std::uint64_t, Bookings> m_bookings;
  std::uint32_t m_booked{ 0 };
  TimePoint m_nextRemoval{};
};

}
