#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace greengagehub::testkit {

/// \brief What a proxy does to the bytes between a process and its peer.
enum class ProxyFault : std::uint8_t
{
  None,
  /// Each piece is held up.
  Delay,
  /// Nothing passes, and nothing tells.
  Silent,
  /// Requests pass, answers do not.
  OneWay,
  /// Open connections are reset, and new ones too.
  Reset,
};

/// \brief A loopback proxy on a thread of its own, in front of one port.
class TcpProxy
{
public:
  explicit TcpProxy(std::uint16_t aTarget);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  [[nodiscard]] std::uint16_t Port() const noexcept;
  /// \brief From any thread; holds for open connections too.
  void SetFault(ProxyFault aFault);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
