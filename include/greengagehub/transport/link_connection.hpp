#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/link_pacer.hpp"
#include "greengagehub/net/pending_input.hpp"
#include "greengagehub/net/socket_queues.hpp"
#include "greengagehub/transport/body_assembler.hpp"
#include "greengagehub/transport/held_attempts.hpp"
#include "greengagehub/transport/link_deflate.hpp"
#include "greengagehub/transport/link_frame.hpp"
#include "greengagehub/transport/traffic_meter.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengagehub {

enum class LinkCloseCause : std::uint8_t
{
  /// The peer closed the connection.
  Peer,
  ReadFailed,
  WriteFailed,
  InvalidFrame,
  /// Close() or Abort() was called.
  Owner,
};

/// \returns The name used in logs, such as "write-failed".
[[nodiscard]] std::string_view
NameOf(LinkCloseCause aCause) noexcept;

/// \brief A link at the moment of its close.
struct LinkClose
{
  LinkCloseCause m_cause{ LinkCloseCause::Owner };
  SocketQueues m_queues{};
  /// Whether frames were queued that the socket had not accepted.
  bool m_hadUnsentFrames{ false };
};

/// \brief The open links of one direction.
struct LinkCounts
{
  std::size_t m_open{ 0 };
  std::size_t m_withUnsentFrames{ 0 };
  SocketQueues m_queues{};
};

/// \brief A TCP connection that carries frames in both directions.
///
/// Pending reads keep the object alive until Close() or Abort(). The
/// ClosedHandler is then called once, posted to the loop.
class LinkConnection
  : public boost::intrusive_ref_counter<LinkConnection,
                                        boost::thread_unsafe_counter>
{
public:
  using Pointer = boost::intrusive_ptr<LinkConnection>;
  using FrameHandler = std::function<void(LinkConnection&, LinkFrame)>;
  using ClosedHandler = std::function<void(LinkConnection&)>;
  /// Called when the complete frames of a read have been passed on.
  using ReadHandler = std::function<void(LinkConnection&, std::size_t aBytes)>;

  /// \param aPacer shared by all connections of the daemon; nullptr sends
  /// large frames without pacing.
  LinkConnection(asio::ip::tcp::socket aSocket,
                 TrafficMeter& aMeter,
                 LinkPacer* aPacer = nullptr);

  [[nodiscard]] bool IsOpen() const noexcept { return m_isOpen; }
  /// \returns Time of the last read; initially the time of Start().
  [[nodiscard]] TimePoint LastReceived() const noexcept
  {
    return m_lastReceived;
  }
  /// \returns Whether frames are queued that the socket has not accepted yet.
  [[nodiscard]] bool HasUnsent() const noexcept
  {
    return m_isOpen && !(m_writeBuffer.empty() && m_encoded.empty() &&
                         m_largeFrames.empty() && !m_currentLarge);
  }
  /// \returns The state at the close; valid once the connection is closed.
  [[nodiscard]] const LinkClose& AtClose() const noexcept { return m_close; }
  void AddTo(LinkCounts& aCounts) noexcept;
  [[nodiscard]] std::uint64_t BytesSent() const noexcept { return m_bytesSent; }

  /// Hello of the peer; valid once m_helloReceived is set.
  LinkHello m_peer{};
  bool m_helloReceived{ false };
  /// Of the peer, not started yet.
  HeldAttempts m_heldAttempts{};
  TimePoint m_openedAt{};

  void Start(FrameHandler aOnFrame,
             ClosedHandler aOnClosed,
             ReadHandler aOnRead = {});
  /// \returns What the next read would return.
  [[nodiscard]] PendingInput Unread() noexcept
  {
    return PendingInputOf(m_socket);
  }
  /// \returns Whether the peer takes a frame of this size; it closes the link
  /// on one that it does not take.
  [[nodiscard]] bool CanSend(const LinkFrame& aFrame) const noexcept;
  /// \brief Queues a frame, which CanSend() must allow; does nothing after a
  /// close or a failed write.
  void Send(LinkFrame aFrame);
  /// \brief Sets that the peer accepts bodies in parts, between which small
  /// frames are sent.
  void SetTakesParts(bool aTakesParts) noexcept { m_takesParts = aTakesParts; }
  /// \brief Sets what holds the bodies that arrive in parts.
  void UseBudget(ByteBudget::Pointer aBudget) noexcept
  {
    m_assembler.UseBudget(std::move(aBudget));
  }
  /// \brief Marks the peer as being in another failure domain: later frames
  /// are counted as cross-domain traffic and their heads are compressed.
  void SetCrossesDomains();
  /// \brief Ends the output after the queued frames. Frames are received until
  /// the peer closes; a close now would reset the connection under frames that
  /// arrive, and the peer could lose the last ones sent.
  void Finish();
  /// \brief Closes; the system still delivers bytes already written.
  void Close();
  /// \brief Resets the connection and discards undelivered bytes, so that no
  /// request arrives after its caller has given up.
  void Abort();

private:
  /// Read buffer size; the buffer grows only while it holds a longer frame.
  static constexpr std::size_t kReadBytes = 16UL * 1024;

  void Read();
  void OnRead(std::size_t aBytes);
  void ResizeReadBuffer();
  void Write();
  /// \brief Begins the next large frame when the pacer allows it.
  void ScheduleLargeFrame();
  /// \brief Writes the next part of m_writeBuffer; all of it without a pacer.
  void WritePart();
  void OnPartWritten(std::size_t aSize);
  /// \brief Writes the next part of m_currentLarge.
  void WriteBodyPart();
  void OnBodyPartWritten(std::size_t aBodyBytes);
  /// \brief Encodes what precedes the next `aBodyBytes` of m_currentLarge.
  void EncodePartHead(std::size_t aBodyBytes);
  /// \returns Whether another frame cannot be sent before the end of the
  /// current one.
  [[nodiscard]] bool IsInsideFrame() const noexcept
  {
    return m_currentLarge && !m_takesParts && m_currentLarge->m_sent > 0;
  }
  void OnWriteFailed();
  void DropLargeFrames();
  void EndOutput();
  void Encode(const LinkFrame& aFrame);
  /// \param aIsOrderly whether bytes already written are still delivered.
  void CloseSocket(bool aIsOrderly, LinkCloseCause aCause);
  void ReportClosed();

  asio::ip::tcp::socket m_socket;
  FrameHandler m_onFrame;
  ClosedHandler m_onClosed;
  ReadHandler m_onRead;
  /// The first m_unparsedBytes bytes are received and not yet decoded.
  std::string m_readBuffer;
  std::size_t m_unparsedBytes{ 0 };
  TrafficMeter& m_meter;
  bool m_crossesDomains{ false };
  std::unique_ptr<LinkDeflater> m_deflater;
  std::unique_ptr<LinkInflater> m_inflater;
  std::string m_encoded;
  BodyAssembler m_assembler;
  struct LargeFrame
  {
    /// Without the body.
    LinkFrame m_frame;
    Body m_body;
    LinkTurn m_turn;
    /// Bytes of the body that were sent.
    std::size_t m_sent{ 0 };
  };
  /// Large frames not begun yet; small frames overtake them.
  std::deque<LargeFrame> m_largeFrames;
  std::optional<LargeFrame> m_currentLarge;
  /// What precedes the next part of the body in m_currentLarge.
  std::string m_partHead;
  bool m_takesParts{ false };
  /// An operation writes to the socket.
  bool m_isWriting{ false };
  /// The next part of m_currentLarge need not wait any longer.
  bool m_isPartDue{ false };
  std::string m_writeBuffer;
  /// Bytes of m_writeBuffer already written.
  std::size_t m_written{ 0 };
  /// The first large frame waits for m_turnTimer.
  bool m_isLargeScheduled{ false };
  LinkPacer* m_pacer;
  asio::steady_timer m_turnTimer;
  /// Pause between two parts of m_writeBuffer.
  asio::steady_timer m_partTimer;
  /// Pause between two parts of m_currentLarge.
  asio::steady_timer m_bodyTimer;
  TimePoint m_lastReceived{};
  std::uint64_t m_bytesSent{ 0 };
  LinkClose m_close{};
  bool m_hasWriteFailed{ false };
  /// Finish() was called; the output ends once nothing is queued.
  bool m_isFinishing{ false };
  bool m_isOpen{ true };
  bool m_isCloseReported{ false };
};

}
