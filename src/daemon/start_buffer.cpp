#include "greengagehub/daemon/start_buffer.hpp"

#include <iterator>

namespace greengagehub {

bool
StartBuffer::Add(TimePoint aNow,
                 TimePoint aReceivedAt,
                 HttpRequest& aRequest,
                 HttpResponder& aResponder)
{
  const std::size_t bytes = m_bytes + aRequest.m_body.Size();
  const bool isAccepted = aNow - m_startedAt < kMaxStartTime &&
                          aNow - aReceivedAt < kMaxBufferTime &&
                          m_entries.size() < kMaxRequests && bytes <= kMaxBytes;
  if (!isAccepted) {
    return false;
  }
  m_bytes = bytes;
  m_entries.push_back(
    { std::move(aRequest), std::move(aResponder), aReceivedAt });
  return true;
}

bool
StartBuffer::DropConnection(std::uint64_t aConnection)
{
  const std::size_t before = m_entries.size();
  m_entries.remove_if([&](const Entry& aEntry) {
    const bool isDropped = aEntry.m_request.m_connection == aConnection;
    m_bytes -= isDropped ? aEntry.m_request.m_body.Size() : 0;
    return isDropped;
  });
  return m_entries.size() < before;
}

std::vector<StartBuffer::Entry>
StartBuffer::TakeAll()
{
  std::vector<Entry> taken{ std::make_move_iterator(m_entries.begin()),
                            std::make_move_iterator(m_entries.end()) };
  m_entries.clear();
  m_bytes = 0;
  return taken;
}

std::vector<StartBuffer::Entry>
StartBuffer::TakeExpired(TimePoint aNow)
{
  std::vector<Entry> expired;
  while (!m_entries.empty() &&
         aNow - m_entries.front().m_receivedAt >= kMaxBufferTime) {
    m_bytes -= m_entries.front().m_request.m_body.Size();
    expired.push_back(std::move(m_entries.front()));
    m_entries.pop_front();
  }
  return expired;
}

}
