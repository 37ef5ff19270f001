#include "greengagehub/transport/bulk_channel.hpp"

#include "greengagehub/core/compression.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <fmt/format.h>
#include <list>
#include <optional>
#include <zmq.hpp>

namespace greengagehub {

namespace {

constexpr std::int64_t kMaxMessageBytes = 64L * 1024 * 1024;
/// Queue limit per peer; excess messages are dropped and requested again.
constexpr int kMaxQueuedMessages = 16;

std::uint16_t
PortOf(const std::string& aEndpoint)
{
  std::uint16_t port = 0;
  const std::size_t colon = aEndpoint.rfind(':');
  const char* first = aEndpoint.data() + colon + 1;
  std::from_chars(first, aEndpoint.data() + aEndpoint.size(), port);
  return port;
}

void
SetSocketOptions(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  aSocket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  aSocket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
}

/// \returns Whether a message was there. The library reports other errors, such
/// as an interruption by a signal, by an exception.
bool
Receive(zmq::socket_t& aSocket, zmq::message_t& aMessage) noexcept
{
  int received = -1;
  do {
    received = zmq_msg_recv(aMessage.handle(), aSocket.handle(), ZMQ_DONTWAIT);
  } while (received < 0 && zmq_errno() == EINTR);
  return received >= 0;
}

/// \returns Whether the message was queued.
bool
Send(zmq::socket_t& aSocket, std::string_view aBytes, int aFlags = 0) noexcept
{
  int sent = -1;
  do {
    sent = zmq_send(
      aSocket.handle(), aBytes.data(), aBytes.size(), ZMQ_DONTWAIT | aFlags);
  } while (sent < 0 && zmq_errno() == EINTR);
  return sent >= 0;
}

std::string_view
TextOf(const zmq::message_t& aMessage)
{
  return { static_cast<const char*>(aMessage.data()), aMessage.size() };
}

/// Watches the descriptor of a ZeroMQ socket. The descriptor is edge-triggered:
/// unless the socket is drained after each event and each send, a message stays
/// queued until the next event.
class SocketWatch
{
public:
  SocketWatch(asio::io_context& aLoop,
              zmq::socket_t& aSocket,
              std::function<void()> aDrain)
    : m_descriptor(aLoop, aSocket.get(zmq::sockopt::fd))
    , m_drain(std::move(aDrain))
  {
    Wait();
  }
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;
  ~SocketWatch()
  {
    *m_alive = false;
    m_descriptor.release();
  }

private:
  void Wait()
  {
    m_descriptor.async_wait(
      asio::posix::descriptor_base::wait_read,
      [this, alive = m_alive](const asio::error_code& aError) {
        // A pending event still completes after the release.
        if (aError || !*alive) {
          return;
        }
        Wait();
        m_drain();
      });
  }

  asio::posix::stream_descriptor m_descriptor;
  std::function<void()> m_drain;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

}

class BulkChannel::Impl
{
public:
  Impl(asio::io_context& aLoop,
       const std::string& aHost,
       std::uint16_t aPort,
       RequestHandler aOnRequest,
       AnswerSentHandler aOnAnswerSent)
    : m_loop(aLoop)
    , m_onRequest(std::move(aOnRequest))
    , m_onAnswerSent(std::move(aOnAnswerSent))
    , m_context(1)
    , m_router(m_context, zmq::socket_type::router)
  {
    SetSocketOptions(m_router);
    m_router.bind(aPort == 0 ? fmt::format("tcp://{}:*", aHost)
                             : fmt::format("tcp://{}:{}", aHost, aPort));
    m_port = PortOf(m_router.get(zmq::sockopt::last_endpoint));
    m_watch.emplace(aLoop, m_router, [this] { DrainRouter(); });
  }

  struct Pending
  {
    explicit Pending(asio::io_context& aLoop)
      : m_timer(aLoop)
    {
    }
    /// Empty if there was no descriptor for it.
    std::optional<zmq::socket_t> m_socket{};
    asio::steady_timer m_timer;
    std::optional<SocketWatch> m_watch{};
    PullCallback m_callback{};
    bool m_isDone{ false };
  };
  using Position = std::list<Pending>::iterator;

  std::size_t Pull(const MemberAddress& aPeer,
                   const PullRequest& aRequest,
                   std::chrono::milliseconds aTimeout,
                   PullCallback aCallback)
  {
    m_pending.emplace_back(m_loop);
    const Position pull = std::prev(m_pending.end());
    pull->m_callback = std::move(aCallback);
    pull->m_timer.expires_after(aTimeout);
    pull->m_timer.async_wait([this, pull](const asio::error_code& aError) {
      if (!aError) {
        Complete(pull, std::nullopt);
      }
    });
    if (!Connect(pull, aPeer)) {
      // Ends at its timeout, like that of a peer that does not answer.
      ++m_counts.m_failed;
      return 0;
    }
    const std::string bytes = EncodePullRequest(aRequest);
    ++m_counts.m_sent;
    m_counts.m_bytesSent += bytes.size();
    static_cast<void>(Send(*pull->m_socket, bytes));
    // The send may have consumed the readiness event of a message that has
    // arrived.
    asio::post(m_loop, [this, pull, alive = m_alive] {
      if (*alive && !pull->m_isDone) {
        DrainPull(pull);
      }
    });
    return bytes.size();
  }

  ~Impl() { *m_alive = false; }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  [[nodiscard]] std::uint16_t Port() const noexcept { return m_port; }
  [[nodiscard]] const TrafficCounts& Counts() const noexcept
  {
    return m_counts;
  }

private:
  /// \returns False if the process has no descriptor left.
  [[nodiscard]] bool Connect(Position aPull, const MemberAddress& aPeer)
  {
    try {
      zmq::socket_t& socket =
        aPull->m_socket.emplace(m_context, zmq::socket_type::dealer);
      SetSocketOptions(socket);
      socket.connect(
        fmt::format("tcp://{}:{}", aPeer.m_host, aPeer.m_bulkPort));
      aPull->m_watch.emplace(
        m_loop, socket, [this, aPull] { DrainPull(aPull); });
      return true;
    } catch (const std::exception&) {
      // The library has no other way to report it.
      aPull->m_socket.reset();
      return false;
    }
  }

  void DrainRouter()
  {
    for (;;) {
      zmq::message_t peer;
      zmq::message_t body;
      if (!Receive(m_router, peer)) {
        return;
      }
      if (!peer.more() || !Receive(m_router, body)) {
        ++m_counts.m_malformed;
        continue;
      }
      Answer(peer, body);
    }
  }

  void Answer(const zmq::message_t& aPeer, const zmq::message_t& aBody)
  {
    ++m_counts.m_received;
    m_counts.m_bytesReceived += aBody.size();
    const auto request = DecodePullRequest(TextOf(aBody));
    if (!request) {
      ++m_counts.m_malformed;
      return;
    }
    // Compressed, since member records are highly repetitive.
    const std::string bytes =
      Compress(EncodePullAnswer(m_onRequest(request.value())));
    ++m_counts.m_sent;
    m_counts.m_bytesSent += bytes.size();
    if (Send(m_router, TextOf(aPeer), ZMQ_SNDMORE) && Send(m_router, bytes)) {
      m_onAnswerSent(request.value(), bytes.size());
    } else {
      // The requester has disconnected and will pull from another peer.
      ++m_counts.m_malformed;
    }
  }

  void DrainPull(Position aPull)
  {
    zmq::message_t body;
    if (aPull->m_isDone || !Receive(*aPull->m_socket, body)) {
      return;
    }
    ++m_counts.m_received;
    m_counts.m_bytesReceived += body.size();
    const auto plain = Decompress(TextOf(body), kMaxMessageBytes);
    auto answer = plain ? DecodePullAnswer(plain.value())
                        : Outcome<PullAnswer>{ plain.error() };
    if (!answer) {
      ++m_counts.m_malformed;
      Complete(aPull, std::nullopt);
      return;
    }
    Complete(aPull, std::move(answer.value()));
  }

  void Complete(Position aPull, std::optional<PullAnswer> aAnswer)
  {
    if (aPull->m_isDone) {
      return;
    }
    aPull->m_isDone = true;
    aPull->m_timer.cancel();
    PullCallback callback = std::move(aPull->m_callback);
    // A handler of this pull may be on the call stack, so erase it later.
    asio::post(m_loop, [this, aPull, alive = m_alive] {
      if (*alive) {
        m_pending.erase(aPull);
      }
    });
    callback(std::move(aAnswer));
  }

  asio::io_context& m_loop;
  RequestHandler m_onRequest;
  AnswerSentHandler m_onAnswerSent;
  zmq::context_t m_context;
  zmq::socket_t m_router;
  std::uint16_t m_port{ 0 };
  std::optional<SocketWatch> m_watch;
  std::list<Pending> m_pending;
  TrafficCounts m_counts;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

BulkChannel::BulkChannel(asio::io_context& aLoop,
                         const std::string& aHost,
                         std::uint16_t aPort,
                         RequestHandler aOnRequest,
                         AnswerSentHandler aOnAnswerSent)
  : m_impl(std::make_unique<Impl>(aLoop,
                                  aHost,
                                  aPort,
                                  std::move(aOnRequest),
                                  std::move(aOnAnswerSent)))
{
}

BulkChannel::~BulkChannel() = default;

std::uint16_t
BulkChannel::Port() const noexcept
{
  return m_impl->Port();
}

const TrafficCounts&
BulkChannel::Counts() const noexcept
{
  return m_impl->Counts();
}

std::size_t
BulkChannel::Pull(const MemberAddress& aPeer,
                  const PullRequest& aRequest,
                  std::chrono::milliseconds aTimeout,
                  PullCallback aCallback)
{
  return m_impl->Pull(aPeer, aRequest, aTimeout, std::move(aCallback));
}

}
