#include "greengagehub/http/http_server.hpp"

#include <restinio/all.hpp>

namespace greengagehub {

namespace {

constexpr auto kWriteTimeout = std::chrono::seconds{ 60 };

/// Tells the daemon that a caller's connection is gone.
class ConnectionListener
{
public:
  explicit ConnectionListener(HttpServer::Closed aClosed)
    : m_closed(std::move(aClosed))
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming): name set by the library
  void state_changed(
    const restinio::connection_state::notice_t& aNotice) noexcept
  {
    const auto cause = aNotice.cause();
    const bool closed =
      restinio::holds_alternative<restinio::connection_state::closed_t>(cause);
    if (closed && m_closed) {
      m_closed(aNotice.connection_id());
    }
  }

private:
  HttpServer::Closed m_closed;
};

struct Traits : restinio::default_single_thread_traits_t
{
  // NOLINTNEXTLINE(readability-identifier-naming): name set by the library
  using connection_state_listener_t = ConnectionListener;
};

HttpRequest
FromLibrary(const restinio::request_handle_t& aRequest)
{
  HttpRequest request;
  const auto& header = aRequest->header();
  const auto method = header.method();
  request.m_method = method.c_str();
  request.m_target = header.request_target();
  header.for_each_field([&request](const auto& aField) {
    request.m_headers.push_back(HttpHeader{ aField.name(), aField.value() });
  });
  request.m_body = aRequest->body();
  request.m_connection = aRequest->connection_id();
  return request;
}

std::string
ReasonPhrase(std::uint16_t aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

/// Headers of the connection itself, which the library writes.
bool
IsHopHeader(std::string_view aName)
{
  return SameHeader(aName, "connection") ||
         SameHeader(aName, "content-length") ||
         SameHeader(aName, "transfer-encoding") ||
         SameHeader(aName, "keep-alive");
}

void
SendResponse(const restinio::request_handle_t& aRequest,
             HttpResponse aResponse,
             bool aClose)
{
  auto builder = aRequest->create_response(restinio::http_status_line_t{
    restinio::http_status_code_t{ aResponse.m_status },
    ReasonPhrase(aResponse.m_status) });
  for (HttpHeader& each : aResponse.m_headers) {
    if (!IsHopHeader(each.m_name)) {
      builder.append_header(std::move(each.m_name), std::move(each.m_value));
    }
  }
  if (aClose) {
    builder.connection_close();
  }
  builder.set_body(std::move(aResponse.m_body));
  builder.done();
}

}

struct HttpServer::Impl
{
  using Server = restinio::http_server_t<Traits>;

  HttpServerSettings m_settings;
  std::uint16_t m_port{ 0 };
  std::unique_ptr<Server> m_server;
};

HttpServer::HttpServer(asio::io_context& aLoop,
                       HttpServerSettings aSettings,
                       Handler aHandler,
                       Closed aClosed)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->m_settings = aSettings;
  const auto onRequest = [handler = std::move(aHandler)](
                           restinio::request_handle_t aRequest) {
    HttpRequest request = FromLibrary(aRequest);
    handler(std::move(request),
            HttpResponder{ [kept = std::move(aRequest)](HttpResponse aResponse,
                                                        bool aClose) {
              SendResponse(kept, std::move(aResponse), aClose);
            } });
    return restinio::request_accepted();
  };
  m_impl->m_server = std::make_unique<Impl::Server>(
    restinio::external_io_context(aLoop), [&](auto& aOut) {
      aOut.address(aSettings.m_address)
        .port(aSettings.m_port)
        .handle_request_timeout(aSettings.m_handleTimeout)
        .write_http_response_timelimit(kWriteTimeout)
        .read_next_http_message_timelimit(aSettings.m_idleTimeout)
        .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}.max_body_size(
            aSettings.m_maxBodyBytes))
        .connection_state_listener(
          std::make_shared<ConnectionListener>(std::move(aClosed)))
        .socket_options_setter([](auto& aOptions) {
          aOptions.set_option(asio::ip::tcp::no_delay{ true });
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
          m_impl->m_port = aAcceptor.local_endpoint().port();
        })
        .request_handler(onRequest);
    });
}

HttpServer::~HttpServer() = default;

std::uint16_t
HttpServer::Port() const noexcept
{
  return m_impl->m_port;
}

Outcome<std::uint16_t>
HttpServer::Open()
{
  try {
    m_impl->m_server->open_sync();
  } catch (const std::exception& fault) {
    return Error{ ErrorCode::Io, fault.what() };
  }
  return m_impl->m_port;
}

void
HttpServer::StopAccepting()
{
  try {
    m_impl->m_server->close_sync();
  } catch (const std::exception&) {
    // Already closed: nothing is left to stop.
    return;
  }
}

}
