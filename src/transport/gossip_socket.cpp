#include "greengagehub/transport/gossip_socket.hpp"

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>

namespace greengagehub {

using asio::ip::udp;

namespace {

TrafficPurpose
PurposeOf(const GossipMessage& aMessage)
{
  if (aMessage.m_kind != GossipMessage::Kind::Push) {
    return TrafficPurpose::Probe;
  }
  const bool isVersion = !aMessage.m_entries.empty() ||
                         aMessage.m_requestsHead || aMessage.m_reportsHead;
  return isVersion ? TrafficPurpose::Versions : TrafficPurpose::MemberUpdates;
}

}

GossipSocket::GossipSocket(asio::io_context& aLoop,
                           const std::string& aHost,
                           std::uint16_t aPort,
                           TrafficMeter& aMeter,
                           Handler aHandler)
  : m_meter(aMeter)
  , m_socket(aLoop, udp::endpoint{ asio::ip::make_address(aHost), aPort })
  , m_handler(std::move(aHandler))
{
  m_socket.non_blocking(true);
  Receive();
}

std::uint16_t
GossipSocket::Port() const
{
  return m_socket.local_endpoint().port();
}

void
GossipSocket::Send(const GossipSend& aSend)
{
  asio::error_code error;
  const auto address =
    asio::ip::make_address(aSend.m_to.m_address.m_host, error);
  if (error || aSend.m_to.m_address.m_gossipPort == 0) {
    return;
  }
  const std::string bytes = EncodeGossip(aSend.m_message, kMaxSentBytes);
  m_socket.send_to(asio::buffer(bytes),
                   udp::endpoint{ address, aSend.m_to.m_address.m_gossipPort },
                   0,
                   error);
  m_meter.Add(
    PurposeOf(aSend.m_message), aSend.m_to.m_crossesDomains, bytes.size());
  ++m_counts.m_sent;
  m_counts.m_bytesSent += bytes.size();
}

void
GossipSocket::Receive()
{
  m_socket.async_receive_from(
    asio::buffer(m_buffer),
    m_from,
    [this](const asio::error_code& aError, std::size_t aSize) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        ++m_counts.m_received;
        m_counts.m_bytesReceived += aSize;
        const auto message =
          DecodeGossip(std::string_view{ m_buffer.data(), aSize });
        if (message) {
          m_handler(
            MemberAddress{ m_from.address().to_string(), m_from.port(), 0, 0 },
            message.value());
        } else {
          ++m_counts.m_malformed;
        }
      }
      Receive();
    });
}

}
