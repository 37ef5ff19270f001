#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengagehub {

/// \brief Cancellations that the peer of a link has not confirmed.
///
/// A pong confirms the cancellations sent before its ping. Those that a lost
/// link leaves unconfirmed are sent again on the next one, since the peer may
/// have received none of them; receiving one twice has no effect.
class UnconfirmedCancels
{
public:
  /// Further ones are sent at most once.
  static constexpr std::size_t kMaxCount = 1024;

  [[nodiscard]] std::size_t Count() const noexcept { return m_entries.size(); }

  /// \param aUntil the deadline of the call, at which the peer ends its run.
  /// \returns Whether the cancellation will be sent again after a loss.
  bool Add(TimePoint aNow, std::uint64_t aCall, TimePoint aUntil);
  void OnPing(std::uint64_t aNumber) noexcept;
  void OnPong(std::uint64_t aNumber);
  /// \brief Removes those whose deadlines have passed.
  /// \returns The calls to cancel on a new link, in the order of Add().
  [[nodiscard]] std::vector<std::uint64_t> Resend(TimePoint aNow);
  void Clear() noexcept { m_entries.clear(); }

private:
  struct Entry
  {
    std::uint64_t m_call{ 0 };
    TimePoint m_until{};
    /// The first ping sent afterwards; 0: none.
    std::uint64_t m_ping{ 0 };
  };

  std::vector<Entry> m_entries;
};

}
