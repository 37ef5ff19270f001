#pragma once

#include "greengagehub/core/body.hpp"
#include "greengagehub/core/link_pacer.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace greengagehub {

/// \brief Writes messages to a socket, large ones in their turn on the link and
/// in parts. The owner must keep it alive until the handler is called.
class PacedWriter
{
public:
  using Handler = std::function<void(const asio::error_code&)>;

  explicit PacedWriter(asio::ip::tcp::socket& aSocket)
    : m_socket(aSocket)
    , m_timer(aSocket.get_executor())
  {
  }

  /// \param aPacer nullptr: the message does not cross the link.
  void Write(LinkPacer* aPacer, std::string aHead, Body aBody, Handler aDone);
  /// \returns Bytes of the message.
  [[nodiscard]] std::size_t Size() const noexcept
  {
    return m_head.size() + m_body.Size();
  }
  /// \returns Bytes of the message that the socket has taken.
  [[nodiscard]] std::size_t Sent() const noexcept { return m_sent; }
  /// \returns Whether the message waits for the peer, and not for its turn on
  /// the link.
  [[nodiscard]] bool IsSending() const noexcept { return m_isSending; }
  /// \brief Ends a wait, with an error, and returns its time on the link.
  void Cancel()
  {
    m_timer.cancel();
    m_turn = {};
  }

private:
  /// \returns The next bytes of head and body, `aSize` at most.
  [[nodiscard]] std::array<asio::const_buffer, 2> Next(
    std::size_t aSize) const noexcept;
  /// \brief Writes the next bytes; `aOnSent` gets an error or the number of
  /// bytes.
  template<class OnSent>
  void Send(std::size_t aSize, OnSent aOnSent);
  void WriteAll(Handler aDone);
  void WaitAndWritePart(Duration aDelay, Handler aDone);
  void WritePart(Handler aDone);
  void OnPartWritten(std::size_t aSize, Handler aDone);
  /// \brief Frees the message and calls the handler.
  void Finish(const asio::error_code& aError, const Handler& aDone);

  asio::ip::tcp::socket& m_socket;
  asio::steady_timer m_timer;
  LinkPacer* m_pacer{ nullptr };
  LinkTurn m_turn;
  std::string m_head;
  Body m_body;
  /// Sent by completed operations.
  std::size_t m_written{ 0 };
  std::size_t m_sent{ 0 };
  bool m_isSending{ false };
};

}
