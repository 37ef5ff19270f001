#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengagehub {

/// \brief A call announced at a worker's daemon, which may offer a slot for it.
struct Announcement
{
  std::uint64_t m_call{ 0 };
  /// Number of the attempt that follows if its offer is taken.
  std::uint64_t m_attempt{ 0 };
  std::string m_slot;
};

/// \brief Announcements by this daemon since its start.
struct ReservationCounts
{
  std::uint64_t m_announced{ 0 };
  /// Offers that were taken.
  std::uint64_t m_taken{ 0 };
  /// Offers that came for calls that needed none any more.
  std::uint64_t m_declined{ 0 };
  /// Announcements that were withdrawn before an offer.
  std::uint64_t m_withdrawn{ 0 };
  /// Announcements that a worker's daemon refused or that expired there.
  std::uint64_t m_refused{ 0 };
};

/// \brief The caller's side of late binding: calls that are announced at
/// workers, and which daemons accept announcements.
class Reservations
{
public:
  void SetSupport(const std::string& aSlot, bool aTakes);
  [[nodiscard]] bool IsSupported(const std::string& aSlot) const
  {
    return m_supported.contains(aSlot);
  }
  void Add(Announcement aAnnouncement);
  /// \returns Nothing if the attempt is not announced.
  [[nodiscard]] std::optional<Announcement> Take(std::uint64_t aAttempt);
  [[nodiscard]] std::vector<Announcement> TakeAll(std::uint64_t aCall);
  [[nodiscard]] std::vector<Announcement> TakeAllAt(const std::string& aSlot);
  /// \returns Whether the call has announcements.
  [[nodiscard]] bool IsReserving(std::uint64_t aCall) const
  {
    return m_byCall.contains(aCall);
  }
  /// \returns Number of announcements.
  [[nodiscard]] std::size_t Size() const noexcept { return m_calls.size(); }

  ReservationCounts m_counts{};

private:
  /// Call of each announced attempt.
  std::unordered_map<std::uint64_t, std::uint64_t> m_calls;
  std::unordered_map<std::uint64_t, std::vector<Announcement>> m_byCall;
  std::unordered_set<std::string> m_supported;
};

}
