#include "paced_writer.hpp"

#include <algorithm>
#include <asio/completion_condition.hpp>
#include <asio/write.hpp>
#include <utility>

namespace greengagehub {

void
PacedWriter::Write(LinkPacer* aPacer,
                   std::string aHead,
                   Body aBody,
                   Handler aDone)
{
  m_pacer = aPacer;
  m_head = std::move(aHead);
  m_body = std::move(aBody);
  m_written = 0;
  m_sent = 0;
  const TimePoint now = Clock::now();
  const bool isLarge = Size() > LinkPacer::kPartBytes;
  if (m_pacer != nullptr && m_pacer->IsEnabled() && isLarge) {
    m_turn = LinkTurn{ m_pacer, Size() };
    WaitAndWritePart(m_turn.Reserve(now), std::move(aDone));
    return;
  }
  if (m_pacer != nullptr) {
    static_cast<void>(m_pacer->Reserve(now, Size()));
  }
  WriteAll(std::move(aDone));
}

std::array<asio::const_buffer, 2>
PacedWriter::Next(std::size_t aSize) const noexcept
{
  const std::size_t fromHead = std::min(m_written, m_head.size());
  const auto head = asio::buffer(asio::buffer(m_head) + fromHead, aSize);
  const auto body = asio::buffer(m_body.Data(), m_body.Size());
  return { head,
           asio::buffer(body + (m_written - fromHead), aSize - head.size()) };
}

template<class OnSent>
void
PacedWriter::Send(std::size_t aSize, OnSent aOnSent)
{
  m_isSending = true;
  const auto count = [this](const asio::error_code& aError,
                            std::size_t aSent) -> std::size_t {
    m_sent = m_written + aSent;
    return asio::transfer_all()(aError, aSent);
  };
  asio::async_write(
    m_socket,
    Next(aSize),
    count,
    [this, onSent = std::move(aOnSent)](const asio::error_code& aError,
                                        std::size_t aSent) mutable {
      m_isSending = false;
      onSent(aError, aSent);
    });
}

void
PacedWriter::WriteAll(Handler aDone)
{
  Send(Size(),
       [this, done = std::move(aDone)](const asio::error_code& aError,
                                       std::size_t) { Finish(aError, done); });
}

void
PacedWriter::WaitAndWritePart(Duration aDelay, Handler aDone)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait(
    [this, done = std::move(aDone)](const asio::error_code& aError) mutable {
      if (aError) {
        Finish(aError, done);
      } else {
        WritePart(std::move(done));
      }
    });
}

void
PacedWriter::WritePart(Handler aDone)
{
  Send(LinkPacer::kPartBytes,
       [this, done = std::move(aDone)](const asio::error_code& aError,
                                       std::size_t aSize) mutable {
         if (aError) {
           Finish(aError, done);
         } else {
           OnPartWritten(aSize, std::move(done));
         }
       });
}

void
PacedWriter::OnPartWritten(std::size_t aSize, Handler aDone)
{
  m_written += aSize;
  m_turn.OnSent(aSize);
  if (m_written == Size()) {
    Finish({}, aDone);
    return;
  }
  // The link time of the entire message is reserved; spread its parts over it.
  WaitAndWritePart(m_pacer->TransmissionTime(aSize), std::move(aDone));
}

void
PacedWriter::Finish(const asio::error_code& aError, const Handler& aDone)
{
  m_turn = {};
  m_head = {};
  m_body = {};
  aDone(aError);
}

}
