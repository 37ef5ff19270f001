#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"

#include <list>
#include <vector>

namespace greengagehub {

/// \brief Buffers requests that arrive before the daemon is ready.
///
/// A restart normally takes less than a second, so serving a buffered request
/// is faster than refusing it and waiting for the retry. The buffer is bounded
/// in number, bytes and time, and closed once the start takes too long.
class StartBuffer
{
public:
  struct Entry
  {
    HttpRequest m_request;
    HttpResponder m_responder;
    TimePoint m_receivedAt;
  };

  explicit StartBuffer(TimePoint aStartedAt) noexcept
    : m_startedAt(aStartedAt)
  {
  }

  [[nodiscard]] std::size_t Count() const noexcept { return m_entries.size(); }

  /// \returns Whether the request was buffered; if so, it is moved from.
  [[nodiscard]] bool Add(TimePoint aNow,
                         TimePoint aReceivedAt,
                         HttpRequest& aRequest,
                         HttpResponder& aResponder);
  /// \returns Whether a request was removed.
  bool DropConnection(std::uint64_t aConnection);
  /// \brief Removes and returns all requests, in the order of Add().
  [[nodiscard]] std::vector<Entry> TakeAll();
  /// \brief Removes and returns the requests that are kMaxBufferTime old.
  [[nodiscard]] std::vector<Entry> TakeExpired(TimePoint aNow);

  /// Requests are refused from this time after the start on, because the store
  /// is slow or unavailable: a start from the copy takes 0.2 to 0.4 s on a
  /// tenth of a core.
  static constexpr std::chrono::milliseconds kMaxStartTime{ 1500 };
  /// Longest time that a request is buffered; equal to the time after which a
  /// refused caller retries.
  static constexpr std::chrono::milliseconds kMaxBufferTime{ 1000 };
  static constexpr std::size_t kMaxRequests = 256;
  static constexpr std::size_t kMaxBytes = 1024UL * 1024;

private:
  TimePoint m_startedAt;
  std::list<Entry> m_entries;
  std::size_t m_bytes{ 0 };
};

}
