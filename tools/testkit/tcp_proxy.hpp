#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace greengagehub::testkit {

enum class ProxyFault : std::uint8_t
{
  None,
  Delay,
  /// Data is dropped in both directions; connections stay open.
  Drop,
  /// Data from the server is dropped.
  DropAnswers,
  /// Open and new connections are reset.
  Reset,
};

/// \brief A proxy on a loopback port and a thread of its own, in front of
/// another loopback port.
class TcpProxy
{
public:
  explicit TcpProxy(std::uint16_t aTarget);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  [[nodiscard]] std::uint16_t Port() const noexcept;
  /// \brief Sets the fault of open and new connections, from any thread.
  void SetFault(ProxyFault aFault);
  /// \brief Drops all further data of the connections that are open now, which
  /// stay open. New connections work.
  void SilenceOpenConnections();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
