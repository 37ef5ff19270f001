#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"

#include <list>
#include <vector>

namespace greengagehub {

/// \brief Requests that came before the daemon was ready, held until it is.
///
/// A daemon that restarts has the configuration within some tenths of a second.
/// Refused, a caller comes back a second later and has one try less; held, it
/// is served at once. What is held is bounded in number, bytes and time, and
/// nothing is held once starting takes longer than it ever should.
class StartBuffer
{
public:
  struct Held
  {
    HttpRequest m_request;
    HttpResponder m_responder;
    TimePoint m_came;
  };

  explicit StartBuffer(TimePoint aStarted) noexcept
    : m_started(aStarted)
  {
  }

  [[nodiscard]] std::size_t Count() const noexcept { return m_held.size(); }

  /// \param aCame when it was read; it may have been held before.
  /// \returns Whether it was taken; else it is still the caller's.
  [[nodiscard]] bool Add(TimePoint aNow,
                         TimePoint aCame,
                         HttpRequest& aRequest,
                         HttpResponder& aResponder);
  /// \brief The caller hung up.
  void Drop(std::uint64_t aConnection);
  /// \returns All that is held, in the order in which it was added.
  [[nodiscard]] std::vector<Held> TakeAll();
  /// \returns Those that have been held for as long as makes sense.
  [[nodiscard]] std::vector<Held> TakeExpired(TimePoint aNow);

  /// A start from the store's copy takes 0.2 to 0.4 s on a tenth of a core;
  /// past this the store is slow or away, and callers had better know.
  static constexpr std::chrono::milliseconds kStartTime{ 1500 };
  /// Longest time that one is held: after which it would come back if it were
  /// refused at once.
  static constexpr std::chrono::milliseconds kHoldTime{ 1000 };
  static constexpr std::size_t kMaxHeld = 256;
  static constexpr std::size_t kMaxBytes = 1024UL * 1024;

private:
  TimePoint m_started;
  std::list<Held> m_held;
  std::size_t m_bytes{ 0 };
};

}
