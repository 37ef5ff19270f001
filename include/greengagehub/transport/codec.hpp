#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/transport/bulk_message.hpp"
#include "greengagehub/transport/link_deflate.hpp"
#include "greengagehub/transport/link_frame.hpp"

#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Encodes a datagram. If it exceeds `aMaxBytes`, member records are
/// dropped from the end, then version entries.
[[nodiscard]] std::string
EncodeGossip(const GossipMessage& aMessage, std::size_t aMaxBytes);
/// \returns The message, or ErrorCode::Corrupt.
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

/// \brief Appends a frame: frame length and head length (4 bytes each, big
/// endian), the head as protobuf, then the raw body of a call or answer.
/// \param aDeflater compresses the head, which sets the top bit of the head
/// length; nullptr sends the head uncompressed.
void
AppendFrame(std::string& aOut,
            const LinkFrame& aFrame,
            LinkDeflater* aDeflater = nullptr);
/// \brief Appends a frame up to its body.
/// \param aBodyBytes size of the body, which the caller sends.
void
AppendFrameHead(std::string& aOut,
                const LinkFrame& aFrame,
                std::size_t aBodyBytes,
                LinkDeflater* aDeflater = nullptr);
/// \param aBytes one frame without the leading frame length.
/// \param aInflater decompresses heads; nullptr rejects compressed heads.
/// \returns The frame, or ErrorCode::Corrupt.
[[nodiscard]] Outcome<LinkFrame>
DecodeFrame(std::string_view aBytes, LinkInflater* aInflater = nullptr);

inline constexpr std::size_t kFrameLengthBytes = 4;
/// Maximum frame length; a longer frame closes the connection. Larger bodies
/// are sent in parts.
inline constexpr std::size_t kMaxFrameBytes = 32UL * 1024 * 1024;
/// \param aHeader at least kFrameLengthBytes bytes.
/// \returns Length of the frame that follows, in bytes.
[[nodiscard]] std::size_t
FrameLength(const char* aHeader) noexcept;

}
