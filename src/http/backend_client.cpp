#include "greengagehub/http/backend_client.hpp"

#include "backend_connection.hpp"

namespace greengagehub {

BackendClient::Impl::~Impl()
{
  for (const auto& [ticket, connection] : m_inUse) {
    connection->Detach();
  }
  for (const Pointer& each : m_idleConnections) {
    each->Detach();
  }
}

void
BackendClient::Impl::KeepIdle(const Pointer& aConnection)
{
  m_idleConnections.push_back(aConnection);
  if (m_idleConnections.size() > m_settings.m_maxIdleConnections) {
    m_idleConnections.front()->Detach();
    m_idleConnections.erase(m_idleConnections.begin());
  }
}

BackendClient::Ticket
BackendClient::Impl::Send(BackendRequest aRequest, Done aDone)
{
  const TimePoint now = Clock::now();
  while (!m_idleConnections.empty() &&
         m_idleConnections.front()->IsPastIdleLimit(now)) {
    m_idleConnections.front()->Detach();
    m_idleConnections.erase(m_idleConnections.begin());
  }
  const Ticket ticket = ++m_lastTicket;
  Pointer connection;
  const bool mayReuse = aRequest.m_isRepeatable || now >= m_newConnectionsUntil;
  if (mayReuse && !m_idleConnections.empty() &&
      m_idleConnections.back()->IdleFor(now) <= aRequest.m_maxIdleTime) {
    connection = m_idleConnections.back();
    m_idleConnections.pop_back();
  } else {
    connection = new Connection(*this);
  }
  m_inUse.emplace(ticket, connection);
  connection->Start(ticket, std::move(aRequest), std::move(aDone));
  return ticket;
}

void
BackendClient::Impl::Abandon(Ticket aTicket)
{
  const auto found = m_inUse.find(aTicket);
  if (found != m_inUse.end()) {
    found->second->Detach();
    m_inUse.erase(found);
  }
}

void
BackendClient::Impl::CloseIdle()
{
  for (const Pointer& each : m_idleConnections) {
    each->Detach();
  }
  m_idleConnections.clear();
}

void
BackendClient::Impl::ShortenDeadlines(TimePoint aOpenedBefore, TimePoint aUntil)
{
  for (const auto& [ticket, connection] : m_inUse) {
    if (connection->WasOpenedBefore(aOpenedBefore)) {
      connection->ShortenDeadline(aUntil);
    }
  }
}

BackendClient::BackendClient(asio::io_context& aLoop,
                             BackendClientSettings aSettings)
  : m_impl(std::make_unique<Impl>(aLoop, std::move(aSettings)))
{
}

BackendClient::~BackendClient() = default;

std::size_t
BackendClient::Connections() const noexcept
{
  return m_impl->m_inUse.size() + m_impl->m_idleConnections.size();
}

std::uint64_t
BackendClient::ConnectionAttempts() const noexcept
{
  return m_impl->m_connectionAttempts;
}

void
BackendClient::SetMaxAnnouncedBytes(std::size_t aBytes) noexcept
{
  m_impl->m_maxAnnounced = aBytes;
}

BackendClient::Ticket
BackendClient::Send(BackendRequest aRequest, Done aDone)
{
  return m_impl->Send(std::move(aRequest), std::move(aDone));
}

void
BackendClient::Abandon(Ticket aTicket)
{
  m_impl->Abandon(aTicket);
}

void
BackendClient::ShortenDeadlines(TimePoint aOpenedBefore, TimePoint aUntil)
{
  m_impl->ShortenDeadlines(aOpenedBefore, aUntil);
}

void
BackendClient::CloseIdle()
{
  m_impl->CloseIdle();
}

}
