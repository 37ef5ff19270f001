#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/transport/bulk_message.hpp"
#include "greengagehub/transport/link_deflate.hpp"
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

/// \brief Appends a frame: its length, then the length of its head, both in 4
/// bytes, big endian; the head in protobuf; the body of a call or answer as is.
/// \param aDeflater deflates the head, and marks it by the top bit of its
/// length; nullptr leaves it as it is.
void
AppendFrame(std::string& aOut,
            const LinkFrame& aFrame,
            LinkDeflater* aDeflater = nullptr);
/// \param aBytes one frame without its length.
/// \param aInflater for heads that are deflated; without it they are an error.
[[nodiscard]] Outcome<LinkFrame>
DecodeFrame(std::string_view aBytes, LinkInflater* aInflater = nullptr);

/// Bytes of the length in front of a frame.
inline constexpr std::size_t kFrameHeader = 4;
/// Largest frame taken; a longer one closes the link.
inline constexpr std::size_t kMaxFrame = 32UL * 1024 * 1024;
/// \returns Length of the frame that starts here; needs kFrameHeader bytes.
[[nodiscard]] std::size_t
FrameLength(const char* aHeader) noexcept;

}
