#pragma once

#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/compression.hpp"
#include "greengagehub/core/store_message.hpp"

#include <variant>

namespace greengagehub {

struct SnapshotResult
{
  enum class Status : std::uint8_t
  {
    Ok,
    /// A part of the snapshot no longer exists; read the log again.
    Deleted,
    /// The store did not answer.
    NoAnswer,
    Corrupt,
  };
  Status m_status{ Status::NoAnswer };
  VersionEntry m_head{};
  /// Canonical JSON of the content; empty unless Ok.
  std::string m_text{};
};

/// \brief State machine that reads the manifest and the parts of a snapshot.
class SnapshotReader
{
public:
  using Step = std::variant<StoreRequest, SnapshotResult>;

  explicit SnapshotReader(Version aVersion)
    : m_version(aVersion)
  {
  }

  [[nodiscard]] Step Start() const;
  [[nodiscard]] Step OnReply(const StoreReply& aReply);

private:
  Version m_version;
  SnapshotManifest m_manifest;
  bool m_hasManifest{ false };
  /// Parts read so far, joined.
  std::string m_compressed;
  std::size_t m_nextPart{ 0 };
};

}
