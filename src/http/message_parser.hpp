#pragma once

#include "greengagehub/http/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Takes one HTTP/1.1 message after the other out of a stream of bytes.
///
/// Stops exactly behind each message, so that bytes that follow it are never
/// taken for a part of it.
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
    Complete,
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
  };
  struct Limits
  {
    std::size_t m_headBytes{ 64UL * 1024 };
    std::size_t m_bodyBytes{ 64UL * 1024 * 1024 };
  };

  explicit MessageParser(Side aSide) noexcept;
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// \brief Forgets the message before; `aHead` marks the next response as one
  /// to a HEAD request, which has no body whatever its head says.
  void Reset(bool aHead = false) noexcept;
  void SetLimits(Limits aLimits) noexcept { m_limits = aLimits; }

  /// \param aConsumed how many of the bytes belong to the message.
  [[nodiscard]] Status Feed(std::string_view aBytes, std::size_t& aConsumed);
  /// \brief The stream ended; completes a response that has no length.
  [[nodiscard]] Status Finish();

  /// \returns Whether a byte of the message was seen.
  [[nodiscard]] bool HasBegun() const noexcept { return m_begun; }
  [[nodiscard]] bool HasHead() const noexcept { return m_hasHead; }
  [[nodiscard]] bool KeepsAlive() const noexcept { return m_keepsAlive; }
  [[nodiscard]] std::uint16_t ResponseStatus() const noexcept
  {
    return static_cast<std::uint16_t>(m_parser.status_code);
  }
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string& Target() noexcept { return m_target; }
  [[nodiscard]] std::vector<HttpHeader>& Headers() noexcept
  {
    return m_headers;
  }
  [[nodiscard]] std::string& Body() noexcept { return m_body; }

private:
  struct Callbacks;

  /// A route by one host and a worker that goes by the other would disagree.
  [[nodiscard]] bool HasTwoHosts() const;

  http_parser m_parser{};
  Side m_side;
  Limits m_limits{};
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  std::size_t m_headBytes{ 0 };
  bool m_isHead{ false };
  bool m_begun{ false };
  bool m_hasHead{ false };
  bool m_complete{ false };
  bool m_keepsAlive{ false };
  bool m_bodyTooLarge{ false };
  /// The last piece of a header was a part of its value.
  bool m_inValue{ false };
};

}
