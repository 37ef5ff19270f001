#include "greengagehub/core/compression.hpp"

#include <zstd.h>

namespace greengagehub {

namespace {
constexpr int kCompressionLevel = 3;
}

std::string
Compress(std::string_view aText)
{
  std::string frame(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress(
    frame.data(), frame.size(), aText.data(), aText.size(), kCompressionLevel);
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return frame;
}

Outcome<std::string>
Decompress(std::string_view aFrame, std::size_t aMaxBytes)
{
  const auto size = ZSTD_getFrameContentSize(aFrame.data(), aFrame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Error{
      ErrorCode::Corrupt,
      "compressed value: expected a zstd frame with its content size"
    };
  }
  if (size > aMaxBytes) {
    return Error{ ErrorCode::TooLarge,
                  "compressed value: the content size exceeds the limit" };
  }
  std::string text(size, '\0');
  const std::size_t written =
    ZSTD_decompress(text.data(), text.size(), aFrame.data(), aFrame.size());
  if (ZSTD_isError(written) != 0U || written != size) {
    return Error{ ErrorCode::Corrupt,
                  "compressed value: truncated or damaged zstd frame" };
  }
  return text;
}

}
