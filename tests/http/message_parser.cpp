#include "src/http/message_parser.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

using Status = MessageParser::Status;

/// \returns What the parser makes of a response that arrives in pieces.
Status
ParseInPieces(std::string_view aText, std::size_t aBytes)
{
  MessageParser parser{ MessageParser::Side::Responses };
  auto status = Status::NeedsMore;
  while (!aText.empty() && status == Status::NeedsMore) {
    const std::string_view piece = aText.substr(0, aBytes);
    std::size_t consumed = 0;
    status = parser.Feed(piece, consumed);
    aText.remove_prefix(piece.size());
  }
  return status;
}

}

TEST_CASE("a broken head is malformed however it is split into reads")
{
  // Guards against a check that only sees heads which arrive at once.
  const std::string end = "Content-Length: 2\r\n\r\nok";
  for (std::size_t bytes = 1; bytes <= 40; ++bytes) {
    CAPTURE(bytes);
    CHECK(ParseInPieces("HTTP/1.1 200 OK\r\nX-A: b\r\n" + end, bytes) ==
          Status::Complete);
    for (const std::string start : { "HTTP/1.1 000 OK\r\n",
                                     "HTTP/1.1 0200 OK\r\n",
                                     "HTTP/1.1 200 OK\r\nX A: b\r\n",
                                     "HTTP/1.1 200 OK\r\nX-A : b\r\n" }) {
      CAPTURE(start);
      CHECK(ParseInPieces(start + end, bytes) == Status::Malformed);
    }
  }
}
