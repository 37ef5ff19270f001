#pragma once

#include "greengagehub/core/outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief The parts of a request that identify it across daemons and retries;
/// request ids are not among them.
struct FingerprintInput
{
  /// Calling service as its own daemon reports it; request headers could
  /// impersonate another caller.
  std::string_view m_caller{};
  std::string_view m_host{};
  std::string_view m_method{};
  /// Without the query, which may differ each time that a client repeats the
  /// request.
  std::string_view m_path{};
  std::string_view m_body{};
};

/// \brief 128 bits of the SHA-256 digest of a FingerprintInput.
///
/// Only the length and both ends of a long body are hashed, to bound the cost.
/// Requests that differ only in between share a fingerprint.
struct Fingerprint
{
  std::uint64_t m_high{ 0 };
  std::uint64_t m_low{ 0 };

  [[nodiscard]] auto operator<=>(const Fingerprint&) const noexcept = default;
};

[[nodiscard]] Fingerprint
FingerprintOf(const FingerprintInput& aInput);

/// \returns 32 lower-case hexadecimal digits.
[[nodiscard]] std::string
ToHex(Fingerprint aFingerprint);

/// \param aHex text in the format of ToHex().
[[nodiscard]] Outcome<Fingerprint>
ParseFingerprint(std::string_view aHex);

}
