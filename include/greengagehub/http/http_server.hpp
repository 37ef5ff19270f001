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
/// until its client closes it.
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

/// \brief What a client may send and how long it may take; may change while
/// connections are open, and binds them from then on.
struct HttpServerLimits
{
  /// Larger heads are answered 431.
  std::size_t m_maxHeadBytes{ 64UL * 1024 };
  /// Larger bodies are answered 413.
  std::size_t m_maxBodyBytes{ 1024UL * 1024 };
  /// From the first byte of a head to its end; then 408.
  std::chrono::milliseconds m_headTimeout{ std::chrono::seconds{ 10 } };
  /// Connections without a request are closed after this.
  std::chrono::milliseconds m_idleTimeout{ std::chrono::seconds{ 60 } };
};

struct HttpServerSettings
{
  std::string m_address{ "127.0.0.1" };
  /// 0 lets the system choose.
  std::uint16_t m_port{ 0 };
  HttpServerLimits m_limits{};
  /// Connections of requests left without an answer are closed after this;
  /// daemons have time limits of their own, which must come first.
  std::chrono::milliseconds m_handleTimeout{ std::chrono::hours{ 24 } };
};

/// \brief HTTP/1.1 server on the caller's event loop.
///
/// Goes on reading while a request waits for its answer, so that a caller who
/// leaves is noticed at once. Requests of one connection are handed out one
/// at a time, in order.
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
  void SetLimits(HttpServerLimits aLimits);
  /// \brief Takes no new connections; open ones go on.
  void StopAccepting();
  /// \brief Takes no new connections and no new requests: idle connections are
  /// closed within moments, the others with the answer to their request.
  void Finish();
  /// \returns Connections with a request that is not yet answered.
  [[nodiscard]] std::size_t Busy() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
