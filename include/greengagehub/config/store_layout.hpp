#pragma once

#include "greengagehub/config/decision.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// Keys of the store. Nothing else may spell one.
inline constexpr std::string_view kLogKey = "config/log";
inline constexpr std::string_view kSeedPrefix = "seeds/";

[[nodiscard]] std::string
ArchiveKey(std::uint64_t aFirstSequence);
/// \brief Index of archived decisions: 4,096 buckets by the id's digest.
[[nodiscard]] std::string
IndexKey(std::string_view aId);
[[nodiscard]] std::string
SnapshotKey(Version aVersion);
[[nodiscard]] std::string
SnapshotPartKey(Version aVersion, std::size_t aPart);

/// A value holds up to a megabyte; parts stay well below.
inline constexpr std::size_t kMaxPartBytes = 900UL * 1000;
/// Largest content or segment that is ever unpacked.
inline constexpr std::size_t kMaxUnpackedBytes = 64UL * 1024 * 1024;

/// \brief What a snapshot consists of; written after all its parts.
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
  std::uint64_t m_segment{ 0 };
};
[[nodiscard]] std::string
IndexDigest(std::string_view aId);
/// \brief Segments that may hold the id; more than one on a digest collision.
[[nodiscard]] std::vector<std::uint64_t>
FindInIndex(std::string_view aBucket, std::string_view aId);
/// \returns The bucket with the line added, or unchanged when it is there.
[[nodiscard]] std::string
AddToIndex(std::string aBucket, const IndexLine& aLine);

}
