#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fmt/ranges.h>
#include <openssl/evp.h>

namespace greengagehub {

namespace {

constexpr std::size_t kLanes = Digest::kBytes / sizeof(std::uint64_t);
using Lanes = std::array<std::uint64_t, kLanes>;

Lanes
ToLanes(const Digest& aDigest) noexcept
{
  Lanes lanes{};
  std::memcpy(lanes.data(), aDigest.m_bytes.data(), Digest::kBytes);
  return lanes;
}

void
SetLanes(Digest& aDigest, const Lanes& aLanes) noexcept
{
  std::memcpy(aDigest.m_bytes.data(), aLanes.data(), Digest::kBytes);
}

}

std::string_view
Digest::View() const noexcept
{
  return { reinterpret_cast<const char*>(m_bytes.data()), kBytes };
}

Digest
Sha256(std::string_view aText)
{
  Digest digest;
  unsigned int length = 0;
  EVP_Digest(aText.data(),
             aText.size(),
             digest.m_bytes.data(),
             &length,
             EVP_sha256(),
             nullptr);
  return digest;
}

std::uint64_t
WordOf(const Digest& aDigest, std::size_t aIndex) noexcept
{
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < sizeof number; ++i) {
    number = number << 8U | aDigest.m_bytes[aIndex * sizeof number + i];
  }
  return number;
}

std::uint64_t
ShortHash(std::string_view aText)
{
  return std::max<std::uint64_t>(1, WordOf(Sha256(aText), 0));
}

std::string
ToHex(const Digest& aDigest)
{
  return fmt::format("{:02x}", fmt::join(aDigest.m_bytes, ""));
}

Outcome<Digest>
ParseDigest(std::string_view aHex)
{
  Digest digest;
  if (aHex.size() != 2 * Digest::kBytes) {
    return Error{ ErrorCode::Corrupt,
                  "digest: expected 64 hexadecimal digits" };
  }
  for (std::size_t i = 0; i < Digest::kBytes; ++i) {
    const char* first = aHex.data() + 2 * i;
    const auto parsed =
      std::from_chars(first, first + 2, digest.m_bytes[i], 16);
    if (parsed.ptr != first + 2) {
      return Error{ ErrorCode::Corrupt,
                    "digest: expected hexadecimal digits only" };
    }
  }
  return digest;
}

Outcome<Digest>
DigestFromBytes(std::string_view aBytes)
{
  if (aBytes.size() != Digest::kBytes) {
    return Error{ ErrorCode::Corrupt, "digest: expected 32 bytes" };
  }
  Digest digest;
  std::copy(aBytes.begin(), aBytes.end(), digest.m_bytes.begin());
  return digest;
}

void
AddTo(Digest& aSum, const Digest& aElement) noexcept
{
  Lanes sum = ToLanes(aSum);
  const Lanes element = ToLanes(aElement);
  for (std::size_t i = 0; i < kLanes; ++i) {
    sum[i] += element[i];
  }
  SetLanes(aSum, sum);
}

void
RemoveFrom(Digest& aSum, const Digest& aElement) noexcept
{
  Lanes sum = ToLanes(aSum);
  const Lanes element = ToLanes(aElement);
  for (std::size_t i = 0; i < kLanes; ++i) {
    sum[i] -= element[i];
  }
  SetLanes(aSum, sum);
}

}
