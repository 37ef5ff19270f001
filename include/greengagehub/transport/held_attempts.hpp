#pragma once

#include "greengagehub/calls/call.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace greengagehub {

/// \brief Attempts read from a link that are held until the rest of what the
/// link has received is read.
///
/// A daemon that reads late finds an attempt and its cancellation together. The
/// cancellation then takes the attempt back before it starts.
class HeldAttempts
{
public:
  /// Bytes read behind the first held attempt after which all start, so that
  /// they do not wait behind the body of another one.
  static constexpr std::size_t kMaxReadAhead = 256UL * 1024;

  [[nodiscard]] bool IsEmpty() const noexcept { return m_attempts.empty(); }
  [[nodiscard]] bool IsFull() const noexcept
  {
    return m_readAhead >= kMaxReadAhead;
  }
  void Add(CallRequest aAttempt) { m_attempts.push_back(std::move(aAttempt)); }
  void Remove(std::uint64_t aCall)
  {
    std::erase_if(m_attempts, [aCall](const CallRequest& aEach) {
      return aEach.m_call == aCall;
    });
  }
  void RecordRead(std::size_t aBytes) noexcept
  {
    m_readAhead = m_attempts.empty() ? 0 : m_readAhead + aBytes;
  }
  /// \returns The attempts in the order of Add(); none is held then.
  [[nodiscard]] std::vector<CallRequest> TakeAll() noexcept
  {
    m_readAhead = 0;
    return std::exchange(m_attempts, {});
  }

private:
  std::vector<CallRequest> m_attempts;
  std::size_t m_readAhead{ 0 };
};

}
