#include "greengagehub/quarantine/fingerprint.hpp"

#include "greengagehub/core/digest.hpp"

#include <charconv>
#include <fmt/format.h>

namespace greengagehub {

namespace {

/// Bytes hashed at each end of a body that is longer than twice this; hashing
/// both takes a tenth of a millisecond.
constexpr std::size_t kHashedEdgeBytes = 32UL * 1024;
constexpr std::size_t kDigitsPerWord = 16;

/// The length prefix keeps the concatenation unambiguous.
void
AppendWithLength(std::string& aText, std::string_view aPart)
{
  aText += fmt::format("{}:", aPart.size());
  aText += aPart;
}

void
AppendBody(std::string& aText, std::string_view aBody)
{
  if (aBody.size() <= 2 * kHashedEdgeBytes) {
    aText += aBody;
    return;
  }
  aText += aBody.substr(0, kHashedEdgeBytes);
  aText += aBody.substr(aBody.size() - kHashedEdgeBytes);
}

}

Fingerprint
FingerprintOf(const FingerprintInput& aInput)
{
  std::string text;
  AppendWithLength(text, aInput.m_caller);
  AppendWithLength(text, aInput.m_host);
  AppendWithLength(text, aInput.m_method);
  AppendWithLength(text, aInput.m_path);
  text += fmt::format("{}:", aInput.m_body.size());
  AppendBody(text, aInput.m_body);
  const Digest digest = Sha256(text);
  return { WordOf(digest, 0), WordOf(digest, 1) };
}

std::string
ToHex(Fingerprint aFingerprint)
{
  return fmt::format("{:016x}{:016x}", aFingerprint.m_high, aFingerprint.m_low);
}

Outcome<Fingerprint>
ParseFingerprint(std::string_view aHex)
{
  constexpr int kBase = 16;
  const Error bad{ ErrorCode::Invalid,
                   "fingerprint: expected 32 hexadecimal digits" };
  if (aHex.size() != 2 * kDigitsPerWord) {
    return bad;
  }
  Fingerprint fingerprint;
  const char* middle = aHex.data() + kDigitsPerWord;
  const char* end = middle + kDigitsPerWord;
  const auto high =
    std::from_chars(aHex.data(), middle, fingerprint.m_high, kBase);
  const auto low = std::from_chars(middle, end, fingerprint.m_low, kBase);
  if (high.ptr != middle || low.ptr != end) {
    return bad;
  }
  return fingerprint;
}

}
