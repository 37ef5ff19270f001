#include "greengagehub/transport/body_assembler.hpp"

#include "greengagehub/transport/frame_body.hpp"

namespace greengagehub {

namespace {

ByteUse
UseOf(const LinkFrame& aFrame, std::uint64_t aBytes) noexcept
{
  return std::holds_alternative<CallAnswer>(aFrame)
           ? ByteBudget::UseOfAnswer(aBytes)
           : ByteBudget::UseOfRequest(aBytes);
}

LinkFrame
WithoutBody(LinkFrame aFrame)
{
  if (auto* request = std::get_if<CallRequest>(&aFrame)) {
    request->m_isBodyDropped = true;
  } else if (auto* answer = std::get_if<CallAnswer>(&aFrame)) {
    answer->m_outcome = CallOutcome::Unknown;
    answer->m_reason = RefusalReason::AnswerLost;
    answer->m_response = {};
  }
  return aFrame;
}

}

Outcome<std::optional<LinkFrame>>
BodyAssembler::Take(LinkFrame aFrame)
{
  if (const auto* part = std::get_if<LinkBodyPart>(&aFrame)) {
    return Append(*part);
  }
  const auto* toFollow = BodyBytesToFollow(aFrame);
  if (toFollow == nullptr || *toFollow == 0) {
    return std::optional<LinkFrame>{ std::move(aFrame) };
  }
  if (m_bytesLeft > 0) {
    return Error{ ErrorCode::Corrupt, "frame: a body begins inside another" };
  }
  return Begin(std::move(aFrame));
}

std::optional<LinkFrame>
BodyAssembler::Begin(LinkFrame aFrame)
{
  m_bytesLeft = std::exchange(*BodyBytesToFollow(aFrame), 0);
  if (m_budget) {
    ByteReservation reserved =
      m_budget->Reserve(m_bytesLeft, UseOf(aFrame, m_bytesLeft));
    if (reserved.Bytes() != m_bytesLeft) {
      m_frame.reset();
      return WithoutBody(std::move(aFrame));
    }
    m_body.AddRoom(m_bytesLeft, std::move(reserved));
  }
  m_frame = std::move(aFrame);
  return std::nullopt;
}

Outcome<std::optional<LinkFrame>>
BodyAssembler::Append(const LinkBodyPart& aPart)
{
  const std::size_t bytes = aPart.m_bytes.Size();
  if (bytes == 0 || bytes > m_bytesLeft) {
    return Error{ ErrorCode::Corrupt, "frame: unexpected part of a body" };
  }
  m_bytesLeft -= bytes;
  if (!m_frame) {
    return std::optional<LinkFrame>{};
  }
  m_body.Append(aPart.m_bytes);
  if (m_bytesLeft > 0) {
    return std::optional<LinkFrame>{};
  }
  *BodyOf(*m_frame) = Body{ std::exchange(m_body, BodyBuffer{}) };
  return std::exchange(m_frame, std::nullopt);
}

}
