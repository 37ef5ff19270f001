#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/http/http_message.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace greengagehub {

/// \brief Sends the one answer to one request; may be kept and used later, on
/// the loop's thread. Dropped without an answer, the connection stays silent
/// until the server's time limit closes it.
class HttpResponder
{
public:
  using Send = std::function<void(HttpResponse, bool aClose)>;

  explicit HttpResponder(Send aSend)
    : m_send(std::move(aSend))
  {
  }
  void Answer(HttpResponse aResponse, bool aClose = false)
  {
    m_send(std::move(aResponse), aClose);
  }

private:
  Send m_send;
};

struct HttpServerSettings
{
  std::string m_address{ "127.0.0.1" };
  /// 0 lets the system choose.
  std::uint16_t m_port{ 0 };
  std::size_t m_maxBodyBytes{ 1024UL * 1024 };
  std::chrono::milliseconds m_idleTimeout{ std::chrono::seconds{ 60 } };
  /// Connections of requests left without an answer are closed after this;
  /// daemons have time limits of their own, which must come first.
  std::chrono::milliseconds m_handleTimeout{ std::chrono::hours{ 24 } };
};

/// \brief HTTP/1.1 server on the caller's event loop.
class HttpServer
{
public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;
  using Closed = std::function<void(std::uint64_t aConnection)>;

  HttpServer(asio::io_context& aLoop,
             HttpServerSettings aSettings,
             Handler aHandler,
             Closed aClosed = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \returns The port it listens on.
  [[nodiscard]] std::uint16_t Port() const noexcept;

  [[nodiscard]] Outcome<std::uint16_t> Open();
  /// \brief Takes no new connections; open ones go on.
  void StopAccepting();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
