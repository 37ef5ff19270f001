#include "greengagehub/observe/log_sink.hpp"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace greengagehub {

namespace {

/// Written without a tick's delay once this much waits.
constexpr std::size_t kFlushAt = 8UL * 1024;

/// A pipe that polls as writable takes this much without blocking (pipe(7)).
bool
TakesMore(int aDescriptor)
{
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}

void
LogSink::Append(const std::string& aLine)
{
  if (m_buffer.size() + aLine.size() + 1 > m_maxBytes) {
    ++m_dropped;
    ++m_untold;
    return;
  }
  if (m_untold > 0) {
    m_buffer += fmt::format(
      "{{\"component\":\"log\",\"event\":\"lines_dropped\",\"count\":{}}}\n",
      m_untold);
    m_untold = 0;
  }
  m_buffer += aLine;
  m_buffer += '\n';
  if (m_buffer.size() >= kFlushAt) {
    Flush();
  }
}

void
LogSink::Flush()
{
  std::size_t written = 0;
  while (written < m_buffer.size() && TakesMore(m_descriptor)) {
    const std::size_t size =
      std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
    const ssize_t taken = write(m_descriptor, m_buffer.data() + written, size);
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  m_buffer.erase(0, written);
}

}
