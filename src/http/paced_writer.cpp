#include "paced_writer.hpp"

#include <algorithm>
#include <asio/write.hpp>
#include <utility>

namespace greengagehub {

void
PacedWriter::Write(LinkPacer* aPacer, std::string aText, Handler aDone)
{
  m_pacer = aPacer;
  m_text = std::move(aText);
  m_written = 0;
  const TimePoint now = Clock::now();
  const bool isLarge = m_text.size() > LinkPacer::kPartBytes;
  if (m_pacer != nullptr && m_pacer->IsEnabled() && isLarge) {
    m_turn = LinkTurn{ m_pacer, m_text.size() };
    WaitAndWritePart(m_turn.Reserve(now), std::move(aDone));
    return;
  }
  if (m_pacer != nullptr) {
    static_cast<void>(m_pacer->Reserve(now, m_text.size()));
  }
  WriteAll(std::move(aDone));
}

void
PacedWriter::WriteAll(Handler aDone)
{
  asio::async_write(
    m_socket,
    asio::buffer(m_text),
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
  const std::size_t size =
    std::min(m_text.size() - m_written, LinkPacer::kPartBytes);
  asio::async_write(
    m_socket,
    asio::buffer(m_text.data() + m_written, size),
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
  if (m_written == m_text.size()) {
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
  m_text.clear();
  m_text.shrink_to_fit();
  aDone(aError);
}

}
