#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace greengagehub {

class ByteBudget;

/// \brief What bytes are reserved for. Each use may fill a larger share of the
/// budget than the one before it, so that small bodies have room beside large
/// ones and the answers of requests that have run find room.
enum class ByteUse : std::uint8_t
{
  LargeRequest,
  LargeAnswer,
  SmallRequest,
  SmallAnswer,
};

/// \returns Whether bodies of this use wait in their order for room.
[[nodiscard]] constexpr bool
IsLarge(ByteUse aUse) noexcept
{
  return aUse == ByteUse::LargeRequest || aUse == ByteUse::LargeAnswer;
}

/// \brief Reserved bytes of a budget, returned at destruction.
class ByteReservation
{
public:
  ByteReservation() noexcept = default;
  ByteReservation(ByteReservation&& aOther) noexcept { Swap(aOther); }
  ByteReservation& operator=(ByteReservation&& aOther) noexcept
  {
    ByteReservation taken{ std::move(aOther) };
    Swap(taken);
    return *this;
  }
  ~ByteReservation();

  [[nodiscard]] std::size_t Bytes() const noexcept { return m_bytes; }
  /// \brief Adds the bytes of another reservation of the same budget.
  void Add(ByteReservation aOther) noexcept;

private:
  friend class ByteBudget;

  ByteReservation(ByteBudget& aBudget, std::size_t aBytes) noexcept;
  void Swap(ByteReservation& aOther) noexcept
  {
    m_budget.swap(aOther.m_budget);
    std::swap(m_bytes, aOther.m_bytes);
  }

  boost::intrusive_ptr<ByteBudget> m_budget;
  std::size_t m_bytes{ 0 };
};

/// \brief Waits for bytes of a budget; its destruction ends the wait.
class ByteWaiter
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  /// Called while another reservation is returned, so it must only post.
  using Granted = std::function<void(ByteReservation)>;

  [[nodiscard]] bool IsWaiting() const noexcept { return is_linked(); }
  /// \brief Ends the wait and releases its handler.
  void Cancel()
  {
    unlink();
    const Granted released = std::exchange(m_onGranted, nullptr);
  }

private:
  friend class ByteBudget;

  std::size_t m_bytes{ 0 };
  ByteUse m_use{ ByteUse::LargeRequest };
  Granted m_onGranted;
};

/// \brief Bounds the bytes that a process holds for the bodies of all its
/// requests and answers together. For use on one thread.
class ByteBudget
  : public boost::intrusive_ref_counter<ByteBudget,
                                        boost::thread_unsafe_counter>
{
public:
  using Pointer = boost::intrusive_ptr<ByteBudget>;

  /// Bodies up to this size are small.
  static constexpr std::size_t kMaxSmallBytes = 64UL * 1024;
  /// Retry time of a request whose body found no room.
  static constexpr std::chrono::milliseconds kRetryAfter{ 500 };

  /// \returns The use of a request with a body of this size.
  [[nodiscard]] static constexpr ByteUse UseOfRequest(
    std::size_t aBytes) noexcept
  {
    return aBytes <= kMaxSmallBytes ? ByteUse::SmallRequest
                                    : ByteUse::LargeRequest;
  }
  /// \returns The use of an answer with a body of this size.
  [[nodiscard]] static constexpr ByteUse UseOfAnswer(
    std::size_t aBytes) noexcept
  {
    return aBytes <= kMaxSmallBytes ? ByteUse::SmallAnswer
                                    : ByteUse::LargeAnswer;
  }

  explicit ByteBudget(std::size_t aLimit) noexcept
    : m_limit(aLimit)
  {
  }

  [[nodiscard]] std::size_t Limit() const noexcept { return m_limit; }
  /// \returns Bytes that may be in use once bytes for `aUse` are reserved.
  [[nodiscard]] std::size_t LimitFor(ByteUse aUse) const noexcept;
  [[nodiscard]] std::size_t Used() const noexcept { return m_used; }
  /// \returns The most bytes ever in use.
  [[nodiscard]] std::size_t Peak() const noexcept { return m_peak; }
  [[nodiscard]] bool HasWaiters() const noexcept { return !m_waiters.empty(); }
  /// \returns Bytes that reservations are waiting for.
  [[nodiscard]] std::size_t WaitingBytes() const noexcept;
  /// \returns Number of reservations that were not possible at once.
  [[nodiscard]] std::uint64_t Failures() const noexcept { return m_failures; }

  /// \returns An empty reservation if the bytes do not fit now. Large bodies do
  /// not pass others of their use, or of a later one, that wait.
  [[nodiscard]] ByteReservation Reserve(std::size_t aBytes, ByteUse aUse);
  /// \brief Counts bytes that are held already, whether they fit or not.
  [[nodiscard]] ByteReservation Charge(std::size_t aBytes) noexcept;
  /// \brief Reserves the bytes as soon as they fit; large bodies of a use in
  /// the order of the calls.
  void Wait(ByteWaiter& aWaiter,
            std::size_t aBytes,
            ByteUse aUse,
            ByteWaiter::Granted aOnGranted);

private:
  friend class ByteReservation;
  using Waiters =
    boost::intrusive::list<ByteWaiter,
                           boost::intrusive::constant_time_size<false>>;

  [[nodiscard]] bool Fits(std::size_t aBytes, ByteUse aUse) const noexcept;
  /// \returns Whether bytes for `aUse` would pass others that wait.
  [[nodiscard]] bool MustWait(ByteUse aUse) const noexcept;
  void Release(std::size_t aBytes);
  void GrantWaiters();

  std::size_t m_limit;
  std::size_t m_used{ 0 };
  std::size_t m_peak{ 0 };
  std::uint64_t m_failures{ 0 };
  Waiters m_waiters;
};

}
