#pragma once

#include "greengagehub/config/decision.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

inline constexpr std::string_view kLogKey = "config/log";
inline constexpr std::string_view kSeedPrefix = "seeds/";

[[nodiscard]] std::string
ArchiveKey(std::uint64_t aFirstSequence);
/// \returns Key of the id's index bucket; there are 4,096 buckets.
[[nodiscard]] std::string
IndexKey(std::string_view aId);
[[nodiscard]] std::string
SnapshotKey(Version aVersion);
[[nodiscard]] std::string
SnapshotPartKey(Version aVersion, std::size_t aPart);

/// The store accepts up to 1 MB per value.
inline constexpr std::size_t kMaxPartBytes = 900UL * 1000;
/// Maximum decompressed size of a content or a segment.
inline constexpr std::size_t kMaxUnpackedBytes = 64UL * 1024 * 1024;

/// \brief Describes a snapshot; written after its parts.
struct SnapshotManifest
{
  VersionEntry m_head;
  std::size_t m_partCount{ 0 };
};
[[nodiscard]] std::string
ManifestToJson(const SnapshotManifest& aManifest);
[[nodiscard]] Outcome<SnapshotManifest>
ParseManifest(std::string_view aText);

struct IndexLine
{
  /// First 16 hexadecimal digits of the id's digest.
  std::string m_idDigest;
  /// First sequence number of the segment.
  std::uint64_t m_segment{ 0 };
};
[[nodiscard]] std::string
IndexDigest(std::string_view aId);
/// \returns First sequence numbers of the segments that may contain the id;
/// more than one on a digest collision.
[[nodiscard]] std::vector<std::uint64_t>
FindInIndex(std::string_view aBucket, std::string_view aId);
/// \returns The bucket with the line; unchanged if the line is present.
[[nodiscard]] std::string
AddToIndex(std::string aBucket, const IndexLine& aLine);

}
