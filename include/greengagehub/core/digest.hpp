#pragma once

#include "greengagehub/core/outcome.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief A SHA-256 digest.
struct Digest
{
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> m_bytes{};

  [[nodiscard]] bool operator==(const Digest&) const noexcept = default;

  [[nodiscard]] std::string_view View() const noexcept;
};

[[nodiscard]] Digest
Sha256(std::string_view aText);

/// \param aIndex 0 to 3.
/// \returns The 64-bit big-endian word at this index.
[[nodiscard]] std::uint64_t
WordOf(const Digest& aDigest, std::size_t aIndex) noexcept;

/// \returns The first 64 bits of SHA-256 of the text; 1 if they are 0.
[[nodiscard]] std::uint64_t
ShortHash(std::string_view aText);

/// \returns 64 lower-case hexadecimal digits.
[[nodiscard]] std::string
ToHex(const Digest& aDigest);

/// \param aHex exactly 64 hexadecimal digits; otherwise Corrupt.
[[nodiscard]] Outcome<Digest>
ParseDigest(std::string_view aHex);

/// \param aBytes exactly 32 raw bytes, as from View(); otherwise Corrupt.
[[nodiscard]] Outcome<Digest>
DigestFromBytes(std::string_view aBytes);

/// \brief Adds or removes one element of an order-independent set hash.
///
/// Updates take constant time. The hash detects corruption, not forgery.
void
AddTo(Digest& aSum, const Digest& aElement) noexcept;
void
RemoveFrom(Digest& aSum, const Digest& aElement) noexcept;

}
