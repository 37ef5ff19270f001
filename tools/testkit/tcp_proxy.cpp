#include "testkit/tcp_proxy.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <set>
#include <thread>

namespace greengagehub::testkit {

using asio::ip::tcp;

namespace {

constexpr auto kDelay = std::chrono::milliseconds{ 150 };

struct ProxiedConnection : std::enable_shared_from_this<ProxiedConnection>
{
  explicit ProxiedConnection(asio::io_context& aLoop)
    : m_client(aLoop)
    , m_server(aLoop)
  {
  }

  void Reset()
  {
    asio::error_code ignored;
    for (tcp::socket* each : { &m_client, &m_server }) {
      // A close with a linger time of zero sends a reset.
      each->set_option(asio::socket_base::linger{ true, 0 }, ignored);
      each->close(ignored);
    }
  }

  tcp::socket m_client;
  tcp::socket m_server;
  bool m_isSilent{ false };
};

}

struct TcpProxy::Impl
{
  explicit Impl(std::uint16_t aTarget)
    : m_target(aTarget)
    , m_acceptor(m_loop, { asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
    m_thread = std::thread{ [this] { m_loop.run(); } };
  }

  ~Impl()
  {
    m_loop.stop();
    m_thread.join();
  }

  void Accept()
  {
    auto connection = std::make_shared<ProxiedConnection>(m_loop);
    m_acceptor.async_accept(connection->m_client,
                            [this, connection](const asio::error_code& aError) {
                              if (!aError) {
                                Connect(connection);
                              }
                              Accept();
                            });
  }

  void Connect(const std::shared_ptr<ProxiedConnection>& aConnection)
  {
    if (m_fault == ProxyFault::Reset) {
      aConnection->Reset();
      return;
    }
    aConnection->m_server.async_connect(
      { asio::ip::address_v4::loopback(), m_target },
      [this, aConnection](const asio::error_code& aError) {
        if (aError) {
          aConnection->Reset();
          return;
        }
        m_connections.insert(aConnection);
        Forward(
          aConnection, aConnection->m_client, aConnection->m_server, false);
        Forward(
          aConnection, aConnection->m_server, aConnection->m_client, true);
      });
  }

  void Forward(const std::shared_ptr<ProxiedConnection>& aConnection,
               tcp::socket& aFrom,
               tcp::socket& aTo,
               bool aFromServer)
  {
    auto buffer = std::make_shared<std::array<char, 8192>>();
    aFrom.async_read_some(
      asio::buffer(*buffer),
      [this, aConnection, &aFrom, &aTo, aFromServer, buffer](
        const asio::error_code& aError, std::size_t aSize) {
        if (aError) {
          m_connections.erase(aConnection);
          aConnection->Reset();
          return;
        }
        const ProxyFault fault = m_fault;
        const bool isDropped =
          aConnection->m_isSilent || fault == ProxyFault::Drop ||
          (fault == ProxyFault::DropAnswers && aFromServer);
        if (isDropped) {
          Forward(aConnection, aFrom, aTo, aFromServer);
          return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_loop);
        timer->expires_after(
          fault == ProxyFault::Delay ? kDelay : std::chrono::milliseconds{ 0 });
        timer->async_wait(
          [this, aConnection, &aFrom, &aTo, aFromServer, buffer, aSize, timer](
            const asio::error_code&) {
            asio::error_code ignored;
            asio::write(aTo, asio::buffer(buffer->data(), aSize), ignored);
            Forward(aConnection, aFrom, aTo, aFromServer);
          });
      });
  }

  void SetFault(ProxyFault aFault)
  {
    m_fault = aFault;
    if (aFault == ProxyFault::Reset) {
      for (const auto& each : m_connections) {
        each->Reset();
      }
      m_connections.clear();
    }
  }

  void SilenceOpenConnections()
  {
    for (const auto& each : m_connections) {
      each->m_isSilent = true;
    }
  }

  std::uint16_t m_target;
  asio::io_context m_loop{ 1 };
  tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<ProxiedConnection>> m_connections;
  ProxyFault m_fault{ ProxyFault::None };
  std::thread m_thread;
};

TcpProxy::TcpProxy(std::uint16_t aTarget)
  : m_impl(std::make_unique<Impl>(aTarget))
{
}

TcpProxy::~TcpProxy() = default;

std::uint16_t
TcpProxy::Port() const noexcept
{
  return m_impl->m_acceptor.local_endpoint().port();
}

void
TcpProxy::SetFault(ProxyFault aFault)
{
  asio::post(m_impl->m_loop,
             [impl = m_impl.get(), aFault] { impl->SetFault(aFault); });
}

void
TcpProxy::SilenceOpenConnections()
{
  asio::post(m_impl->m_loop,
             [impl = m_impl.get()] { impl->SilenceOpenConnections(); });
}

}
