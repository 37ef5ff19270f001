#pragma once

#include "greengagehub/transport/codec.hpp"
#include "greengagehub/transport/traffic_meter.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>

namespace greengagehub {

/// \brief Bytes and messages of one kind of traffic, in both directions.
struct TrafficCounts
{
  std::uint64_t m_sent{ 0 };
  std::uint64_t m_received{ 0 };
  std::uint64_t m_bytesSent{ 0 };
  std::uint64_t m_bytesReceived{ 0 };
  /// Received and dropped: garbage, or another protocol.
  std::uint64_t m_malformed{ 0 };
};

/// \brief Datagrams between daemons over UDP.
///
/// UDP, because each daemon probes each other one now and then: connections
/// to 38,000 peers cannot be kept, and one opened afresh for each probe would
/// cost more than the probe.
class GossipSocket
{
public:
  using Handler =
    std::function<void(const MemberAddress& aFrom, const GossipMessage&)>;

  /// \param aPort 0 lets the system choose.
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

  void Send(const GossipSend& aSend);

private:
  /// Largest UDP payload that is taken.
  static constexpr std::size_t kBufferBytes = 65536;
  /// Sent at most: one packet on any usual network.
  static constexpr std::size_t kMaxDatagram = 1400;

  void Receive();

  TrafficMeter& m_meter;
  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_from;
  std::array<char, kBufferBytes> m_buffer{};
  Handler m_handler;
  TrafficCounts m_counts;
};

}
