#pragma once

#include "greengagehub/core/outcome.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Deflates what goes one way over a link, piece by piece, with the
/// pieces before as history.
///
/// Heads of calls repeat each other but for ids; with history they shrink to
/// about a third. Bodies stay outside: most are compressed or random already,
/// and would push the heads out of the history.
class LinkDeflater
{
public:
  LinkDeflater();
  ~LinkDeflater();
  LinkDeflater(const LinkDeflater&) = delete;
  LinkDeflater& operator=(const LinkDeflater&) = delete;

  [[nodiscard]] std::string Deflate(std::string_view aPiece);

private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

/// \brief The other end of a LinkDeflater; takes every piece, in order.
class LinkInflater
{
public:
  LinkInflater();
  ~LinkInflater();
  LinkInflater(const LinkInflater&) = delete;
  LinkInflater& operator=(const LinkInflater&) = delete;

  /// \returns The piece, or an error for bytes that are none or are longer than
  /// allowed; nothing can be inflated after an error.
  [[nodiscard]] Outcome<std::string> Inflate(std::string_view aBytes,
                                             std::size_t aMaxBytes);

private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

}
