#include "greengagehub/config/store_layout.hpp"

#include "greengagehub/core/field_reader.hpp"
#include "greengagehub/core/parse_json.hpp"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace greengagehub {

namespace {
constexpr std::size_t kBucketDigits = 3;
constexpr std::size_t kDigestDigits = 16;
constexpr std::size_t kMaxParts = kMaxUnpackedBytes / kMaxPartBytes + 1;
}

std::string
ArchiveKey(std::uint64_t aFirstSequence)
{
  return fmt::format("config/archive/{:012}", aFirstSequence);
}

std::string
IndexKey(std::string_view aId)
{
  return "config/index/" + ToHex(Sha256(aId)).substr(0, kBucketDigits);
}

std::string
SnapshotKey(Version aVersion)
{
  return fmt::format("config/snapshots/{}", aVersion.m_number);
}

std::string
SnapshotPartKey(Version aVersion, std::size_t aPart)
{
  return fmt::format("config/snapshots/{}/{}", aVersion.m_number, aPart);
}

std::string
ManifestToJson(const SnapshotManifest& aManifest)
{
  return nlohmann::json{
    { "version", aManifest.m_head.m_version.m_number },
    { "chain", ToHex(aManifest.m_head.m_chain) },
    { "content", ToHex(aManifest.m_head.m_content) },
    { "parts", aManifest.m_partCount }
  }.dump();
}

Outcome<SnapshotManifest>
ParseManifest(std::string_view aText)
{
  const auto json = ParseJson(aText);
  FieldReader fields{ json };
  const auto chain = ParseDigest(fields.Text("chain"));
  const auto content = ParseDigest(fields.Text("content"));
  SnapshotManifest manifest;
  manifest.m_head.m_version = Version{ fields.Unsigned("version") };
  manifest.m_partCount = fields.Unsigned("parts", kMaxParts);
  if (!chain || !content) {
    fields.AddError("chain", "a digest, as in /content");
  }
  if (!fields.FirstError().empty()) {
    return Error{ ErrorCode::Corrupt, fields.FirstError() };
  }
  manifest.m_head.m_chain = chain.value();
  manifest.m_head.m_content = content.value();
  return manifest;
}

namespace {

/// \param aText index line after the digest.
/// \returns The segment number, or nothing when the line is malformed.
std::optional<std::uint64_t>
ParseSegment(std::string_view aText)
{
  if (!aText.starts_with(' ')) {
    return std::nullopt;
  }
  aText.remove_prefix(1);
  std::uint64_t segment = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, segment);
  const bool isValid = error == std::errc{} && stop == end;
  return isValid ? std::optional{ segment } : std::nullopt;
}

}

std::string
IndexDigest(std::string_view aId)
{
  return ToHex(Sha256(aId)).substr(0, kDigestDigits);
}

std::vector<std::uint64_t>
FindInIndex(std::string_view aBucket, std::string_view aId)
{
  std::vector<std::uint64_t> segments;
  const std::string digest = IndexDigest(aId);
  std::size_t at = 0;
  while (at < aBucket.size()) {
    const std::size_t end = std::min(aBucket.find('\n', at), aBucket.size());
    const std::string_view line = aBucket.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(digest) || line.size() <= kDigestDigits) {
      continue;
    }
    if (const auto segment = ParseSegment(line.substr(kDigestDigits))) {
      segments.push_back(*segment);
    }
  }
  return segments;
}

std::string
AddToIndex(std::string aBucket, const IndexLine& aLine)
{
  const std::string line =
    fmt::format("{} {}\n", aLine.m_idDigest, aLine.m_segment);
  if (aBucket.find(line) == std::string::npos) {
    aBucket += line;
  }
  return aBucket;
}

}
