#include "greengagehub/transport/link_deflate.hpp"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace greengagehub {

namespace {

/// Window of 4 KiB, which holds several heads. A small window and memory level
/// limit the memory that each connection needs.
constexpr int kWindowBits = 12;
constexpr int kMemoryLevel = 5;
/// Trailer of each flushed block; removed before sending and added back on
/// receipt.
constexpr std::string_view kSyncFlushMarker{ "\x00\x00\xff\xff", 4 };
constexpr std::size_t kChunkBytes = 2048;

Bytef*
InputPointer(std::string_view aBytes)
{
  // zlib does not write to its input despite the non-const type.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
}

}

struct LinkDeflater::Stream
{
  z_stream m_z{};
};

LinkDeflater::LinkDeflater()
  : m_stream(std::make_unique<Stream>())
{
  deflateInit2(&m_stream->m_z,
               Z_BEST_SPEED,
               Z_DEFLATED,
               -kWindowBits,
               kMemoryLevel,
               Z_DEFAULT_STRATEGY);
}

LinkDeflater::~LinkDeflater()
{
  deflateEnd(&m_stream->m_z);
}

std::string
LinkDeflater::Deflate(std::string_view aData)
{
  z_stream& z = m_stream->m_z;
  z.next_in = InputPointer(aData);
  z.avail_in = static_cast<uInt>(aData.size());
  std::string out;
  std::array<char, kChunkBytes> chunk;
  do {
    z.next_out = reinterpret_cast<Bytef*>(chunk.data());
    z.avail_out = static_cast<uInt>(chunk.size());
    deflate(&z, Z_SYNC_FLUSH);
    out.append(chunk.data(), chunk.size() - z.avail_out);
  } while (z.avail_out == 0);
  out.resize(out.size() - kSyncFlushMarker.size());
  return out;
}

struct LinkInflater::Stream
{
  z_stream m_z{};
};

LinkInflater::LinkInflater()
  : m_stream(std::make_unique<Stream>())
{
  inflateInit2(&m_stream->m_z, -kWindowBits);
}

LinkInflater::~LinkInflater()
{
  inflateEnd(&m_stream->m_z);
}

Outcome<std::string>
LinkInflater::Inflate(std::string_view aBytes, std::size_t aMaxBytes)
{
  z_stream& z = m_stream->m_z;
  std::string out;
  std::array<char, kChunkBytes> chunk;
  for (const std::string_view part : { aBytes, kSyncFlushMarker }) {
    z.next_in = InputPointer(part);
    z.avail_in = static_cast<uInt>(part.size());
    do {
      z.next_out = reinterpret_cast<Bytef*>(chunk.data());
      z.avail_out = static_cast<uInt>(chunk.size());
      const int result = inflate(&z, Z_SYNC_FLUSH);
      out.append(chunk.data(), chunk.size() - z.avail_out);
      const bool failed = result != Z_OK && result != Z_BUF_ERROR;
      if (failed || out.size() > aMaxBytes) {
        return Error{ ErrorCode::Corrupt,
                      "compressed head: invalid data or output too large" };
      }
    } while (z.avail_out == 0);
  }
  return out;
}

}
