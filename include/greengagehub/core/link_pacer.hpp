#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace greengagehub {

/// \brief Limits the send rate of large messages to the bandwidth of the
/// instance's network link.
///
/// Without pacing, a large answer on a slow link delays all probes, rejections
/// and small answers queued behind it. All connections of a daemon share one
/// pacer.
class LinkPacer
{
public:
  /// \param aMbps bandwidth of the link in Mbit/s; 0 if unknown, which
  /// disables pacing.
  explicit LinkPacer(std::uint32_t aMbps)
    : m_books(new Books)
  {
    m_books->m_bytesPerSecond = aMbps * kUsedShare * kBytesPerMbit;
  }
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  /// \returns Whether the bandwidth is known.
  [[nodiscard]] bool IsEnabled() const noexcept { return Rate() > 0.0; }
  /// \returns Bytes per second that the pacer lets pass; 0: unknown.
  [[nodiscard]] double Rate() const noexcept
  {
    return m_books->m_bytesPerSecond;
  }

  /// \brief Reserves link time for `aBytes`.
  /// \returns Delay until the reserved time begins. Large messages wait for it;
  /// small ones are sent at once and only counted.
  [[nodiscard]] Duration Reserve(TimePoint aNow, std::size_t aBytes) noexcept
  {
    return m_books->Reserve(aNow, aBytes);
  }

  /// \returns Transmission time of `aBytes`; zero if the bandwidth is unknown.
  [[nodiscard]] Duration TransmissionTime(std::size_t aBytes) const noexcept
  {
    return m_books->TransmissionTime(aBytes);
  }

  /// \returns Time until all reserved and all waiting bytes have been
  /// transmitted.
  [[nodiscard]] Duration Backlog(TimePoint aNow) const noexcept
  {
    return std::max(Duration::zero(), m_books->m_linkFreeAt - aNow) +
           TransmissionTime(m_books->m_waitingBytes);
  }
  /// \returns Bytes of large messages that have no reserved time yet.
  [[nodiscard]] std::size_t WaitingBytes() const noexcept
  {
    return m_books->m_waitingBytes;
  }
  /// \returns Bytes for which time was reserved since the start, without those
  /// that were not sent.
  [[nodiscard]] std::uint64_t ReservedBytes() const noexcept
  {
    return m_books->m_reservedBytes;
  }

  /// Messages with a larger body are paced and written in parts of this size.
  static constexpr std::size_t kPartBytes = 16UL * 1024;

private:
  friend class LinkTurn;

  /// Share of the bandwidth; the rest is left for unpaced traffic.
  static constexpr double kUsedShare = 0.85;
  static constexpr double kBytesPerMbit = 125'000.0;

  /// Shared with turns, which may outlive the pacer in unfinished operations.
  struct Books
    : public boost::intrusive_ref_counter<Books, boost::thread_unsafe_counter>
  {
    [[nodiscard]] Duration TransmissionTime(std::size_t aBytes) const noexcept
    {
      if (m_bytesPerSecond <= 0.0) {
        return Duration::zero();
      }
      return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{
        static_cast<double>(aBytes) / m_bytesPerSecond });
    }
    [[nodiscard]] Duration Reserve(TimePoint aNow, std::size_t aBytes) noexcept
    {
      m_reservedBytes += aBytes;
      if (m_bytesPerSecond <= 0.0) {
        return Duration::zero();
      }
      const TimePoint start = std::max(aNow, m_linkFreeAt);
      m_linkFreeAt = start + TransmissionTime(aBytes);
      return start - aNow;
    }
    void Refund(std::size_t aBytes) noexcept
    {
      m_reservedBytes -= aBytes;
      m_linkFreeAt -= TransmissionTime(aBytes);
    }

    double m_bytesPerSecond{ 0.0 };
    TimePoint m_linkFreeAt{};
    std::size_t m_waitingBytes{ 0 };
    std::uint64_t m_reservedBytes{ 0 };
  };

  boost::intrusive_ptr<Books> m_books;
};

/// \brief One large message's place in the books of a pacer: it waits, then
/// has reserved time. Its destruction returns what was not sent.
class LinkTurn
{
public:
  LinkTurn() noexcept = default;
  /// \param aPacer nullptr: nothing is counted.
  LinkTurn(const LinkPacer* aPacer, std::size_t aBytes) noexcept
    : m_books(aPacer != nullptr ? aPacer->m_books : nullptr)
    , m_bytes(aBytes)
  {
    if (m_books) {
      m_books->m_waitingBytes += m_bytes;
    }
  }
  LinkTurn(LinkTurn&& aOther) noexcept { Swap(aOther); }
  LinkTurn& operator=(LinkTurn&& aOther) noexcept
  {
    LinkTurn taken{ std::move(aOther) };
    Swap(taken);
    return *this;
  }
  ~LinkTurn()
  {
    if (!m_books) {
      return;
    }
    if (m_isReserved) {
      m_books->Refund(m_bytes);
    } else {
      m_books->m_waitingBytes -= m_bytes;
    }
  }

  /// \brief Reserves time for the message; once only.
  /// \returns Delay until that time begins.
  [[nodiscard]] Duration Reserve(TimePoint aNow) noexcept
  {
    if (!m_books) {
      return Duration::zero();
    }
    m_isReserved = true;
    m_books->m_waitingBytes -= m_bytes;
    return m_books->Reserve(aNow, m_bytes);
  }
  /// \brief Records that bytes of the message were sent.
  void OnSent(std::size_t aBytes) noexcept
  {
    m_bytes -= std::min(m_bytes, aBytes);
  }

private:
  void Swap(LinkTurn& aOther) noexcept
  {
    m_books.swap(aOther.m_books);
    std::swap(m_bytes, aOther.m_bytes);
    std::swap(m_isReserved, aOther.m_isReserved);
  }

  boost::intrusive_ptr<LinkPacer::Books> m_books;
  /// Bytes not sent yet.
  std::size_t m_bytes{ 0 };
  bool m_isReserved{ false };
};

}
