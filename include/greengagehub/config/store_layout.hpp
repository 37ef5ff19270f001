#pragma once

#include "greengagehub/config/decision.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// Keys of the store; defined only here.
inline constexpr std::string_view kLogKey = "config/log";
inline constexpr std::string_view kSeedPrefix = "seeds/";

[[nodiscard]] std::string
ArchiveKey(std::uint64_t aFirstSequence);
/// \returns Key of the index bucket for a decision id. There are 4,096 buckets,
/// selected by the id's digest.
[[nodiscard]] std::string
IndexKey(std::string_view aId);
[[nodiscard]] std::string
SnapshotKey(Version aVersion);
[[nodiscard]] std::string
SnapshotPartKey(Version aVersion, std::size_t aPart);

/// Maximum part size; stays below the store's limit of 1 MB per value.
inline constexpr std::size_t kMaxPartBytes = 900UL * 1000;
/// Maximum decompressed size of a content or a segment.
inline constexpr std::size_t kMaxUnpackedBytes = 64UL * 1024 * 1024;

/// \brief Describes a snapshot; written after all its parts.
struct SnapshotManifest
{
  VersionEntry m_head;
  std::size_t m_parts{ 0 };
};
[[nodiscard]] std::string
ManifestToJson(const SnapshotManifest& aManifest);
[[nodiscard]] Outcome<SnapshotManifest>
ParseManifest(std::string_view aText);

/// \brief One line of an index bucket.
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
/// \returns The bucket with the line added, or unchanged if it has the line.
[[nodiscard]] std::string
AddToIndex(std::string aBucket, const IndexLine& aLine);

}
