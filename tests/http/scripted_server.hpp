#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief A server that answers the first bytes of each connection with a fixed
/// text and ends the connection.
class ScriptedServer
{
public:
  enum class Ending : std::uint8_t
  {
    /// Sends a FIN and reads on.
    Orderly,
    /// Sends a FIN and reads no further.
    OrderlyUnread,
    /// Sends a FIN, and a reset after it.
    OrderlyThenReset,
    Reset,
    /// The connection stays open.
    None,
  };

  ScriptedServer(asio::io_context& aLoop, std::string aAnswer, Ending aEnding)
    : m_acceptor(aLoop, { asio::ip::address_v4::loopback(), 0 })
    , m_answer(std::move(aAnswer))
    , m_ending(aEnding)
  {
    Accept();
  }

  [[nodiscard]] asio::ip::tcp::endpoint Address() const
  {
    return m_acceptor.local_endpoint();
  }
  [[nodiscard]] int Requests() const noexcept { return m_requests; }

private:
  struct Connection
  {
    explicit Connection(asio::ip::tcp::socket aSocket)
      : m_socket(std::move(aSocket))
    {
    }
    asio::ip::tcp::socket m_socket;
    std::array<char, 64UL * 1024> m_buffer{};
  };
  using Pointer = std::shared_ptr<Connection>;

  void Accept()
  {
    m_acceptor.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (!aError) {
          Read(std::make_shared<Connection>(std::move(aSocket)));
          Accept();
        }
      });
  }

  void Read(const Pointer& aConnection)
  {
    aConnection->m_socket.async_read_some(
      asio::buffer(aConnection->m_buffer),
      [this, aConnection](const asio::error_code& aError, std::size_t) {
        if (!aError) {
          ++m_requests;
          Answer(aConnection);
        }
      });
  }

  void Discard(const Pointer& aConnection)
  {
    aConnection->m_socket.async_read_some(
      asio::buffer(aConnection->m_buffer),
      [this, aConnection](const asio::error_code& aError, std::size_t) {
        if (!aError) {
          Discard(aConnection);
        }
      });
  }

  void Answer(const Pointer& aConnection)
  {
    asio::ip::tcp::socket& socket = aConnection->m_socket;
    asio::write(socket, asio::buffer(m_answer));
    const bool isReset =
      m_ending == Ending::Reset || m_ending == Ending::OrderlyThenReset;
    if (m_ending != Ending::None && m_ending != Ending::Reset) {
      socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    if (isReset) {
      socket.set_option(asio::socket_base::linger{ true, 0 });
      socket.close();
    } else if (m_ending == Ending::Orderly) {
      Discard(aConnection);
    } else {
      m_open.push_back(aConnection);
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::string m_answer;
  Ending m_ending;
  std::vector<Pointer> m_open;
  int m_requests{ 0 };
};

}
