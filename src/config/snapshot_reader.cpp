#include "greengagehub/config/snapshot_reader.hpp"

namespace greengagehub {

namespace {

using Status = SnapshotRead::Status;

SnapshotRead
Ended(Status aStatus)
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
SnapshotReader::On(const StoreReply& aReply)
{
  if (aReply.m_status == StoreReply::Status::NotFound) {
    return Ended(Status::Gone);
  }
  if (aReply.m_status != StoreReply::Status::Ok) {
    return Ended(Status::Lost);
  }
  if (!m_haveManifest) {
    auto manifest = ParseManifest(aReply.m_value);
    if (!manifest || manifest.value().m_head.m_version != m_version) {
      return Ended(Status::Corrupt);
    }
    m_manifest = std::move(manifest.value());
    m_haveManifest = true;
    return MakeGet(SnapshotPartKey(m_version, 0));
  }
  m_parts += aReply.m_value;
  if (++m_part < m_manifest.m_parts) {
    return MakeGet(SnapshotPartKey(m_version, m_part));
  }
  auto text = Decompress(m_parts, kMaxUnpackedBytes);
  if (!text) {
    return Ended(Status::Corrupt);
  }
  return SnapshotRead{ Status::Ok, m_manifest.m_head, std::move(text.value()) };
}

}
