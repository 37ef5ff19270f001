#pragma once

#include "greengagehub/http/backend_client.hpp"

#include "discard_limit.hpp"
#include "message_parser.hpp"
#include "message_text.hpp"
#include "room_wait.hpp"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <charconv>
#include <map>
#include <optional>

namespace greengagehub {

// Connections of a client of one backend server.

inline constexpr std::size_t kBackendReadBytes = 16UL * 1024;
/// Subtracted from the idle timeout that a backend server announces, to not use
/// a connection that it is about to close.
inline constexpr auto kIdleMargin = std::chrono::milliseconds{ 500 };
/// How long requests that are not repeatable get new connections after a
/// response that names no request.
inline constexpr auto kNewConnectionsTime = std::chrono::seconds{ 5 };

/// \returns Idle timeout from a "Keep-Alive: timeout=N" header, if present.
inline std::optional<std::chrono::milliseconds>
AnnouncedIdleTimeout(const std::vector<HttpHeader>& aHeaders)
{
  constexpr std::string_view kKey = "timeout=";
  const std::string_view value = HeaderValue(aHeaders, "keep-alive");
  const std::size_t at = value.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* begin = value.data() + at + kKey.size();
  const auto parsed =
    std::from_chars(begin, value.data() + value.size(), seconds);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds{ seconds };
}

class BackendClient::Impl
{
public:
  class Connection;
  using Pointer = boost::intrusive_ptr<Connection>;

  Impl(asio::io_context& aLoop, BackendClientSettings aSettings)
    : m_loop(aLoop)
    , m_settings(std::move(aSettings))
  {
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl();

  void KeepIdle(const Pointer& aConnection);
  Ticket Send(BackendRequest aRequest, Done aDone);
  void Abandon(Ticket aTicket);
  void CloseIdle();
  void ShortenDeadlines(TimePoint aOpenedBefore, TimePoint aUntil);

  asio::io_context& m_loop;
  BackendClientSettings m_settings;
  std::map<Ticket, Pointer> m_inUse;
  /// Least recently used first. Reuse starts at the back, so that surplus
  /// connections reach their idle limit.
  std::vector<Pointer> m_idleConnections;
  std::size_t m_maxAnnounced{ 0 };
  Ticket m_lastTicket{ 0 };
  std::uint64_t m_connectionAttempts{ 0 };
  TimePoint m_newConnectionsUntil{};
};

class BackendClient::Impl::Connection
  : public boost::intrusive_ref_counter<Connection,
                                        boost::thread_unsafe_counter>
{
public:
  explicit Connection(Impl& aClient)
    : m_client(&aClient)
    , m_socket(aClient.m_loop)
    , m_timer(aClient.m_loop)
  {
  }

  [[nodiscard]] Ticket GetTicket() const noexcept { return m_ticket; }
  [[nodiscard]] Duration IdleFor(TimePoint aNow) const noexcept
  {
    return aNow - m_idleSince;
  }
  [[nodiscard]] bool IsPastIdleLimit(TimePoint aNow) const noexcept
  {
    return m_idleLimit && IdleFor(aNow) > *m_idleLimit - kIdleMargin;
  }

  void Start(Ticket aTicket, BackendRequest aRequest, Done aDone)
  {
    m_ticket = aTicket;
    m_request = std::move(aRequest);
    m_done = std::move(aDone);
    m_parser.Reset(m_request.m_method == "HEAD");
    m_parser.SetLimits(
      { .m_bodyBytes = MaxBodyBytes(),
        .m_announcedBodyBytes =
          m_request.m_maxBodyBytes > 0 ? 0 : m_client->m_maxAnnounced });
    m_parser.UseBudget(m_client->m_settings.m_budget);
    m_discardLimit = {};
    m_isSendStarted = false;
    m_isSendComplete = false;
    m_hasSendFailed = false;
    m_awaitsSend = false;
    m_hasReceivedBytes = false;
    m_isDeadlineShortened = false;
    if (m_isOpen) {
      StartDeadlineTimer();
      Write();
    } else {
      Connect();
    }
  }

  [[nodiscard]] bool WasOpenedBefore(TimePoint aTime) const noexcept
  {
    return m_isOpen && m_openedAt < aTime;
  }

  void ShortenDeadline(TimePoint aUntil)
  {
    if (aUntil < m_request.m_deadline) {
      m_request.m_deadline = aUntil;
      m_isDeadlineShortened = true;
      StartDeadlineTimer();
    }
  }

  /// Closes the connection; pending handlers do nothing and `m_done` is not
  /// called.
  void Detach()
  {
    m_client = nullptr;
    m_done = nullptr;
    m_waiter.Cancel();
    m_parser.Reset();
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
  }

private:
  void Connect()
  {
    ++m_client->m_connectionAttempts;
    const auto limit =
      std::min<TimePoint>(Clock::now() + m_client->m_settings.m_connectTimeout,
                          m_request.m_deadline);
    m_timer.expires_at(limit);
    m_timer.async_wait(
      [self = Pointer{ this }](const asio::error_code& aError) {
        if (!aError && self->m_client != nullptr && !self->m_isOpen) {
          self->CompleteRequest({ BackendResult::Kind::NotSent }, true);
        }
      });
    m_socket.async_connect(
      m_client->m_settings.m_address,
      [self = Pointer{ this }](const asio::error_code& aError) {
        self->OnConnected(aError);
      });
  }

  void OnConnected(const asio::error_code& aError)
  {
    if (m_client == nullptr) {
      return;
    }
    if (aError) {
      BackendResult result{ BackendResult::Kind::NotSent };
      result.m_refused = aError == asio::error::connection_refused;
      CompleteRequest(std::move(result), true);
      return;
    }
    m_isOpen = true;
    m_openedAt = Clock::now();
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{ true }, ignored);
    StartDeadlineTimer();
    Read();
    Write();
  }

  void StartDeadlineTimer()
  {
    m_timer.expires_at(m_request.m_deadline);
    m_timer.async_wait([self = Pointer{ this },
                        ticket = m_ticket](const asio::error_code& aError) {
      const bool due =
        !aError && self->m_client != nullptr && self->m_ticket == ticket;
      if (due) {
        self->CompleteRequest({ self->m_isDeadlineShortened
                                  ? BackendResult::Kind::Lost
                                  : BackendResult::Kind::TimedOut },
                              true);
      }
    });
  }

  void Write()
  {
    m_isSendStarted = true;
    m_requestHead = RequestHead(m_request);
    const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(m_requestHead),
      asio::buffer(m_request.m_body.Data(), m_request.m_body.Size())
    };
    asio::async_write(
      m_socket,
      buffers,
      [self = Pointer{ this }, body = m_request.m_body, ticket = m_ticket](
        const asio::error_code& aError, std::size_t) {
        if (self->m_client == nullptr || self->m_ticket != ticket) {
          return;
        }
        self->OnSent(!aError);
      });
  }

  void OnSent(bool aIsComplete)
  {
    m_isSendComplete = aIsComplete;
    m_hasSendFailed = !aIsComplete;
    m_request.m_body = {};
    // Otherwise the reads go on after a failure, since an early response may
    // have arrived before a reset.
    if (m_awaitsSend) {
      OnUnframedEnd();
    }
  }

  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = Pointer{ this }](const asio::error_code& aError,
                               std::size_t aSize) {
        if (self->m_client == nullptr) {
          return;
        }
        if (aError) {
          self->OnStreamEnd(aError == asio::error::eof);
          return;
        }
        self->OnBytes({ self->m_buffer.data(), aSize });
        self->ReadOn();
      });
  }

  void ReadOn()
  {
    if (m_client != nullptr && m_parser.MissingRoom() == 0) {
      Read();
    }
  }

  /// \param aUnread in m_buffer, which is not read into meanwhile.
  void WaitForRoom(std::string_view aUnread)
  {
    ByteBudget& budget = *m_client->m_settings.m_budget;
    const std::size_t missing = m_parser.MissingRoom();
    const ByteUse use = m_parser.UseOf(missing);
    if (m_parser.BodyBytes() + missing > budget.LimitFor(use)) {
      CompleteRequest({ BackendResult::Kind::Lost }, true);
      return;
    }
    greengagehub::WaitForRoom(
      budget,
      m_waiter,
      missing,
      use,
      m_socket.get_executor(),
      [self = Pointer{ this }, aUnread, ticket = m_ticket](
        ByteReservation aReservation) {
        self->OnRoom(ticket, aUnread, std::move(aReservation));
      });
  }

  void OnRoom(Ticket aTicket,
              std::string_view aUnread,
              ByteReservation aReservation)
  {
    if (m_client == nullptr || m_ticket != aTicket) {
      return;
    }
    m_parser.Provide(std::move(aReservation));
    OnBytes(aUnread);
    ReadOn();
  }

  void OnBytes(std::string_view aBytes)
  {
    if (m_ticket == 0) {
      // Unexpected bytes on an idle connection.
      CompleteRequest({}, true);
      return;
    }
    m_hasReceivedBytes = true;
    while (!aBytes.empty()) {
      std::size_t consumed = 0;
      const auto status = m_parser.Feed(aBytes, consumed);
      aBytes.remove_prefix(std::min(consumed, aBytes.size()));
      if (status == MessageParser::Status::NeedsMore) {
        return;
      }
      if (status == MessageParser::Status::NeedsRoom) {
        WaitForRoom(aBytes);
        return;
      }
      if (status != MessageParser::Status::Complete) {
        BackendResult result{ BackendResult::Kind::Lost };
        result.m_fault = m_parser.Fault();
        CompleteRequest(std::move(result), true);
        return;
      }
      if (IsExpectedResponse()) {
        OnResponse(!aBytes.empty());
        return;
      }
      if (!m_discardLimit.Allows(m_parser.ResponseStatus(),
                                 m_parser.MessageBytes(),
                                 MaxBodyBytes())) {
        CompleteRequest({ BackendResult::Kind::Lost }, true);
        return;
      }
      m_parser.Reset(m_request.m_method == "HEAD");
    }
  }

  [[nodiscard]] std::size_t MaxBodyBytes() const noexcept
  {
    return m_request.m_maxBodyBytes > 0 ? m_request.m_maxBodyBytes
                                        : m_client->m_settings.m_maxAnswerBytes;
  }

  /// \returns False for an interim response and for a late response to an
  /// earlier request.
  bool IsExpectedResponse()
  {
    if (IsInterimStatus(m_parser.ResponseStatus())) {
      return false;
    }
    const std::string_view echo =
      HeaderValue(m_parser.Headers(), m_request.m_echoHeader);
    return m_request.m_echoHeader.empty() || echo.empty() ||
           echo == m_request.m_echoValue;
  }

  void OnResponse(bool aHasExtraBytes)
  {
    BackendResult result{ BackendResult::Kind::Answered };
    result.m_response.m_status = m_parser.ResponseStatus();
    result.m_response.m_headers = std::move(m_parser.Headers());
    result.m_response.m_body = m_parser.TakeBody();
    if (const auto idle = AnnouncedIdleTimeout(result.m_response.m_headers)) {
      m_idleLimit = *idle;
    }
    const bool namesNoRequest =
      !m_request.m_echoHeader.empty() &&
      HeaderValue(result.m_response.m_headers, m_request.m_echoHeader).empty();
    if (namesNoRequest) {
      m_client->m_newConnectionsUntil = Clock::now() + kNewConnectionsTime;
    }
    result.m_isAmbiguous = namesNoRequest && m_wasUsedBefore;
    // If the request was not completely written, the rest of its body would be
    // parsed as the next request.
    const bool closes = !m_parser.KeepsAlive() || aHasExtraBytes ||
                        !m_isSendComplete || result.m_isAmbiguous;
    CompleteRequest(std::move(result), closes);
  }

  /// Called when the peer closed the stream or reading failed.
  void OnStreamEnd(bool aIsOrderly)
  {
    if (m_ticket == 0) {
      CompleteRequest({}, true);
      return;
    }
    if (aIsOrderly && m_hasReceivedBytes && m_parser.HasBegun() &&
        m_parser.Finish() == MessageParser::Status::Complete &&
        IsExpectedResponse()) {
      OnUnframedEnd();
      return;
    }
    CompleteLost();
  }

  /// Called at the end of a stream that may have ended a response without a
  /// length. The stream of a reset connection ends like a closed one where a
  /// write has taken the socket's error, so the response counts only if all of
  /// the request was written.
  void OnUnframedEnd()
  {
    if (m_isSendComplete) {
      OnResponse(true);
    } else if (m_hasSendFailed) {
      CompleteLost(ResponseFault::ResetWhileSending);
    } else {
      m_awaitsSend = true;
    }
  }

  void CompleteLost(ResponseFault aFault = ResponseFault::None)
  {
    BackendResult result{ m_isSendStarted ? BackendResult::Kind::Lost
                                          : BackendResult::Kind::NotSent };
    result.m_fault = aFault;
    result.m_wasStale = m_wasUsedBefore && !m_hasReceivedBytes;
    result.m_closed = m_isSendStarted;
    result.m_connectedAt = m_openedAt;
    CompleteRequest(std::move(result), true);
  }

  void CompleteRequest(BackendResult aResult, bool aClose)
  {
    Impl& client = *m_client;
    const Pointer self{ this };
    Done done = std::move(m_done);
    m_done = nullptr;
    m_timer.cancel();
    if (m_ticket != 0) {
      client.m_inUse.erase(m_ticket);
    } else {
      std::erase(client.m_idleConnections, self);
    }
    m_ticket = 0;
    m_request.m_body = {};
    m_wasUsedBefore = true;
    if (aClose) {
      Detach();
    } else {
      m_idleSince = Clock::now();
      client.KeepIdle(self);
    }
    if (done) {
      done(std::move(aResult));
    }
  }

  Impl* m_client;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  MessageParser m_parser{ MessageParser::Side::Responses };
  std::array<char, kBackendReadBytes> m_buffer{};
  BackendRequest m_request;
  std::string m_requestHead;
  ByteWaiter m_waiter;
  Done m_done;
  Ticket m_ticket{ 0 };
  TimePoint m_openedAt{};
  TimePoint m_idleSince{};
  std::optional<std::chrono::milliseconds> m_idleLimit;
  DiscardLimit m_discardLimit;
  bool m_isOpen{ false };
  bool m_wasUsedBefore{ false };
  bool m_isSendStarted{ false };
  bool m_isSendComplete{ false };
  bool m_hasSendFailed{ false };
  /// The stream has ended; the response counts once the request is written.
  bool m_awaitsSend{ false };
  bool m_hasReceivedBytes{ false };
  /// Deadline was brought forward by ShortenDeadlines().
  bool m_isDeadlineShortened{ false };
};

}
