#include "greengagehub/transport/link_connection.hpp"

#include "greengagehub/transport/codec.hpp"
#include "greengagehub/transport/frame_body.hpp"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cstring>

namespace greengagehub {

namespace {

/// Leaves room for the head of the frame.
constexpr std::size_t kMaxWholeBodyBytes = kMaxFrameBytes - 1024UL * 1024;

TrafficPurpose
PurposeOf(const LinkFrame& aFrame)
{
  if (std::holds_alternative<CallRequest>(aFrame)) {
    return TrafficPurpose::Requests;
  }
  return std::holds_alternative<CallAnswer>(aFrame) ? TrafficPurpose::Answers
                                                    : TrafficPurpose::Links;
}

std::size_t
BodySizeOf(const LinkFrame& aFrame)
{
  const Body* body = BodyOf(aFrame);
  return body != nullptr ? body->Size() : 0;
}

}

std::string_view
NameOf(LinkCloseCause aCause) noexcept
{
  switch (aCause) {
    case LinkCloseCause::Peer:
      return "peer";
    case LinkCloseCause::ReadFailed:
      return "read-failed";
    case LinkCloseCause::WriteFailed:
      return "write-failed";
    case LinkCloseCause::InvalidFrame:
      return "invalid-frame";
    case LinkCloseCause::Owner:
      return "owner";
  }
  return "owner";
}

LinkConnection::LinkConnection(asio::ip::tcp::socket aSocket,
                               TrafficMeter& aMeter,
                               LinkPacer* aPacer)
  : m_socket(std::move(aSocket))
  , m_meter(aMeter)
  , m_pacer(aPacer)
  , m_turnTimer(m_socket.get_executor())
  , m_partTimer(m_socket.get_executor())
  , m_bodyTimer(m_socket.get_executor())
{
}

void
LinkConnection::Start(FrameHandler aOnFrame,
                      ClosedHandler aOnClosed,
                      ReadHandler aOnRead)
{
  m_onFrame = std::move(aOnFrame);
  m_onClosed = std::move(aOnClosed);
  m_onRead = std::move(aOnRead);
  m_openedAt = Clock::now();
  m_lastReceived = m_openedAt;
  asio::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay{ true }, ignored);
  Read();
}

void
LinkConnection::ResizeReadBuffer()
{
  if (m_unparsedBytes == 0 && m_readBuffer.size() > kReadBytes) {
    m_readBuffer.resize(kReadBytes);
    m_readBuffer.shrink_to_fit();
  }
  if (m_readBuffer.size() - m_unparsedBytes < kReadBytes / 2) {
    m_readBuffer.resize(std::max(kReadBytes, 2 * m_readBuffer.size()));
  }
}

void
LinkConnection::Read()
{
  ResizeReadBuffer();
  m_socket.async_read_some(
    asio::buffer(m_readBuffer.data() + m_unparsedBytes,
                 m_readBuffer.size() - m_unparsedBytes),
    [self = Pointer{ this }](const asio::error_code& aError,
                             std::size_t aSize) {
      if (aError) {
        self->CloseSocket(true,
                          aError == asio::error::eof
                            ? LinkCloseCause::Peer
                            : LinkCloseCause::ReadFailed);
        return;
      }
      self->m_unparsedBytes += aSize;
      self->OnRead(aSize);
    });
}

void
LinkConnection::OnRead(std::size_t aBytes)
{
  m_lastReceived = Clock::now();
  const std::string_view received{ m_readBuffer.data(), m_unparsedBytes };
  std::size_t at = 0;
  while (m_isOpen && received.size() - at >= kFrameLengthBytes) {
    const std::size_t length = FrameLength(received.data() + at);
    if (length > kMaxFrameBytes) {
      CloseSocket(true, LinkCloseCause::InvalidFrame);
      return;
    }
    if (received.size() - at - kFrameLengthBytes < length) {
      break;
    }
    if (!m_inflater) {
      m_inflater = std::make_unique<LinkInflater>();
    }
    auto frame = DecodeFrame(received.substr(at + kFrameLengthBytes, length),
                             m_inflater.get());
    if (!frame) {
      // The start of the next frame is unknown after an invalid frame.
      CloseSocket(true, LinkCloseCause::InvalidFrame);
      return;
    }
    at += kFrameLengthBytes + length;
    auto complete = m_assembler.Take(std::move(frame.value()));
    if (!complete) {
      CloseSocket(true, LinkCloseCause::InvalidFrame);
      return;
    }
    if (complete.value()) {
      m_onFrame(*this, std::move(*complete.value()));
    }
  }
  m_unparsedBytes -= at;
  std::memmove(m_readBuffer.data(), m_readBuffer.data() + at, m_unparsedBytes);
  if (m_isOpen && m_onRead) {
    m_onRead(*this, aBytes);
  }
  if (m_isOpen) {
    Read();
  }
}

void
LinkConnection::SetCrossesDomains()
{
  m_crossesDomains = true;
  m_deflater = std::make_unique<LinkDeflater>();
}

void
LinkConnection::Encode(const LinkFrame& aFrame)
{
  const std::size_t before = m_encoded.size();
  AppendFrame(m_encoded, aFrame, m_deflater.get());
  m_meter.Add(PurposeOf(aFrame), m_crossesDomains, m_encoded.size() - before);
}

bool
LinkConnection::CanSend(const LinkFrame& aFrame) const noexcept
{
  return m_takesParts || BodySizeOf(aFrame) <= kMaxWholeBodyBytes;
}

void
LinkConnection::Send(LinkFrame aFrame)
{
  if (!m_isOpen || m_hasWriteFailed || m_isFinishing) {
    return;
  }
  const std::size_t bodySize = BodySizeOf(aFrame);
  if (bodySize > LinkPacer::kPartBytes) {
    Body body = std::exchange(*BodyOf(aFrame), {});
    m_largeFrames.push_back(
      { std::move(aFrame), std::move(body), LinkTurn{ m_pacer, bodySize } });
  } else {
    Encode(aFrame);
  }
  if (!m_isWriting) {
    Write();
  }
}

void
LinkConnection::Write()
{
  if (!m_encoded.empty() && !IsInsideFrame()) {
    if (m_pacer != nullptr) {
      static_cast<void>(m_pacer->Reserve(Clock::now(), m_encoded.size()));
    }
    m_writeBuffer.swap(m_encoded);
    m_written = 0;
    m_isWriting = true;
    WritePart();
    return;
  }
  if (m_currentLarge) {
    if (m_isPartDue) {
      WriteBodyPart();
    }
    return;
  }
  if (m_isFinishing && m_largeFrames.empty()) {
    EndOutput();
  }
  ScheduleLargeFrame();
}

void
LinkConnection::ScheduleLargeFrame()
{
  if (m_largeFrames.empty() || m_isLargeScheduled) {
    return;
  }
  m_isLargeScheduled = true;
  m_turnTimer.expires_after(m_largeFrames.front().m_turn.Reserve(Clock::now()));
  m_turnTimer.async_wait(
    [self = Pointer{ this }](const asio::error_code& aError) {
      self->m_isLargeScheduled = false;
      if (aError || !self->m_isOpen || self->m_hasWriteFailed) {
        return;
      }
      self->m_currentLarge = std::move(self->m_largeFrames.front());
      self->m_largeFrames.pop_front();
      self->m_isPartDue = true;
      if (!self->m_isWriting) {
        self->Write();
      }
    });
}

void
LinkConnection::WritePart()
{
  const std::size_t left = m_writeBuffer.size() - m_written;
  const std::size_t size =
    m_pacer != nullptr ? std::min(left, LinkPacer::kPartBytes) : left;
  asio::async_write(m_socket,
                    asio::buffer(m_writeBuffer.data() + m_written, size),
                    [self = Pointer{ this }](const asio::error_code& aError,
                                             std::size_t aWritten) {
                      self->m_bytesSent += aWritten;
                      if (aError) {
                        self->OnWriteFailed();
                        return;
                      }
                      self->OnPartWritten(aWritten);
                    });
}

void
LinkConnection::EncodePartHead(std::size_t aBodyBytes)
{
  LargeFrame& large = *m_currentLarge;
  m_partHead.clear();
  if (large.m_sent == 0) {
    const std::size_t bodySize = large.m_body.Size();
    if (m_takesParts) {
      *BodyBytesToFollow(large.m_frame) = bodySize;
    }
    AppendFrameHead(
      m_partHead, large.m_frame, m_takesParts ? 0 : bodySize, m_deflater.get());
  }
  if (m_takesParts) {
    AppendFrameHead(m_partHead, LinkBodyPart{}, aBodyBytes);
  }
}

void
LinkConnection::WriteBodyPart()
{
  const LargeFrame& large = *m_currentLarge;
  const std::size_t size =
    std::min(large.m_body.Size() - large.m_sent, LinkPacer::kPartBytes);
  EncodePartHead(size);
  m_meter.Add(
    PurposeOf(large.m_frame), m_crossesDomains, m_partHead.size() + size);
  m_isPartDue = false;
  m_isWriting = true;
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(m_partHead),
    asio::buffer(large.m_body.Data() + large.m_sent, size)
  };
  asio::async_write(m_socket,
                    buffers,
                    [self = Pointer{ this }, body = large.m_body, size](
                      const asio::error_code& aError, std::size_t aWritten) {
                      self->m_bytesSent += aWritten;
                      if (aError) {
                        self->OnWriteFailed();
                        return;
                      }
                      self->OnBodyPartWritten(size);
                    });
}

void
LinkConnection::OnBodyPartWritten(std::size_t aBodyBytes)
{
  m_isWriting = false;
  if (!m_isOpen) {
    return;
  }
  LargeFrame& large = *m_currentLarge;
  large.m_sent += aBodyBytes;
  large.m_turn.OnSent(aBodyBytes);
  if (large.m_sent == large.m_body.Size()) {
    m_currentLarge.reset();
    Write();
    return;
  }
  if (m_pacer == nullptr || !m_pacer->IsEnabled()) {
    m_isPartDue = true;
    Write();
    return;
  }
  // The link time of the entire frame is reserved; spread its parts over it.
  m_bodyTimer.expires_after(m_pacer->TransmissionTime(aBodyBytes));
  m_bodyTimer.async_wait(
    [self = Pointer{ this }](const asio::error_code& aError) {
      if (aError || !self->m_currentLarge) {
        return;
      }
      self->m_isPartDue = true;
      if (!self->m_isWriting) {
        self->Write();
      }
    });
  Write();
}

void
LinkConnection::OnWriteFailed()
{
  // The pending read closes the connection after the frames that arrived.
  m_hasWriteFailed = true;
  m_isWriting = false;
  m_writeBuffer.clear();
  m_encoded.clear();
  DropLargeFrames();
}

void
LinkConnection::DropLargeFrames()
{
  m_turnTimer.cancel();
  m_bodyTimer.cancel();
  m_currentLarge.reset();
  m_largeFrames.clear();
}

void
LinkConnection::OnPartWritten(std::size_t aSize)
{
  m_written += aSize;
  if (m_written < m_writeBuffer.size()) {
    if (!m_isOpen) {
      return;
    }
    // The link time of the entire buffer is reserved; spread its parts over it.
    m_partTimer.expires_after(m_pacer->TransmissionTime(aSize));
    m_partTimer.async_wait(
      [self = Pointer{ this }](const asio::error_code& aError) {
        if (!aError && self->m_isOpen) {
          self->WritePart();
        }
      });
    return;
  }
  m_isWriting = false;
  m_writeBuffer.clear();
  if (m_writeBuffer.capacity() > LinkPacer::kPartBytes) {
    m_writeBuffer.shrink_to_fit();
  }
  if (m_isOpen) {
    Write();
  }
}

void
LinkConnection::AddTo(LinkCounts& aCounts) noexcept
{
  if (!m_isOpen) {
    return;
  }
  ++aCounts.m_open;
  aCounts.m_withUnsentFrames += HasUnsent() ? 1 : 0;
  aCounts.m_queues += QueuesOf(m_socket);
}

void
LinkConnection::Finish()
{
  if (!m_isOpen || m_isFinishing) {
    return;
  }
  m_isFinishing = true;
  if (!HasUnsent()) {
    EndOutput();
  }
}

void
LinkConnection::EndOutput()
{
  asio::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void
LinkConnection::Abort()
{
  asio::error_code ignored;
  m_socket.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  CloseSocket(false, LinkCloseCause::Owner);
}

void
LinkConnection::Close()
{
  CloseSocket(true, LinkCloseCause::Owner);
}

void
LinkConnection::CloseSocket(bool aIsOrderly, LinkCloseCause aCause)
{
  if (!m_isOpen) {
    return;
  }
  m_close = { m_hasWriteFailed ? LinkCloseCause::WriteFailed : aCause,
              QueuesOf(m_socket),
              HasUnsent() };
  m_isOpen = false;
  m_partTimer.cancel();
  DropLargeFrames();
  asio::error_code ignored;
  if (aIsOrderly) {
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
  m_socket.close(ignored);
  asio::post(m_socket.get_executor(),
             [self = Pointer{ this }] { self->ReportClosed(); });
}

void
LinkConnection::ReportClosed()
{
  if (m_isCloseReported) {
    return;
  }
  m_isCloseReported = true;
  const ClosedHandler onClosed = std::move(m_onClosed);
  m_onFrame = nullptr;
  m_onRead = nullptr;
  if (onClosed) {
    onClosed(*this);
  }
}

}
