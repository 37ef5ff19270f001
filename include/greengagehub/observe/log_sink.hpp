#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief Writes lines to a file descriptor without blocking.
///
/// The buffer is bounded. While it is full, lines are dropped; their number is
/// logged as soon as there is room again.
class LogSink
{
public:
  static constexpr std::size_t kMaxBufferBytes = 256UL * 1024;

  explicit LogSink(int aDescriptor,
                   std::size_t aMaxBytes = kMaxBufferBytes) noexcept
    : m_descriptor(aDescriptor)
    , m_maxBytes(aMaxBytes)
  {
  }

  [[nodiscard]] std::uint64_t DroppedLines() const noexcept
  {
    return m_droppedLines;
  }
  [[nodiscard]] std::size_t BufferedBytes() const noexcept
  {
    return m_buffer.size();
  }

  /// \param aLine without the line feed.
  void Append(const std::string& aLine);
  /// \brief Writes as much as the descriptor accepts without blocking.
  void Flush();

private:
  int m_descriptor;
  std::size_t m_maxBytes;
  std::string m_buffer;
  std::uint64_t m_droppedLines{ 0 };
  /// Dropped lines whose number has not been logged yet.
  std::uint64_t m_unreportedDrops{ 0 };
};

}
