#pragma once

#include "http_server_impl.hpp"
#include "message_parser.hpp"
#include "message_text.hpp"
#include "paced_writer.hpp"
#include "room_wait.hpp"
#include "transfer_pace.hpp"

#include "greengagehub/net/pending_input.hpp"

#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace greengagehub {

class HttpServer::Impl::Connection
  : public boost::intrusive_ref_counter<Connection,
                                        boost::thread_unsafe_counter>
  , public IdleHook
{
public:
  using State = HttpConnectionState;

  Connection(Impl& aServer, asio::ip::tcp::socket aSocket, std::uint64_t aId)
    : m_server(&aServer)
    , m_socket(std::move(aSocket))
    , m_writer(m_socket)
    , m_id(aId)
    , m_stateSince(Clock::now())
  {
  }

  void Start()
  {
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{ true }, ignored);
    m_isFromThisInstance = m_socket.remote_endpoint(ignored).address() ==
                           m_socket.local_endpoint(ignored).address();
    SetState(State::Idle);
    Read();
  }

  /// Closes the socket; handlers that complete later do nothing.
  void Detach()
  {
    m_server = nullptr;
    IdleHook::unlink();
    asio::error_code ignored;
    m_waiter.Cancel();
    DropInput();
    m_writer.Cancel();
    m_socket.close(ignored);
  }

  void CheckTimeout(TimePoint aNow)
  {
    const HttpServerLimits& limits = m_server->m_settings.m_limits;
    const auto age = aNow - m_stateSince;
    switch (m_state) {
      case State::Idle:
        if (m_closesAfterAnswer || age > limits.m_idleTimeout) {
          m_closesAfterAnswer = true;
          // Posted behind reads that have completed.
          asio::post(m_socket.get_executor(),
                     [self = Pointer{ this }] { self->EndIfIdle(); });
        }
        return;
      case State::Receiving:
        if (m_parser.MissingRoom() > 0) {
          if (m_waiter.IsWaiting() && aNow - m_waitsSince > kHttpRoomWait) {
            RefuseForRoom();
          }
          return;
        }
        if (IsBodyTooSlow(aNow)) {
          Refuse(kRequestTimeout);
          return;
        }
        if (!m_parser.HasHead() && age > limits.m_headTimeout) {
          Refuse(kRequestTimeout);
        } else if (age > m_server->BodyTimeout()) {
          Close(HttpCloseCause::TimedOut);
        }
        return;
      case State::Handling:
        if (age > m_server->m_settings.m_handlerTimeout) {
          Close(HttpCloseCause::TimedOut);
        }
        return;
      case State::Answering:
        if (age > kHttpWriteTimeout || IsReadTooSlowly(aNow)) {
          Close(HttpCloseCause::TimedOut);
        }
        return;
      case State::Lingering:
        if (age > (IsDiscarding(aNow) ? kHttpDiscardTime : kHttpLingerTime)) {
          Close(HttpCloseCause::Finished);
        }
        return;
    }
  }

  [[nodiscard]] bool IsBusy() const noexcept
  {
    // What has arrived on an idle connection is not known until it is ended.
    return m_state == State::Idle ? m_server->m_isFinishing
                                  : m_state != State::Lingering;
  }

  [[nodiscard]] bool HasPeerClosed() noexcept
  {
    return PendingInputOf(m_socket) == PendingInput::End;
  }

  [[nodiscard]] State GetState() const noexcept { return m_state; }
  [[nodiscard]] SocketQueues Queues() noexcept { return QueuesOf(m_socket); }

  /// \returns Whether no request is under way or has arrived.
  [[nodiscard]] bool IsIdle() noexcept
  {
    return m_server != nullptr && m_state == State::Idle &&
           QueuesOf(m_socket).m_unreadBytes == 0;
  }

  /// Closes the connection after the current request, or at a timeout check
  /// when it is idle and nothing that has arrived is unread.
  void Finish() { m_closesAfterAnswer = true; }

  void Answer(std::uint64_t aRequest,
              const HttpResponse& aResponse,
              bool aClose)
  {
    if (m_server == nullptr || m_state != State::Handling ||
        aRequest != m_requests) {
      return;
    }
    m_closesAfterAnswer =
      m_closesAfterAnswer || aClose || m_server->m_closesAfterAnswers;
    Write(ResponseHead(aResponse, m_closesAfterAnswer),
          m_isHeadRequest ? Body{} : aResponse.m_body);
  }

  void Close(HttpCloseCause aCause)
  {
    if (m_server == nullptr) {
      return;
    }
    Impl& server = *m_server;
    if (server.m_closeObserver) {
      server.m_closeObserver({ m_state,
                               aCause,
                               QueuesOf(m_socket),
                               m_requests,
                               Clock::now() - m_stateSince,
                               aCause == HttpCloseCause::Abandoned
                                 ? TimeSinceLastInput(m_socket)
                                 : std::nullopt });
    }
    const bool wasHandling = m_state == State::Handling;
    const Pointer self{ this };
    Detach();
    server.m_connections.erase(m_id);
    server.Accept();
    if (wasHandling && server.m_closed) {
      server.m_closed(m_id);
    }
  }

private:
  static constexpr std::uint16_t kRequestTimeout = 408;

  void DropInput()
  {
    m_parser.Reset();
    m_unparsed = {};
    m_headReservation = {};
  }

  /// \returns Whether the client goes on sending a refused request.
  [[nodiscard]] bool IsDiscarding(TimePoint aNow) const noexcept
  {
    return m_isRefused && aNow - m_lastReadAt <= kHttpLingerTime;
  }

  /// \returns Whether others wait for the room of a body that will not be
  /// complete in time.
  [[nodiscard]] bool IsBodyTooSlow(TimePoint aNow)
  {
    const bool isTooSlow = m_pace.IsTooSlow(aNow,
                                            m_parser.BodyBytes(),
                                            m_parser.HeldBytes(),
                                            m_server->BodyTimeout());
    return isTooSlow && m_server->IsRoomScarce() &&
           QueuesOf(m_socket).m_unreadBytes == 0;
  }

  /// \returns Whether others wait for the room of an answer that its client
  /// does not read in time.
  [[nodiscard]] bool IsReadTooSlowly(TimePoint aNow)
  {
    if (!m_writer.IsSending()) {
      m_pace.Restart(aNow, m_writer.Sent());
      return false;
    }
    return m_pace.IsTooSlow(
             aNow, m_writer.Sent(), m_writer.Size(), kHttpWriteTimeout) &&
           m_server->IsRoomScarce();
  }

  void SetState(State aState)
  {
    m_state = aState;
    m_stateSince = Clock::now();
    IdleHook::unlink();
    if (aState == State::Idle) {
      m_server->m_idleConnections.push_back(*this);
    }
  }

  void Read()
  {
    if (m_isReading || m_parser.MissingRoom() > 0 ||
        m_unparsed.size() >= kMaxHttpReadAhead) {
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
          self->Close(HttpCloseCause::Peer);
          return;
        }
        self->OnBytes({ self->m_buffer.data(), aSize });
      });
  }

  void OnBytes(std::string_view aBytes)
  {
    m_lastReadAt = Clock::now();
    if (m_state != State::Lingering && !m_isRefused) {
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
        m_parser.UseBudget(m_server->m_budget);
        m_hasSentContinue = false;
        SetState(State::Receiving);
        m_pace.Restart(m_stateSince, 0);
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
    switch (aStatus) {
      case MessageParser::Status::NeedsMore:
        CountHead();
        SendContinueIfExpected();
        return false;
      case MessageParser::Status::NeedsRoom:
        WaitForRoom();
        return false;
      case MessageParser::Status::Complete:
        DispatchRequest();
        return m_server != nullptr;
      case MessageParser::Status::HeadTooLarge:
      case MessageParser::Status::BodyTooLarge:
      case MessageParser::Status::Malformed:
        Refuse(RefusalStatusOf(aStatus));
        return false;
    }
    return false;
  }

  /// Counts a long head that is not complete, which a client could leave so on
  /// all its connections.
  void CountHead()
  {
    const std::size_t bytes = m_parser.MessageBytes();
    const bool isCounted = m_server->m_budget && !m_parser.HasHead() &&
                           bytes > kUncountedHeadBytes &&
                           bytes > m_headReservation.Bytes();
    if (!isCounted) {
      return;
    }
    const std::size_t more = bytes - m_headReservation.Bytes();
    ByteReservation reserved =
      m_server->m_budget->Reserve(more, ByteUse::SmallRequest);
    if (reserved.Bytes() == more) {
      m_headReservation.Add(std::move(reserved));
    } else {
      RefuseForRoom();
    }
  }

  void WaitForRoom()
  {
    ByteBudget& budget = *m_server->m_budget;
    const std::size_t missing = m_parser.MissingRoom();
    const ByteUse use = m_parser.UseOf(missing);
    if (m_parser.BodyBytes() + missing > budget.LimitFor(use)) {
      Refuse(RefusalStatusOf(MessageParser::Status::BodyTooLarge));
      return;
    }
    if (budget.WaitingBytes() > budget.Limit()) {
      RefuseForRoom();
      return;
    }
    m_waitsSince = Clock::now();
    greengagehub::WaitForRoom(
      budget,
      m_waiter,
      missing,
      use,
      m_socket.get_executor(),
      [self = Pointer{ this }](ByteReservation aReservation) {
        self->OnRoom(std::move(aReservation));
      });
  }

  void OnRoom(ByteReservation aReservation)
  {
    if (m_server == nullptr || m_state != State::Receiving ||
        m_parser.MissingRoom() == 0) {
      return;
    }
    m_parser.Provide(std::move(aReservation));
    m_pace.Restart(Clock::now(), m_parser.BodyBytes());
    SendContinueIfExpected();
    Parse();
    if (m_server != nullptr) {
      Read();
    }
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
    if (m_server->m_settings.m_discardsAbandoned && HasPeerClosed()) {
      Close(HttpCloseCause::Abandoned);
      return;
    }
    SetState(State::Handling);
    ++m_requests;
    HttpRequest request;
    request.m_method = m_parser.Method();
    request.m_target = std::move(m_parser.Target());
    request.m_headers = std::move(m_parser.Headers());
    request.m_body = m_parser.TakeBody();
    m_headReservation = {};
    request.m_connection = m_id;
    request.m_isFirstOnConnection = m_requests == 1;
    request.m_isFromThisInstance = m_isFromThisInstance;
    m_isHeadRequest = request.m_method == "HEAD";
    m_closesAfterAnswer = !m_parser.KeepsAlive() || m_server->m_isStopped;
    m_server->m_handler(
      std::move(request),
      HttpResponder{ [self = Pointer{ this }, number = m_requests](
                       HttpResponse aResponse, bool aClose) {
        self->Answer(number, aResponse, aClose);
      } });
  }

  void Refuse(std::uint16_t aStatus) { Refuse(HttpResponse{ aStatus }); }

  /// Refuses a request that has not been received completely.
  void Refuse(const HttpResponse& aResponse)
  {
    m_closesAfterAnswer = true;
    m_isRefused = true;
    m_waiter.Cancel();
    DropInput();
    Write(ResponseHead(aResponse, true), {});
    // The rest of the request is read, as the client may not look for an answer
    // before it has sent all.
    Read();
  }

  void RefuseForRoom() { Refuse(NoRoomResponse()); }

  void Write(std::string aHead, Body aBody)
  {
    SetState(State::Answering);
    m_pace.Restart(m_stateSince, 0);
    LinkPacer* pacer = m_isFromThisInstance ? nullptr : m_server->m_pacer;
    m_writer.Write(pacer,
                   std::move(aHead),
                   std::move(aBody),
                   [self = Pointer{ this }](const asio::error_code& aError) {
                     if (self->m_server == nullptr) {
                       return;
                     }
                     if (aError) {
                       self->Close(HttpCloseCause::WriteFailed);
                       return;
                     }
                     self->OnWritten();
                   });
  }

  void EndIfIdle()
  {
    if (IsIdle()) {
      EndOutput();
    }
  }

  void EndOutput()
  {
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    SetState(State::Lingering);
    m_unparsed.clear();
    Read();
  }

  void OnWritten()
  {
    if (m_closesAfterAnswer) {
      EndOutput();
      return;
    }
    SetState(State::Idle);
    Parse();
    if (m_server != nullptr) {
      Read();
    }
  }

  Impl* m_server;
  asio::ip::tcp::socket m_socket;
  PacedWriter m_writer;
  std::uint64_t m_id;
  TimePoint m_stateSince;
  TimePoint m_lastReadAt{};
  TimePoint m_waitsSince{};
  MessageParser m_parser{ MessageParser::Side::Requests };
  TransferPace m_pace;
  ByteWaiter m_waiter;
  ByteReservation m_headReservation;
  std::array<char, kHttpReadBytes> m_buffer{};
  std::string m_unparsed;
  std::uint64_t m_requests{ 0 };
  State m_state{ State::Idle };
  bool m_isReading{ false };
  bool m_isFromThisInstance{ false };
  bool m_isHeadRequest{ false };
  bool m_closesAfterAnswer{ false };
  /// The request was refused before it was complete.
  bool m_isRefused{ false };
  bool m_hasSentContinue{ false };
};

}
