#include "greengagehub/config/snapshot_reader.hpp"

namespace greengagehub {

namespace {

using Status = SnapshotResult::Status;

SnapshotResult
MakeResult(Status aStatus)
{
  return { aStatus, {}, {} };
}

}

SnapshotReader::Step
SnapshotReader::Start() const
{
  return MakeGet(SnapshotKey(m_version));
}

SnapshotReader::Step
SnapshotReader::OnReply(const StoreReply& aReply)
{
  if (aReply.m_status == StoreReply::Status::NotFound) {
    return MakeResult(Status::Deleted);
  }
  if (aReply.m_status != StoreReply::Status::Ok) {
    return MakeResult(Status::NoAnswer);
  }
  if (!m_hasManifest) {
    auto manifest = ParseManifest(aReply.m_value);
    if (!manifest || manifest.value().m_head.m_version != m_version) {
      return MakeResult(Status::Corrupt);
    }
    m_manifest = std::move(manifest.value());
    m_hasManifest = true;
    return MakeGet(SnapshotPartKey(m_version, 0));
  }
  m_compressed += aReply.m_value;
  if (++m_nextPart < m_manifest.m_partCount) {
    return MakeGet(SnapshotPartKey(m_version, m_nextPart));
  }
  auto text = Decompress(m_compressed, kMaxUnpackedBytes);
  if (!text) {
    return MakeResult(Status::Corrupt);
  }
  return SnapshotResult{ Status::Ok,
                         m_manifest.m_head,
                         std::move(text.value()) };
}

}
