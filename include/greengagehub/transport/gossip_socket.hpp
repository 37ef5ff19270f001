#pragma once

#include "greengagehub/transport/codec.hpp"
#include "greengagehub/transport/traffic_meter.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>

namespace greengagehub {

struct TrafficCounts
{
  std::uint64_t m_sent{ 0 };
  std::uint64_t m_received{ 0 };
  std::uint64_t m_bytesSent{ 0 };
  std::uint64_t m_bytesReceived{ 0 };
  /// Messages dropped because they could not be decoded or answered.
  std::uint64_t m_malformed{ 0 };
  /// Messages that could not be sent for lack of a descriptor.
  std::uint64_t m_failed{ 0 };
};

/// \brief Exchanges datagrams between daemons over UDP.
///
/// Datagrams avoid a connection per pair of daemons, as each daemon probes all
/// others.
class GossipSocket
{
public:
  using Handler =
    std::function<void(const MemberAddress& aFrom, const GossipMessage&)>;

  /// \param aPort UDP port to bind; 0 picks a free port.
  GossipSocket(asio::io_context& aLoop,
               const std::string& aHost,
               std::uint16_t aPort,
               TrafficMeter& aMeter,
               Handler aHandler);

  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] const TrafficCounts& Counts() const noexcept
  {
    return m_counts;
  }

  /// \brief Sends one datagram. Errors are ignored, as lost datagrams are.
  void Send(const GossipSend& aSend);

private:
  /// Maximum UDP payload.
  static constexpr std::size_t kMaxReceivedBytes = 65536;
  /// Fits one unfragmented packet at the usual MTU of 1500 bytes.
  static constexpr std::size_t kMaxSentBytes = 1400;

  void Receive();

  TrafficMeter& m_meter;
  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_from;
  std::array<char, kMaxReceivedBytes> m_buffer{};
  Handler m_handler;
  TrafficCounts m_counts;
};

}
