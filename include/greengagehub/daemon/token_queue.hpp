#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/workspaces/workspace_id.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace greengagehub {

/// \brief Requests that wait for a token of their workspace, in order of
/// arrival. The caller enforces the bounds kMaxEntries and kMaxWait.
class TokenQueue
{
public:
  struct Entry
  {
    HttpRequest m_request;
    HttpResponder m_responder;
    TimePoint m_receivedAt;
    WorkspaceId m_workspace{ 0 };
  };

  static constexpr std::chrono::milliseconds kMaxWait{ 400 };
  static constexpr std::size_t kMaxEntries = 256;

  [[nodiscard]] bool IsFull() const noexcept
  {
    return m_entries.size() >= kMaxEntries;
  }
  void Add(Entry aEntry) { m_entries.push_back(std::move(aEntry)); }
  /// \returns The workspace of each removed request.
  [[nodiscard]] std::vector<WorkspaceId> DropConnection(
    std::uint64_t aConnection)
  {
    std::vector<WorkspaceId> dropped;
    std::erase_if(m_entries, [&](const Entry& aEach) {
      const bool isDropped = aEach.m_request.m_connection == aConnection;
      if (isDropped) {
        dropped.push_back(aEach.m_workspace);
      }
      return isDropped;
    });
    return dropped;
  }
  [[nodiscard]] std::vector<Entry> TakeAll()
  {
    return std::exchange(m_entries, {});
  }

private:
  std::vector<Entry> m_entries;
};

}
