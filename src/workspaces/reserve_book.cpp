#include "greengagehub/workspaces/reserve_book.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Until its removal, an expired booking still counts.
constexpr std::chrono::milliseconds kRemovalInterval{ 250 };

}

void
ReserveBook::RemoveExpired(TimePoint aNow)
{
  if (aNow < m_nextRemoval) {
    return;
  }
  m_nextRemoval = aNow + kRemovalInterval;
  m_booked = 0;
  for (auto each = m_bookings.begin(); each != m_bookings.end();) {
    std::erase_if(each->second, [&](const Booking& aBooking) {
      return aBooking.m_until <= aNow;
    });
    m_booked += ShareOf(each->second);
    each = each->second.empty() ? m_bookings.erase(each) : std::next(each);
  }
}

void
ReserveBook::Add(Bookings& aBookings, Booking aNew)
{
  std::erase_if(aBookings, [&](const Booking& aEach) {
    return aEach.m_share <= aNew.m_share && aEach.m_until <= aNew.m_until;
  });
  aBookings.push_back(aNew);
}

std::uint32_t
ReserveBook::Grant(TimePoint aNow,
                   std::uint64_t aDaemon,
                   std::uint32_t aWanted,
                   double aReserve,
                   std::chrono::milliseconds aBookedFor)
{
  RemoveExpired(aNow);
  const auto found = m_bookings.find(aDaemon);
  const std::uint32_t own =
    found != m_bookings.end() ? ShareOf(found->second) : 0;
  const std::uint32_t others = m_booked - own;
  const auto whole = static_cast<std::uint32_t>(std::max(0.0, aReserve));
  // Rates vary; a slightly lower share would stay booked for nothing.
  const std::uint32_t wanted =
    aWanted >= own / 2 ? std::max(aWanted, own) : aWanted;
  const std::uint32_t share =
    std::min(wanted, whole > others ? whole - others : 0);
  if (share == 0) {
    return 0;
  }
  Bookings& bookings = m_bookings[aDaemon];
  Add(bookings, { share, aNow + aBookedFor });
  m_booked = others + ShareOf(bookings);
  return share;
}

}
