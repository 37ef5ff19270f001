#pragma once

#include "greengagehub/calls/link_booking.hpp"
#include "greengagehub/core/link_pacer.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace greengagehub::test {

/// \brief Virtual time: events in their order.
class EventQueue
{
public:
  [[nodiscard]] TimePoint Now() const { return m_now; }

  void Schedule(Duration aDelay, std::function<void()> aAction)
  {
    m_events.emplace(m_now + aDelay, std::move(aAction));
  }

  /// Runs until no event is left.
  void Run()
  {
    while (!m_events.empty()) {
      const auto next = m_events.begin();
      m_now = next->first;
      const auto action = std::move(next->second);
      m_events.erase(next);
      action();
    }
  }

private:
  TimePoint m_now{};
  std::multimap<TimePoint, std::function<void()>> m_events;
};

/// \brief The network link of an instance: a rate in each direction, with the
/// daemon's pacer and bookings.
class SimulatedLink
{
public:
  SimulatedLink(EventQueue& aEvents, std::uint32_t aMbps, bool aBooks)
    : m_pacer(aMbps)
    , m_out(aBooks ? m_pacer.Rate() : 0.0)
    , m_in(aBooks ? m_pacer.Rate() : 0.0)
    , m_events(aEvents)
    , m_wireRate(aMbps * kBytesPerMbit)
  {
  }

  /// Counts bytes of paced messages in a span of time.
  void Count(TimePoint aFrom, TimePoint aUntil)
  {
    m_countFrom = aFrom;
    m_countUntil = aUntil;
  }
  [[nodiscard]] double CountedBytes() const { return m_countedBytes; }
  /// \returns Most bytes of messages that waited or were sent at a time.
  [[nodiscard]] std::size_t PeakHeldBytes() const { return m_peakHeldBytes; }

  /// \returns How long a byte written now waits for others.
  [[nodiscard]] Duration OutDelay() const
  {
    return std::max(Duration::zero(), m_outFreeAt - m_events.Now());
  }

  /// Puts bytes on the wire behind those written before.
  /// \returns Time until they have left.
  Duration WriteOut(std::size_t aBytes)
  {
    const TimePoint now = m_events.Now();
    m_outFreeAt = std::max(m_outFreeAt, now) + WireTime(aBytes);
    return m_outFreeAt - now;
  }

  /// Sends a large message in the pacer's turn, part by part.
  /// \param aDone called when its last byte has left.
  void SendPaced(std::size_t aBytes, std::function<void()> aDone)
  {
    Hold(aBytes);
    auto turn = std::make_shared<LinkTurn>(&m_pacer, aBytes);
    const Duration delay = turn->Reserve(m_events.Now());
    m_events.Schedule(delay, [this, aBytes, turn, done = std::move(aDone)] {
      SendPart(aBytes, turn, [this, aBytes, done] {
        m_heldBytes -= aBytes;
        done();
      });
    });
  }

  /// Sends a message without a turn.
  void SendAtOnce(std::size_t aBytes, std::function<void()> aDone)
  {
    Hold(aBytes);
    m_events.Schedule(WriteOut(aBytes),
                      [this, aBytes, done = std::move(aDone)] {
                        m_heldBytes -= aBytes;
                        done();
                      });
  }

  /// Receives a message whose last byte has just left another link.
  void Receive(std::size_t aBytes,
               Duration aMinDelay,
               std::function<void()> aDone)
  {
    const TimePoint now = m_events.Now();
    // Bytes arrive while others of the message still leave the other link.
    m_inFreeAt =
      std::max(m_inFreeAt, now - WireTime(aBytes)) + WireTime(aBytes);
    m_events.Schedule(std::max(aMinDelay, m_inFreeAt - now), std::move(aDone));
  }

  LinkPacer m_pacer;
  LinkBooking m_out;
  LinkBooking m_in;

private:
  static constexpr double kBytesPerMbit = 125'000.0;

  [[nodiscard]] Duration WireTime(std::size_t aBytes) const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(aBytes) / m_wireRate));
  }

  void Hold(std::size_t aBytes)
  {
    m_heldBytes += aBytes;
    m_peakHeldBytes = std::max(m_peakHeldBytes, m_heldBytes);
  }

  void SendPart(std::size_t aLeft,
                const std::shared_ptr<LinkTurn>& aTurn,
                const std::function<void()>& aDone)
  {
    const std::size_t part = std::min(aLeft, LinkPacer::kPartBytes);
    static_cast<void>(WriteOut(part));
    aTurn->OnSent(part);
    if (m_events.Now() >= m_countFrom && m_events.Now() < m_countUntil) {
      m_countedBytes += static_cast<double>(part);
    }
    const Duration partTime = m_pacer.TransmissionTime(part);
    if (part == aLeft) {
      m_events.Schedule(partTime, aDone);
      return;
    }
    m_events.Schedule(partTime, [this, left = aLeft - part, aTurn, aDone] {
      SendPart(left, aTurn, aDone);
    });
  }

  EventQueue& m_events;
  double m_wireRate;
  /// When the wire has sent and received all that was written.
  TimePoint m_outFreeAt{};
  TimePoint m_inFreeAt{};
  TimePoint m_countFrom{ TimePoint::max() };
  TimePoint m_countUntil{};
  double m_countedBytes{ 0.0 };
  std::size_t m_heldBytes{ 0 };
  std::size_t m_peakHeldBytes{ 0 };
};

}
