#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/transport/bulk_message.hpp"
#include "greengagehub/transport/link_frame.hpp"

#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Encodes a datagram; leaves out membership records, then entries,
/// until it fits.
[[nodiscard]] std::string
EncodeGossip(const GossipMessage& aMessage, std::size_t aMaxBytes);
[[nodiscard]] Outcome<GossipMessage>
DecodeGossip(std::string_view aBytes);

[[nodiscard]] std::string
EncodePullRequest(const PullRequest& aRequest);
[[nodiscard]] Outcome<PullRequest>
DecodePullRequest(std::string_view aBytes);
[[nodiscard]] std::string
EncodePullAnswer(const PullAnswer& aAnswer);
[[nodiscard]] Outcome<PullAnswer>
DecodePullAnswer(std::string_view aBytes);

/// \brief Appends a frame with its length in front (4 bytes, big endian).
void
AppendFrame(std::string& aOut, const LinkFrame& aFrame);
/// \param aBytes one frame without its length.
[[nodiscard]] Outcome<LinkFrame>
DecodeFrame(std::string_view aBytes);

/// Bytes of the length in front of a frame.
inline constexpr std::size_t kFrameHeader = 4;
/// Largest frame taken; a longer one closes the link.
inline constexpr std::size_t kMaxFrame = 32UL * 1024 * 1024;
/// \returns Length of the frame that starts here; needs kFrameHeader bytes.
[[nodiscard]] std::size_t
FrameLength(const char* aHeader) noexcept;

}
