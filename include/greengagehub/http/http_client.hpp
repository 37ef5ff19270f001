#pragma once

#include "greengagehub/http/http_message.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace greengagehub {

struct HttpClientRequest
{
  std::string m_method{ "GET" };
  std::string m_url{};
  std::vector<HttpHeader> m_headers{};
  std::string m_body{};
  std::chrono::milliseconds m_timeout{ std::chrono::seconds{ 5 } };
  std::size_t m_maxAnswerBytes{ 16UL * 1024 * 1024 };
  /// Whether to open a connection even if an idle one could be reused.
  bool m_onNewConnection{ false };
};

struct HttpClientResult
{
  enum class Kind : std::uint8_t
  {
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// Possibly sent; the response is missing, truncated, too large or late.
    Lost,
  };

  Kind m_kind{ Kind::NotSent };
  HttpResponse m_response{};
  /// Error text of libcurl; empty if answered.
  std::string m_detail{};
};

/// \brief HTTP/1.1 client on the caller's event loop, with persistent
/// connections.
///
/// Each request is sent at most once. libcurl by default resends a request of
/// any method if a reused connection closes before the response, although the
/// server may have executed it. This client reports Lost instead.
class HttpClient
{
public:
  using Done = std::function<void(HttpClientResult)>;
  using Ticket = std::uint64_t;

  /// \param aMaxIdle maximum number of cached connections.
  explicit HttpClient(asio::io_context& aLoop, std::size_t aMaxIdle = 32);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends a request; `aDone` is called once, from the loop.
  Ticket Send(HttpClientRequest aRequest, Done aDone);
  /// \brief Cancels a pending request without calling its `aDone`, and closes
  /// its connection.
  void Abandon(Ticket aTicket);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}
