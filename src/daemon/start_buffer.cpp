#include "greengagehub/daemon/start_buffer.hpp"

#include <iterator>

namespace greengagehub {

bool
StartBuffer::Add(TimePoint aNow,
                 TimePoint aCame,
                 HttpRequest& aRequest,
                 HttpResponder& aResponder)
{
  const std::size_t bytes = m_bytes + aRequest.m_body.size();
  const bool holds = aNow - m_started < kStartTime &&
                     aNow - aCame < kHoldTime && m_held.size() < kMaxHeld &&
                     bytes <= kMaxBytes;
  if (!holds) {
    return false;
  }
  m_bytes = bytes;
  m_held.push_back({ std::move(aRequest), std::move(aResponder), aCame });
  return true;
}

void
StartBuffer::Drop(std::uint64_t aConnection)
{
  m_held.remove_if([&](const Held& aHeld) {
    const bool gone = aHeld.m_request.m_connection == aConnection;
    m_bytes -= gone ? aHeld.m_request.m_body.size() : 0;
    return gone;
  });
}

std::vector<StartBuffer::Held>
StartBuffer::TakeAll()
{
  std::vector<Held> taken{ std::make_move_iterator(m_held.begin()),
                           std::make_move_iterator(m_held.end()) };
  m_held.clear();
  m_bytes = 0;
  return taken;
}

std::vector<StartBuffer::Held>
StartBuffer::TakeExpired(TimePoint aNow)
{
  std::vector<Held> expired;
  while (!m_held.empty() && aNow - m_held.front().m_came >= kHoldTime) {
    m_bytes -= m_held.front().m_request.m_body.size();
    expired.push_back(std::move(m_held.front()));
    m_held.pop_front();
  }
  return expired;
}

}
