#include "greengagehub/http/http_server.hpp"

#include "listen.hpp"
#include "message_parser.hpp"
#include "message_text.hpp"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <fmt/format.h>
#include <map>

namespace greengagehub {

using asio::ip::tcp;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 8UL * 1024;
/// Limit of pipelined bytes buffered per connection.
constexpr std::size_t kMaxReadAhead = 64UL * 1024;
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds{ 250 };
/// Time to read and discard input after the last answer: closing with unread
/// bytes would reset the connection, and the client could lose the answer.
constexpr auto kLingerTime = std::chrono::milliseconds{ 1000 };
constexpr auto kWriteTimeout = std::chrono::seconds{ 60 };

}

struct HttpServer::Impl
{
  class Connection;
  using Pointer = boost::intrusive_ptr<Connection>;

  explicit Impl(asio::io_context& aLoop)
    : m_loop(aLoop)
    , m_acceptor(aLoop)
    , m_timeoutTimer(aLoop)
  {
  }

  void Accept();
  /// Accepts the connections in the listen queue without waiting for more.
  void AcceptPending();
  void AddConnection(tcp::socket aSocket);
  void CheckTimeouts();

  asio::io_context& m_loop;
  HttpServerSettings m_settings;
  Handler m_handler;
  ClosedHandler m_closed;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_timeoutTimer;
  std::map<std::uint64_t, Pointer> m_connections;
  std::uint64_t m_lastConnection{ 0 };
  std::uint16_t m_port{ 0 };
  bool m_isStopped{ false };
};

class HttpServer::Impl::Connection
  : public boost::intrusive_ref_counter<Connection,
                                        boost::thread_unsafe_counter>
{
public:
  Connection(Impl& aServer, tcp::socket aSocket, std::uint64_t aId)
    : m_server(&aServer)
    , m_socket(std::move(aSocket))
    , m_id(aId)
    , m_stateSince(SteadyClock::now())
  {
  }

  void Start()
  {
    asio::error_code ignored;
    m_socket.set_option(tcp::no_delay{ true }, ignored);
    Read();
  }

  /// Closes the socket; handlers that complete later do nothing.
  void Detach()
  {
    m_server = nullptr;
    asio::error_code ignored;
    m_socket.close(ignored);
  }

  void CheckTimeout(SteadyClock::time_point aNow)
  {
    const HttpServerLimits& limits = m_server->m_settings.m_limits;
    const auto age = aNow - m_stateSince;
    switch (m_state) {
      case State::Idle:
        if (m_closesAfterAnswer || age > limits.m_idleTimeout) {
          Close();
        }
        return;
      case State::Receiving:
        // A body has the idle timeout in addition to the head timeout.
        if (!m_parser.HasHead() && age > limits.m_headTimeout) {
          constexpr std::uint16_t kRequestTimeout = 408;
          Refuse(kRequestTimeout);
        } else if (age > limits.m_headTimeout + limits.m_idleTimeout) {
          Close();
        }
        return;
      case State::Handling:
        if (age > m_server->m_settings.m_handlerTimeout) {
          Close();
        }
        return;
      case State::Answering:
        if (age > kWriteTimeout) {
          Close();
        }
        return;
      case State::Lingering:
        if (age > kLingerTime) {
          Close();
        }
        return;
    }
  }

  [[nodiscard]] bool IsBusy() const noexcept
  {
    return m_state == State::Receiving || m_state == State::Handling ||
           m_state == State::Answering;
  }

  /// Closes the connection after the current request, or at the next timeout
  /// check if it is idle and no unread request has arrived by then.
  void Finish() { m_closesAfterAnswer = true; }

  void Answer(std::uint64_t aRequest,
              const HttpResponse& aResponse,
              bool aClose)
  {
    if (m_server == nullptr || m_state != State::Handling ||
        aRequest != m_requests) {
      return;
    }
    m_closesAfterAnswer = m_closesAfterAnswer || aClose;
    Write(ResponseText(aResponse, m_isHeadRequest, m_closesAfterAnswer));
  }

private:
  enum class State : std::uint8_t
  {
    Idle,
    Receiving,
    Handling,
    Answering,
    /// The last answer was sent; further input is discarded.
    Lingering,
  };

  void SetState(State aState)
  {
    m_state = aState;
    m_stateSince = SteadyClock::now();
  }

  void Read()
  {
    if (m_isReading || m_unparsed.size() >= kMaxReadAhead) {
      return;
    }
    m_isReading = true;
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = Pointer{ this }](const asio::error_code& aError,
                               std::size_t aSize) {
        self->m_isReading = false;
        if (self->m_server == nullptr) {
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        self->OnBytes({ self->m_buffer.data(), aSize });
      });
  }

  void OnBytes(std::string_view aBytes)
  {
    if (m_state != State::Lingering) {
      m_unparsed.append(aBytes);
      Parse();
    }
    if (m_server != nullptr) {
      Read();
    }
  }

  void Parse()
  {
    while (!m_unparsed.empty() &&
           (m_state == State::Idle || m_state == State::Receiving)) {
      if (m_state == State::Idle) {
        const HttpServerLimits& limits = m_server->m_settings.m_limits;
        m_parser.Reset();
        m_parser.SetLimits({ limits.m_maxHeadBytes, limits.m_maxBodyBytes });
        m_hasSentContinue = false;
        SetState(State::Receiving);
      }
      std::size_t consumed = 0;
      const auto status = m_parser.Feed(m_unparsed, consumed);
      m_unparsed.erase(0, consumed);
      if (!OnParsed(status)) {
        return;
      }
    }
  }

  /// \returns Whether to continue parsing the received bytes.
  bool OnParsed(MessageParser::Status aStatus)
  {
    constexpr std::uint16_t kBadRequest = 400;
    constexpr std::uint16_t kBodyTooLarge = 413;
    constexpr std::uint16_t kHeadTooLarge = 431;
    switch (aStatus) {
      case MessageParser::Status::NeedsMore:
        SendContinueIfExpected();
        return false;
      case MessageParser::Status::Complete:
        DispatchRequest();
        return true;
      case MessageParser::Status::HeadTooLarge:
        Refuse(kHeadTooLarge);
        return false;
      case MessageParser::Status::BodyTooLarge:
        Refuse(kBodyTooLarge);
        return false;
      case MessageParser::Status::Malformed:
        Refuse(kBadRequest);
        return false;
    }
    return false;
  }

  void SendContinueIfExpected()
  {
    const bool isExpected =
      m_parser.HasHead() && !m_hasSentContinue &&
      SameHeader(HeaderValue(m_parser.Headers(), "expect"), "100-continue");
    if (!isExpected) {
      return;
    }
    m_hasSentContinue = true;
    asio::error_code ignored;
    asio::write(
      m_socket,
      asio::buffer(std::string_view{ "HTTP/1.1 100 Continue\r\n\r\n" }),
      ignored);
  }

  void DispatchRequest()
  {
    SetState(State::Handling);
    ++m_requests;
    HttpRequest request;
    request.m_method = m_parser.Method();
    request.m_target = std::move(m_parser.Target());
    request.m_headers = std::move(m_parser.Headers());
    request.m_body = std::move(m_parser.Body());
    request.m_connection = m_id;
    request.m_isFirstOnConnection = m_requests == 1;
    m_isHeadRequest = request.m_method == "HEAD";
    m_closesAfterAnswer = !m_parser.KeepsAlive() || m_server->m_isStopped;
    m_server->m_handler(
      std::move(request),
      HttpResponder{ [self = Pointer{ this }, number = m_requests](
                       HttpResponse aResponse, bool aClose) {
        self->Answer(number, aResponse, aClose);
      } });
  }

  void Refuse(std::uint16_t aStatus)
  {
    m_closesAfterAnswer = true;
    m_unparsed.clear();
    Write(ResponseText({ aStatus }, false, true));
  }

  void Write(std::string aText)
  {
    SetState(State::Answering);
    m_writeBuffer = std::move(aText);
    asio::async_write(
      m_socket,
      asio::buffer(m_writeBuffer),
      [self = Pointer{ this }](const asio::error_code& aError, std::size_t) {
        if (self->m_server == nullptr) {
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        self->OnWritten();
      });
  }

  void OnWritten()
  {
    m_writeBuffer.clear();
    if (m_closesAfterAnswer) {
      asio::error_code ignored;
      m_socket.shutdown(tcp::socket::shutdown_send, ignored);
      SetState(State::Lingering);
      m_unparsed.clear();
      Read();
      return;
    }
    SetState(State::Idle);
    Parse();
    if (m_server != nullptr) {
      Read();
    }
  }

  void Close()
  {
    if (m_server == nullptr) {
      return;
    }
    Impl& server = *m_server;
    const bool wasHandling = m_state == State::Handling;
    const Pointer self{ this };
    Detach();
    server.m_connections.erase(m_id);
    if (wasHandling && server.m_closed) {
      server.m_closed(m_id);
    }
  }

  Impl* m_server;
  tcp::socket m_socket;
  std::uint64_t m_id;
  SteadyClock::time_point m_stateSince;
  MessageParser m_parser{ MessageParser::Side::Requests };
  std::array<char, kReadBytes> m_buffer{};
  std::string m_unparsed;
  std::string m_writeBuffer;
  std::uint64_t m_requests{ 0 };
  State m_state{ State::Idle };
  bool m_isReading{ false };
  bool m_isHeadRequest{ false };
  bool m_closesAfterAnswer{ false };
  bool m_hasSentContinue{ false };
};

void
HttpServer::Impl::Accept()
{
  m_acceptor.async_accept(
    [this](const asio::error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        AddConnection(std::move(aSocket));
      }
      if (!m_isStopped) {
        Accept();
      }
    });
}

void
HttpServer::Impl::AcceptPending()
{
  asio::error_code error;
  m_acceptor.cancel(error);
  m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket{ m_loop };
    m_acceptor.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
}

void
HttpServer::Impl::AddConnection(tcp::socket aSocket)
{
  // A connection accepted while the server stops may have sent a request, so it
  // is served and closed after the answer.
  const std::uint64_t id = ++m_lastConnection;
  const Pointer connection{ new Connection(*this, std::move(aSocket), id) };
  m_connections.emplace(id, connection);
  connection->Start();
}

void
HttpServer::Impl::CheckTimeouts()
{
  m_timeoutTimer.expires_after(kTimeoutCheckInterval);
  m_timeoutTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    const auto now = SteadyClock::now();
    const auto connections = m_connections;
    for (const auto& [id, connection] : connections) {
      connection->CheckTimeout(now);
    }
    CheckTimeouts();
  });
}

HttpServer::HttpServer(asio::io_context& aLoop,
                       HttpServerSettings aSettings,
                       Handler aHandler,
                       ClosedHandler aClosed)
  : m_impl(std::make_unique<Impl>(aLoop))
{
  m_impl->m_settings = std::move(aSettings);
  m_impl->m_handler = std::move(aHandler);
  m_impl->m_closed = std::move(aClosed);
}

HttpServer::~HttpServer()
{
  StopAccepting();
  for (const auto& [id, connection] : m_impl->m_connections) {
    connection->Detach();
  }
}

std::uint16_t
HttpServer::Port() const noexcept
{
  return m_impl->m_port;
}

Outcome<std::uint16_t>
HttpServer::Open()
{
  tcp::acceptor& acceptor = m_impl->m_acceptor;
  const HttpServerSettings& settings = m_impl->m_settings;
  asio::error_code error =
    Listen(acceptor, settings.m_address, settings.m_port);
  if (error) {
    return Error{ ErrorCode::Io, error.message() };
  }
  m_impl->m_port = acceptor.local_endpoint(error).port();
  m_impl->Accept();
  m_impl->CheckTimeouts();
  return m_impl->m_port;
}

void
HttpServer::SetLimits(HttpServerLimits aLimits)
{
  m_impl->m_settings.m_limits = aLimits;
}

void
HttpServer::Finish()
{
  // Connections in the listen queue may have sent a request already.
  m_impl->AcceptPending();
  StopAccepting();
  const auto connections = m_impl->m_connections;
  for (const auto& [id, connection] : connections) {
    connection->Finish();
  }
}

std::size_t
HttpServer::Busy() const noexcept
{
  const auto isBusy = [](const auto& aEach) { return aEach.second->IsBusy(); };
  return static_cast<std::size_t>(
    std::ranges::count_if(m_impl->m_connections, isBusy));
}

void
HttpServer::StopAccepting()
{
  m_impl->m_isStopped = true;
  asio::error_code ignored;
  m_impl->m_acceptor.close(ignored);
}

}
