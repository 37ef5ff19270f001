#include "greengagehub/core/compression.hpp"

#include <zstd.h>

namespace greengagehub {

namespace {
constexpr int kLevel = 3;
}

std::string
Compress(std::string_view aText)
{
  std::string frame(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress(
    frame.data(), frame.size(), aText.data(), aText.size(), kLevel);
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return frame;
}

Outcome<std::string>
Decompress(std::string_view aFrame, std::size_t aMaxBytes)
{
  const auto size = ZSTD_getFrameContentSize(aFrame.data(), aFrame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Error{ ErrorCode::Corrupt, "not a zstd frame with its size" };
  }
  if (size > aMaxBytes) {
    return Error{ ErrorCode::TooLarge, "a compressed value is too large" };
  }
  std::string text(size, '\0');
  const std::size_t got =
    ZSTD_decompress(text.data(), text.size(), aFrame.data(), aFrame.size());
  if (ZSTD_isError(got) != 0U || got != size) {
    return Error{ ErrorCode::Corrupt, "a cut or damaged zstd frame" };
  }
  return text;
}

}
