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
};

/// \brief What became of a request sent by HttpClient.
struct HttpClientResult
{
  enum class Kind : std::uint8_t
  {
    /// A whole answer, in m_response.
    Answered,
    /// Certainly no byte of the request was sent.
    NotSent,
    /// Sent in part or whole; the answer is lost, cut or too late.
    Lost,
  };

  Kind m_kind{ Kind::NotSent };
  HttpResponse m_response{};
  std::string m_detail{};
};

/// \brief HTTP/1.1 client on the caller's event loop, with kept connections.
///
/// libcurl sends a request a second time by itself when a kept connection
/// dies before the first byte of an answer, whatever the method. The server
/// may have run it by then. The client forbids that: each request is sent at
/// most once, and a connection that dies reports Lost.
class HttpClient
{
public:
  using Done = std::function<void(HttpClientResult)>;
  using Ticket = std::uint64_t;

  explicit HttpClient(asio::io_context& aLoop, std::size_t aMaxIdle = 32);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends; `aDone` is called once, later, on the loop.
  Ticket Send(HttpClientRequest aRequest, Done aDone);
  /// \brief Drops a request under way and its connection; `aDone` of it is
  /// not called any more.
  void Abandon(Ticket aTicket);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}
