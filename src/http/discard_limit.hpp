#pragma once

#include "greengagehub/http/http_message.hpp"

#include <cstddef>
#include <cstdint>

namespace greengagehub {

/// \brief Bounds the responses that are discarded while one request waits for
/// its own.
class DiscardLimit
{
public:
  /// \param aStatus of a response that is not the expected one.
  /// \param aBytes of this response.
  /// \param aMaxLateBytes of all late responses.
  /// \returns Whether the request may wait on.
  [[nodiscard]] bool Allows(std::uint16_t aStatus,
                            std::size_t aBytes,
                            std::size_t aMaxLateBytes) noexcept
  {
    if (IsInterimStatus(aStatus)) {
      m_interimBytes += aBytes;
      return m_interimBytes <= kMaxInterimBytes;
    }
    m_lateBytes += aBytes;
    return ++m_lateResponses <= kMaxLateResponses &&
           m_lateBytes <= aMaxLateBytes;
  }

private:
  static constexpr std::size_t kMaxInterimBytes = 64UL * 1024;
  static constexpr std::size_t kMaxLateResponses = 16;

  std::size_t m_interimBytes{ 0 };
  std::size_t m_lateBytes{ 0 };
  std::size_t m_lateResponses{ 0 };
};

}
