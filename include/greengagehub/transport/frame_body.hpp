#pragma once

#include "greengagehub/transport/link_frame.hpp"

#include <concepts>
#include <cstdint>
#include <type_traits>

namespace greengagehub {

template<class Frame>
concept LinkFrameLike = std::same_as<std::remove_const_t<Frame>, LinkFrame>;

/// \returns The body of a call, an answer or a part; nullptr: the frame has
/// none.
template<LinkFrameLike Frame>
[[nodiscard]] auto*
BodyOf(Frame& aFrame) noexcept
{
  using Pointer = decltype(&std::get<CallRequest>(aFrame).m_body);
  if (auto* request = std::get_if<CallRequest>(&aFrame)) {
    return Pointer{ &request->m_body };
  }
  if (auto* answer = std::get_if<CallAnswer>(&aFrame)) {
    return Pointer{ &answer->m_response.m_body };
  }
  auto* part = std::get_if<LinkBodyPart>(&aFrame);
  return part != nullptr ? Pointer{ &part->m_bytes } : nullptr;
}

/// \returns Size of the body that follows in parts, 0 for none; nullptr: the
/// frame is no call or answer.
template<LinkFrameLike Frame>
[[nodiscard]] auto*
BodyBytesToFollow(Frame& aFrame) noexcept
{
  using Pointer = decltype(&std::get<CallRequest>(aFrame).m_bodyBytesToFollow);
  if (auto* request = std::get_if<CallRequest>(&aFrame)) {
    return Pointer{ &request->m_bodyBytesToFollow };
  }
  auto* answer = std::get_if<CallAnswer>(&aFrame);
  return answer != nullptr ? Pointer{ &answer->m_bodyBytesToFollow } : nullptr;
}

}
