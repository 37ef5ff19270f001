#pragma once

#include "greengagehub/http/http_message.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace greengagehub {

/// \brief Checks the version and the status of a response.
///
/// http_parser and libcurl accept other versions than HTTP/1.x, and numbers
/// that are not a status, such as 000 or 0200.
class StatusLineCheck
{
public:
  /// \param aBytes next bytes of the response; those behind the status are
  /// ignored.
  /// \returns False if they are not the start of a valid response.
  [[nodiscard]] bool Accept(std::string_view aBytes) noexcept
  {
    for (std::size_t i = 0; i < aBytes.size() && m_size < m_start.size(); ++i) {
      const char next = aBytes[i];
      const bool isBlankLine = m_size == 0 && (next == '\r' || next == '\n');
      if (!isBlankLine) {
        m_start[m_size++] = next;
      }
    }
    return m_size < m_start.size() || IsValid();
  }

private:
  static constexpr std::string_view kVersion = "HTTP/1.";
  static constexpr std::size_t kStatusAt = kVersion.size() + 2;
  static constexpr std::size_t kStatusDigits = 3;

  [[nodiscard]] static bool IsDigit(char aChar) noexcept
  {
    return aChar >= '0' && aChar <= '9';
  }

  [[nodiscard]] bool IsValid() const noexcept
  {
    const std::string_view start{ m_start.data(), m_start.size() };
    const char end = start.back();
    if (!start.starts_with(kVersion) || !IsDigit(start[kVersion.size()]) ||
        start[kStatusAt - 1] != ' ' ||
        (end != ' ' && end != '\r' && end != '\n')) {
      return false;
    }
    std::uint16_t status = 0;
    for (const char each : start.substr(kStatusAt, kStatusDigits)) {
      if (!IsDigit(each)) {
        return false;
      }
      status = static_cast<std::uint16_t>(10 * status + (each - '0'));
    }
    return IsInterimStatus(status) || IsFinalStatus(status);
  }

  /// As far as the byte behind the status.
  std::array<char, kStatusAt + kStatusDigits + 1> m_start{};
  std::size_t m_size{ 0 };
};

}
