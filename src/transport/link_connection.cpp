#include "greengagehub/transport/link_connection.hpp"

#include "greengagehub/transport/codec.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cstring>

namespace greengagehub {

namespace {

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
  if (const auto* answer = std::get_if<CallAnswer>(&aFrame)) {
    return answer->m_response.m_body.size();
  }
  const auto* request = std::get_if<CallRequest>(&aFrame);
  return request != nullptr ? request->m_body.size() : 0;
}

}

LinkConnection::LinkConnection(asio::ip::tcp::socket aSocket,
                               TrafficMeter& aMeter,
                               LinkPacer* aPacer)
  : m_socket(std::move(aSocket))
  , m_meter(aMeter)
  , m_pacer(aPacer)
  , m_pause(m_socket.get_executor())
{
}

void
LinkConnection::Start(OnFrame aOnFrame, OnClosed aOnClosed)
{
  m_onFrame = std::move(aOnFrame);
  m_onClosed = std::move(aOnClosed);
  m_opened = Clock::now();
  m_lastReceived = m_opened;
  asio::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay{ true }, ignored);
  Read();
}

void
LinkConnection::MakeRoom()
{
  if (m_filled == 0 && m_in.size() > kReadBytes) {
    m_in.resize(kReadBytes);
    m_in.shrink_to_fit();
  }
  if (m_in.size() - m_filled < kReadBytes / 2) {
    m_in.resize(std::max(kReadBytes, 2 * m_in.size()));
  }
}

void
LinkConnection::Read()
{
  MakeRoom();
  m_socket.async_read_some(
    asio::buffer(m_in.data() + m_filled, m_in.size() - m_filled),
    [self = Pointer{ this }](const asio::error_code& aError,
                             std::size_t aSize) {
      if (aError) {
        self->Close();
        return;
      }
      self->m_filled += aSize;
      self->OnRead();
    });
}

void
LinkConnection::OnRead()
{
  m_lastReceived = Clock::now();
  const std::string_view received{ m_in.data(), m_filled };
  std::size_t at = 0;
  while (m_open && received.size() - at >= kFrameHeader) {
    const std::size_t length = FrameLength(received.data() + at);
    if (length > kMaxFrame) {
      Close();
      return;
    }
    if (received.size() - at - kFrameHeader < length) {
      break;
    }
    if (!m_inflater) {
      m_inflater = std::make_unique<LinkInflater>();
    }
    auto frame =
      DecodeFrame(received.substr(at + kFrameHeader, length), m_inflater.get());
    if (!frame) {
      // Garbage: nothing after it can be trusted to be a frame.
      Close();
      return;
    }
    at += kFrameHeader + length;
    m_onFrame(*this, std::move(frame.value()));
  }
  m_filled -= at;
  std::memmove(m_in.data(), m_in.data() + at, m_filled);
  if (m_open) {
    Read();
  }
}

void
LinkConnection::SetFar()
{
  m_isFar = true;
  m_deflater = std::make_unique<LinkDeflater>();
}

void
LinkConnection::Append(const LinkFrame& aFrame)
{
  const std::size_t before = m_out.size();
  AppendFrame(m_out, aFrame, m_deflater.get());
  m_meter.Add(PurposeOf(aFrame), m_isFar, m_out.size() - before);
}

void
LinkConnection::Send(const LinkFrame& aFrame)
{
  if (!m_open) {
    return;
  }
  if (m_pacer != nullptr && BodySizeOf(aFrame) > LinkPacer::kPart) {
    m_large.push_back(aFrame);
  } else {
    Append(aFrame);
  }
  if (m_writing.empty()) {
    Write();
  }
}

void
LinkConnection::Write()
{
  if (m_out.empty()) {
    WriteLarge();
    return;
  }
  if (m_pacer != nullptr) {
    static_cast<void>(m_pacer->Reserve(Clock::now(), m_out.size()));
  }
  m_writing.swap(m_out);
  m_written = 0;
  WritePart();
}

void
LinkConnection::WriteLarge()
{
  if (m_large.empty() || m_isPaused) {
    return;
  }
  m_isPaused = true;
  m_pause.expires_after(
    m_pacer->Reserve(Clock::now(), BodySizeOf(m_large.front())));
  m_pause.async_wait([self = Pointer{ this }](const asio::error_code& aError) {
    self->m_isPaused = false;
    if (aError || !self->m_open) {
      return;
    }
    // Behind what was sent meanwhile.
    self->Append(self->m_large.front());
    self->m_large.pop_front();
    if (self->m_writing.empty()) {
      self->m_writing.swap(self->m_out);
      self->m_written = 0;
      self->WritePart();
    }
  });
}

void
LinkConnection::WritePart()
{
  const std::size_t left = m_writing.size() - m_written;
  const std::size_t size =
    m_pacer != nullptr ? std::min(left, LinkPacer::kPart) : left;
  asio::async_write(m_socket,
                    asio::buffer(m_writing.data() + m_written, size),
                    [self = Pointer{ this }](const asio::error_code& aError,
                                             std::size_t aWritten) {
                      self->m_bytesSent += aWritten;
                      if (aError) {
                        self->m_writing.clear();
                        self->Close();
                        return;
                      }
                      self->OnPartWritten(aWritten);
                    });
}

void
LinkConnection::OnPartWritten(std::size_t aSize)
{
  m_written += aSize;
  if (m_written < m_writing.size()) {
    if (!m_open) {
      return;
    }
    // The time of the whole frame on the link is reserved; its parts leave
    // evenly over it.
    m_pause.expires_after(m_pacer->TimeOf(aSize));
    m_pause.async_wait(
      [self = Pointer{ this }](const asio::error_code& aError) {
        if (!aError && self->m_open) {
          self->WritePart();
        }
      });
    return;
  }
  m_writing.clear();
  if (m_writing.capacity() > LinkPacer::kPart) {
    // Room for a large frame is not kept on each connection.
    m_writing.shrink_to_fit();
  }
  if (m_open) {
    Write();
  }
}

void
LinkConnection::Abort()
{
  asio::error_code ignored;
  m_socket.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  Shut(false);
}

void
LinkConnection::Close()
{
  Shut(true);
}

void
LinkConnection::Shut(bool aOrderly)
{
  if (!m_open) {
    return;
  }
  m_open = false;
  m_pause.cancel();
  asio::error_code ignored;
  if (aOrderly) {
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
  m_socket.close(ignored);
  asio::post(m_socket.get_executor(),
             [self = Pointer{ this }] { self->Closed(); });
}

void
LinkConnection::Closed()
{
  if (m_reported) {
    return;
  }
  m_reported = true;
  const OnClosed onClosed = std::move(m_onClosed);
  m_onFrame = nullptr;
  if (onClosed) {
    onClosed(*this);
  }
}

}
