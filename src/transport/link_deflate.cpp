#include "greengagehub/transport/link_deflate.hpp"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace greengagehub {

namespace {

/// Raw deflate with 4 KiB of history, some ten heads: 32 KiB of memory at the
/// sending end and 11 KiB at the receiving one for each link.
constexpr int kWindowBits = 12;
constexpr int kMemoryLevel = 5;
/// Every flushed piece ends with this; it is left out on the wire.
constexpr std::string_view kFlushMark{ "\x00\x00\xff\xff", 4 };
constexpr std::size_t kStep = 2048;

Bytef*
Input(std::string_view aBytes)
{
  // The library does not write to its input, though its type says so.
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
LinkDeflater::Deflate(std::string_view aPiece)
{
  z_stream& z = m_stream->m_z;
  z.next_in = Input(aPiece);
  z.avail_in = static_cast<uInt>(aPiece.size());
  std::string out;
  std::array<char, kStep> step;
  do {
    z.next_out = reinterpret_cast<Bytef*>(step.data());
    z.avail_out = static_cast<uInt>(step.size());
    deflate(&z, Z_SYNC_FLUSH);
    out.append(step.data(), step.size() - z.avail_out);
  } while (z.avail_out == 0);
  out.resize(out.size() - kFlushMark.size());
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
  std::array<char, kStep> step;
  for (const std::string_view part : { aBytes, kFlushMark }) {
    z.next_in = Input(part);
    z.avail_in = static_cast<uInt>(part.size());
    do {
      z.next_out = reinterpret_cast<Bytef*>(step.data());
      z.avail_out = static_cast<uInt>(step.size());
      const int result = inflate(&z, Z_SYNC_FLUSH);
      out.append(step.data(), step.size() - z.avail_out);
      const bool bad = result != Z_OK && result != Z_BUF_ERROR;
      if (bad || out.size() > aMaxBytes) {
        return Error{ ErrorCode::Corrupt, "not a deflated piece" };
      }
    } while (z.avail_out == 0);
  }
  return out;
}

}
