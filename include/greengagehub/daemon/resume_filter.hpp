#pragma once

#include "greengagehub/daemon/run_service.hpp"
#include "greengagehub/http/http_server.hpp"

#include <chrono>
#include <vector>

namespace greengagehub {

/// \brief Holds what is read just after this process stood still, until what
/// came behind it has been read as well.
///
/// Answers the load pattern of a process that is paused, suspended or out of
/// processor time while its callers leave: in its sockets the request stands
/// before the close or the cancellation and looks fresh. Handed on at once, it
/// runs for a caller who left seconds ago.
class ResumeFilter
{
public:
  /// A request from another daemon.
  struct FromLink
  {
    TimePoint m_read;
    CallKey m_key;
    std::uint64_t m_epoch{ 0 };
    CallRequest m_request;
  };
  /// A request from a caller.
  struct FromCaller
  {
    TimePoint m_came;
    HttpRequest m_request;
    HttpResponder m_responder;
  };
  struct Held
  {
    std::vector<FromLink> m_links{};
    std::vector<FromCaller> m_callers{};
  };

  /// A process of which nothing ran for so long stood still. Three of the
  /// ticks that show it is alive; one that is out of its share of processor
  /// time stands for up to a tenth of a second.
  static constexpr std::chrono::milliseconds kSuspendedAfter{ 300 };
  /// How long what is read after that is held: some passes over all sockets.
  static constexpr std::chrono::milliseconds kHoldFor{ 20 };

  /// \param aBootTime time since the machine started, its suspensions too.
  void OnTick(TimePoint aNow, std::chrono::nanoseconds aBootTime) noexcept
  {
    Look(aNow, aBootTime);
    m_lastTick = aBootTime;
  }
  /// \returns Whether what is read now is to be held.
  [[nodiscard]] bool Holds(TimePoint aNow,
                           std::chrono::nanoseconds aBootTime) noexcept
  {
    Look(aNow, aBootTime);
    return aNow < m_until;
  }
  /// \returns When to let go of what is held.
  [[nodiscard]] TimePoint Until() const noexcept { return m_until; }

  /// \returns Whether it is the first one that is held.
  bool Add(FromLink aRequest);
  bool Add(FromCaller aRequest);
  void Cancel(CallKey aKey);
  void HungUp(std::uint64_t aConnection);
  /// \brief A process opened a newer connection: what was read from older ones
  /// never starts.
  void CloseEpochs(std::uint64_t aProcess, std::uint64_t aBelowEpoch);
  /// \brief Links were closed with what is unread on them: what had been read
  /// is as old.
  void DropLinks() { m_held.m_links.clear(); }
  [[nodiscard]] Held TakeAll() { return std::exchange(m_held, {}); }

private:
  void Look(TimePoint aNow, std::chrono::nanoseconds aBootTime) noexcept
  {
    if (m_lastTick != std::chrono::nanoseconds{} &&
        aBootTime - m_lastTick > kSuspendedAfter) {
      m_until = aNow + kHoldFor;
      // Looked at many times before the next tick: still only once.
      m_lastTick = aBootTime;
    }
  }

  std::chrono::nanoseconds m_lastTick{};
  TimePoint m_until{};
  Held m_held;
};

}
