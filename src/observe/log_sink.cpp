#include "greengagehub/observe/log_sink.hpp"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace greengagehub {

namespace {

/// Append() flushes once this much is buffered.
constexpr std::size_t kFlushBytes = 8UL * 1024;

/// A pipe that polls as writable accepts PIPE_BUF bytes without blocking, see
/// pipe(7).
bool
IsWritable(int aDescriptor)
{
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}

void
LogSink::Append(const std::string& aLine)
{
  if (m_buffer.size() + aLine.size() + 1 > m_maxBytes) {
    ++m_droppedLines;
    ++m_unreportedDrops;
    return;
  }
  if (m_unreportedDrops > 0) {
    m_buffer += fmt::format(
      "{{\"component\":\"log\",\"event\":\"lines_dropped\",\"count\":{}}}\n",
      m_unreportedDrops);
    m_unreportedDrops = 0;
  }
  m_buffer += aLine;
  m_buffer += '\n';
  if (m_buffer.size() >= kFlushBytes) {
    Flush();
  }
}

void
LogSink::Flush()
{
  std::size_t written = 0;
  while (written < m_buffer.size() && IsWritable(m_descriptor)) {
    const std::size_t size =
      std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
    const ssize_t count = write(m_descriptor, m_buffer.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  m_buffer.erase(0, written);
}

}
