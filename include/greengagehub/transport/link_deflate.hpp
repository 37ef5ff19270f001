#pragma once

#include "greengagehub/core/outcome.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Streaming deflate compressor for the frame heads of one direction of
/// a connection.
///
/// Heads of successive calls are nearly identical, so the shared window makes
/// them small. Bodies are not compressed: many already are, and they would
/// displace the heads from the window.
class LinkDeflater
{
public:
  LinkDeflater();
  ~LinkDeflater();
  LinkDeflater(const LinkDeflater&) = delete;
  LinkDeflater& operator=(const LinkDeflater&) = delete;

  /// \brief Compresses and flushes one block.
  [[nodiscard]] std::string Deflate(std::string_view aData);

private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

/// \brief Decompresses the output of a LinkDeflater; must be given every block
/// in order.
class LinkInflater
{
public:
  LinkInflater();
  ~LinkInflater();
  LinkInflater(const LinkInflater&) = delete;
  LinkInflater& operator=(const LinkInflater&) = delete;

  /// \returns The data, or ErrorCode::Corrupt for invalid input or more than
  /// `aMaxBytes` of output. The inflater is unusable after an error.
  [[nodiscard]] Outcome<std::string> Inflate(std::string_view aBytes,
                                             std::size_t aMaxBytes);

private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

}
