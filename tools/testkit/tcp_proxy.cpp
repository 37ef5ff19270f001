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

/// One connection through the proxy.
struct Pair : std::enable_shared_from_this<Pair>
{
  explicit Pair(asio::io_context& aLoop)
    : m_near(aLoop)
    , m_far(aLoop)
  {
  }

  void Reset()
  {
    asio::error_code ignored;
    for (tcp::socket* each : { &m_near, &m_far }) {
      // With zero linger a close is a reset.
      each->set_option(asio::socket_base::linger{ true, 0 }, ignored);
      each->close(ignored);
    }
  }

  tcp::socket m_near;
  tcp::socket m_far;
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
    auto pair = std::make_shared<Pair>(m_loop);
    m_acceptor.async_accept(pair->m_near,
                            [this, pair](const asio::error_code& aError) {
                              if (!aError) {
                                Connect(pair);
                              }
                              Accept();
                            });
  }

  void Connect(const std::shared_ptr<Pair>& aPair)
  {
    if (m_fault == ProxyFault::Reset) {
      aPair->Reset();
      return;
    }
    aPair->m_far.async_connect({ asio::ip::address_v4::loopback(), m_target },
                               [this, aPair](const asio::error_code& aError) {
                                 if (aError) {
                                   aPair->Reset();
                                   return;
                                 }
                                 m_pairs.insert(aPair);
                                 Pump(
                                   aPair, aPair->m_near, aPair->m_far, false);
                                 Pump(aPair, aPair->m_far, aPair->m_near, true);
                               });
  }

  void Pump(const std::shared_ptr<Pair>& aPair,
            tcp::socket& aFrom,
            tcp::socket& aTo,
            bool aAnswers)
  {
    auto buffer = std::make_shared<std::array<char, 8192>>();
    aFrom.async_read_some(
      asio::buffer(*buffer),
      [this, aPair, &aFrom, &aTo, aAnswers, buffer](
        const asio::error_code& aError, std::size_t aSize) {
        if (aError) {
          m_pairs.erase(aPair);
          aPair->Reset();
          return;
        }
        const ProxyFault fault = m_fault;
        const bool lost = fault == ProxyFault::Silent ||
                          (fault == ProxyFault::OneWay && aAnswers);
        if (lost) {
          Pump(aPair, aFrom, aTo, aAnswers);
          return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_loop);
        timer->expires_after(
          fault == ProxyFault::Delay ? kDelay : std::chrono::milliseconds{ 0 });
        timer->async_wait(
          [this, aPair, &aFrom, &aTo, aAnswers, buffer, aSize, timer](
            const asio::error_code&) {
            asio::error_code ignored;
            asio::write(aTo, asio::buffer(buffer->data(), aSize), ignored);
            Pump(aPair, aFrom, aTo, aAnswers);
          });
      });
  }

  void SetFault(ProxyFault aFault)
  {
    m_fault = aFault;
    if (aFault == ProxyFault::Reset) {
      for (const auto& each : m_pairs) {
        each->Reset();
      }
      m_pairs.clear();
    }
  }

  std::uint16_t m_target;
  asio::io_context m_loop{ 1 };
  tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<Pair>> m_pairs;
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

}
