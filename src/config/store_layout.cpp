#include "greengagehub/config/store_layout.hpp"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace greengagehub {

namespace {
constexpr std::size_t kBucketDigits = 3;
constexpr std::size_t kDigestDigits = 16;
}

std::string
ArchiveKey(std::uint64_t aFirstSequence)
{
  return fmt::format("config/archive/{:012}", aFirstSequence);
}

std::string
IndexKey(std::string_view aId)
{
  return "config/index/" + ToHex(HashOf(aId)).substr(0, kBucketDigits);
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
    { "parts", aManifest.m_parts }
  }.dump();
}

Outcome<SnapshotManifest>
ParseManifest(std::string_view aText)
{
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return Error{ ErrorCode::Corrupt, "a manifest is a JSON object" };
  }
  const auto chain = ParseDigest(json.value("chain", std::string{}));
  const auto content = ParseDigest(json.value("content", std::string{}));
  const auto version = json.find("version");
  const auto parts = json.find("parts");
  const bool numbers = version != json.end() && version->is_number_unsigned() &&
                       parts != json.end() && parts->is_number_unsigned();
  if (!chain || !content || !numbers) {
    return Error{ ErrorCode::Corrupt, "a manifest lacks a field" };
  }
  SnapshotManifest manifest;
  manifest.m_head.m_version.m_number = version->get<std::uint64_t>();
  manifest.m_head.m_chain = chain.value();
  manifest.m_head.m_content = content.value();
  manifest.m_parts = parts->get<std::size_t>();
  return manifest;
}

std::string
IndexDigest(std::string_view aId)
{
  return ToHex(HashOf(aId)).substr(0, kDigestDigits);
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
    std::uint64_t segment = 0;
    const char* first = line.data() + kDigestDigits + 1;
    std::from_chars(first, line.data() + line.size(), segment);
    segments.push_back(segment);
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
