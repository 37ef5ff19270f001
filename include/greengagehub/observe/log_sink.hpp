#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief Lines on their way to a descriptor, without ever waiting for it.
///
/// A reader of standard output that stalls must not stall calls, nor fill
/// memory: the buffer is bounded, and once it is full lines are left out and
/// counted. A line that tells how many follows as soon as there is room.
class LogSink
{
public:
  /// A minute of a quiet daemon's lines, or some seconds of a busy one's.
  static constexpr std::size_t kMaxBytes = 256UL * 1024;

  explicit LogSink(int aDescriptor, std::size_t aMaxBytes = kMaxBytes) noexcept
    : m_descriptor(aDescriptor)
    , m_maxBytes(aMaxBytes)
  {
  }

  /// \returns Lines left out so far.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return m_dropped; }
  [[nodiscard]] std::size_t Waiting() const noexcept { return m_buffer.size(); }

  /// \param aLine without its end.
  void Append(const std::string& aLine);
  /// \brief Writes what the reader takes now.
  void Flush();

private:
  int m_descriptor;
  std::size_t m_maxBytes;
  std::string m_buffer;
  std::uint64_t m_dropped{ 0 };
  std::uint64_t m_untold{ 0 };
};

}
