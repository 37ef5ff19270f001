#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/transport/link_deflate.hpp"
#include "greengagehub/transport/link_frame.hpp"
#include "greengagehub/transport/link_pacer.hpp"
#include "greengagehub/transport/traffic_meter.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace greengagehub {

/// \brief One TCP connection that carries frames both ways.
///
/// Kept alive by its own pending reads; Close() ends it, and `m_onClosed` is
/// called once, later, on the loop.
class LinkConnection
  : public boost::intrusive_ref_counter<LinkConnection,
                                        boost::thread_unsafe_counter>
{
public:
  using Pointer = boost::intrusive_ptr<LinkConnection>;
  using OnFrame = std::function<void(LinkConnection&, LinkFrame)>;
  using OnClosed = std::function<void(LinkConnection&)>;

  /// \param aPacer of this machine's link; nullptr: nothing is paced.
  LinkConnection(asio::ip::tcp::socket aSocket,
                 TrafficMeter& aMeter,
                 LinkPacer* aPacer = nullptr);

  [[nodiscard]] bool IsOpen() const noexcept { return m_open; }
  /// \brief When bytes last came in.
  [[nodiscard]] TimePoint LastReceived() const noexcept
  {
    return m_lastReceived;
  }
  /// \returns Whether frames wait here that the system has not taken yet.
  [[nodiscard]] bool HasUnsent() const noexcept
  {
    return m_open && !(m_writing.empty() && m_out.empty() && m_large.empty());
  }
  [[nodiscard]] std::uint64_t BytesSent() const noexcept { return m_bytesSent; }

  /// \brief Who is at the other end, once its hello has come.
  LinkHello m_peer{};
  bool m_greeted{ false };
  TimePoint m_opened{};

  void Start(OnFrame aOnFrame, OnClosed aOnClosed);
  void Send(const LinkFrame& aFrame);
  /// \brief The other end is in another failure domain: what is sent from now
  /// on counts as crossing, and its heads are deflated.
  void SetFar();
  void Close();
  /// \brief Closes at once: what the system has taken and not delivered is
  /// dropped. Otherwise a request sent into a cut goes on being sent after the
  /// close, arrives seconds later and runs for a caller that has left.
  void Abort();

private:
  /// Room for one read; grows for a longer frame and shrinks again after it.
  static constexpr std::size_t kReadBytes = 16UL * 1024;

  void Read();
  void OnRead();
  void MakeRoom();
  void Write();
  /// \brief Starts the next large frame once it may leave.
  void WriteLarge();
  /// \brief Writes the next part of m_writing.
  void WritePart();
  void OnPartWritten(std::size_t aSize);
  void Append(const LinkFrame& aFrame);
  /// \param aOrderly whether what was sent is still delivered.
  void Shut(bool aOrderly);
  void Closed();

  asio::ip::tcp::socket m_socket;
  OnFrame m_onFrame;
  OnClosed m_onClosed;
  /// Received and not yet taken apart: the first m_filled bytes.
  std::string m_in;
  std::size_t m_filled{ 0 };
  TrafficMeter& m_meter;
  bool m_isFar{ false };
  std::unique_ptr<LinkDeflater> m_deflater;
  std::unique_ptr<LinkInflater> m_inflater;
  std::string m_out;
  /// Large frames that have not begun; small ones go before them.
  std::deque<LinkFrame> m_large;
  std::string m_writing;
  /// Bytes of m_writing that have been written.
  std::size_t m_written{ 0 };
  /// The first large frame waits for its time on the link.
  bool m_isPaused{ false };
  LinkPacer* m_pacer;
  asio::steady_timer m_pause;
  TimePoint m_lastReceived{};
  std::uint64_t m_bytesSent{ 0 };
  bool m_open{ true };
  bool m_reported{ false };
};

}
