#pragma once

#include "greengagehub/core/body.hpp"
#include "greengagehub/http/http_message.hpp"
#include "greengagehub/http/response_fault.hpp"

#include "line_end_check.hpp"
#include "status_line_check.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Incremental parser for HTTP/1.1 messages.
///
/// Parsing stops exactly at the end of each message and does not consume the
/// bytes that follow.
class MessageParser
{
public:
  enum class Side : std::uint8_t
  {
    Requests,
    Responses,
  };
  enum class Status : std::uint8_t
  {
    NeedsMore,
    /// The body does not fit the budget; Provide() continues.
    NeedsRoom,
    Complete,
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
  };
  struct Limits
  {
    std::size_t m_headBytes{ 64UL * 1024 };
    std::size_t m_bodyBytes{ 64UL * 1024 * 1024 };
    /// Where larger than m_bodyBytes, the limit of bodies whose length is
    /// announced.
    std::size_t m_announcedBodyBytes{ 0 };
  };
  /// Bytes of chunk framing allowed for each byte of a body, in addition to
  /// Limits::m_headBytes; chunks of one byte need five.
  static constexpr std::size_t kMaxFramingPerByte = 8;

  explicit MessageParser(Side aSide) noexcept;
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// \param aIsHeadRequest the next response answers a HEAD request, so it has
  /// no body regardless of its headers.
  void Reset(bool aIsHeadRequest = false) noexcept;
  void SetLimits(Limits aLimits) noexcept { m_limits = aLimits; }
  /// \param aBudget holds the bodies; nullptr: they have no common bound.
  void UseBudget(ByteBudget::Pointer aBudget) noexcept
  {
    m_budget = std::move(aBudget);
  }

  /// \param aConsumed set to the number of bytes that belong to the message.
  [[nodiscard]] Status Feed(std::string_view aBytes, std::size_t& aConsumed);
  /// \brief Signals the end of the stream, which ends a response without a
  /// length.
  [[nodiscard]] Status Finish();

  /// \returns Bytes to reserve after Status::NeedsRoom.
  [[nodiscard]] std::size_t MissingRoom() const noexcept
  {
    return m_missingRoom;
  }
  /// \returns What the missing bytes are reserved for.
  [[nodiscard]] ByteUse UseOf(std::size_t aBytes) const noexcept;
  /// \brief Adds the missing room, so that Feed() can continue.
  void Provide(ByteReservation aReservation);
  /// \returns Bytes of the body received so far.
  [[nodiscard]] std::size_t BodyBytes() const noexcept { return m_body.Size(); }
  /// \returns Bytes allocated for the body, of which BodyBytes() are received.
  [[nodiscard]] std::size_t HeldBytes() const noexcept
  {
    return m_body.Size() + m_body.Room();
  }
  /// \returns Bytes of the message consumed so far, with head and framing.
  [[nodiscard]] std::size_t MessageBytes() const noexcept
  {
    return m_messageBytes;
  }
  /// \returns Whether any byte of the message was received.
  [[nodiscard]] bool HasBegun() const noexcept { return m_hasBegun; }
  [[nodiscard]] bool HasHead() const noexcept { return m_hasHead; }
  [[nodiscard]] bool KeepsAlive() const noexcept { return m_keepsAlive; }
  [[nodiscard]] std::uint16_t ResponseStatus() const noexcept
  {
    return static_cast<std::uint16_t>(m_parser.status_code);
  }
  /// \returns The cause of Status::Malformed.
  [[nodiscard]] ResponseFault Fault() const noexcept { return m_fault; }
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string& Target() noexcept { return m_target; }
  [[nodiscard]] std::vector<HttpHeader>& Headers() noexcept
  {
    return m_headers;
  }
  [[nodiscard]] Body TakeBody()
  {
    return Body{ std::exchange(m_body, BodyBuffer{}) };
  }

private:
  struct Callbacks;

  /// A request with several Host headers is rejected, since routing and the
  /// backend server might use different ones.
  [[nodiscard]] bool HasDuplicateHost() const;
  /// \brief Reserves room for a body of known length.
  void ReserveBody(std::uint64_t aLength);
  [[nodiscard]] std::size_t MaxBodyBytes(bool aIsAnnounced) const noexcept
  {
    return aIsAnnounced
             ? std::max(m_limits.m_bodyBytes, m_limits.m_announcedBodyBytes)
             : m_limits.m_bodyBytes;
  }
  /// \brief Checks what was parsed since the last bytes of the body.
  /// \param aEnd behind it, within the bytes of the current Feed().
  void CheckLineEnds(const char* aEnd) noexcept;
  void AppendToBody(std::string_view aBytes);
  void AwaitRoom(std::size_t aBytes) noexcept;
  Status Malformed(ResponseFault aFault) noexcept;

  /// \returns Whether chunk extensions or trailers outweigh the body.
  [[nodiscard]] bool HasTooMuchFraming() const noexcept
  {
    return m_messageBytes >
           m_limits.m_headBytes + m_body.Size() * (1 + kMaxFramingPerByte);
  }

  http_parser m_parser{};
  std::size_t m_messageBytes{ 0 };
  Side m_side;
  Limits m_limits{};
  StatusLineCheck m_statusLine;
  LineEndCheck m_lineEnds;
  /// Within the bytes of the current Feed().
  const char* m_unchecked{ nullptr };
  ResponseFault m_fault{ ResponseFault::None };
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  BodyBuffer m_body;
  ByteBudget::Pointer m_budget;
  std::size_t m_missingRoom{ 0 };
  std::size_t m_headBytes{ 0 };
  bool m_isHeadResponse{ false };
  bool m_isLengthAnnounced{ false };
  bool m_hasBegun{ false };
  bool m_hasHead{ false };
  bool m_isComplete{ false };
  bool m_keepsAlive{ false };
  bool m_isBodyTooLarge{ false };
  /// The last callback was for a header value, so the next name starts a new
  /// header.
  bool m_isInValue{ false };
};

}
