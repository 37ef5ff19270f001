#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/workspaces/workspace_id.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace greengagehub {

/// \brief Requests that wait until their workspace has a token, in the order in
/// which they came; bounded in number and time.
class TokenQueue
{
public:
  struct Waiting
  {
    HttpRequest m_request;
    HttpResponder m_responder;
    TimePoint m_came;
    WorkspaceId m_workspace{ 0 };
  };

  /// Longest time that a request waits for a token.
  static constexpr std::chrono::milliseconds kMaxWait{ 400 };
  static constexpr std::size_t kMaxWaiting = 256;

  [[nodiscard]] bool IsFull() const noexcept
  {
    return m_waiting.size() >= kMaxWaiting;
  }
  void Add(Waiting aWaiting) { m_waiting.push_back(std::move(aWaiting)); }
  /// \brief The caller hung up.
  /// \returns The workspaces of its requests.
  [[nodiscard]] std::vector<WorkspaceId> Drop(std::uint64_t aConnection)
  {
    std::vector<WorkspaceId> dropped;
    std::erase_if(m_waiting, [&](const Waiting& aEach) {
      const bool isTheirs = aEach.m_request.m_connection == aConnection;
      if (isTheirs) {
        dropped.push_back(aEach.m_workspace);
      }
      return isTheirs;
    });
    return dropped;
  }
  [[nodiscard]] std::vector<Waiting> TakeAll()
  {
    return std::exchange(m_waiting, {});
  }

private:
  std::vector<Waiting> m_waiting;
};

}
