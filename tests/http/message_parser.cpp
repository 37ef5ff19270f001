#include "src/http/message_parser.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

using Status = MessageParser::Status;

/// \returns What the parser makes of a response that arrives in pieces and
/// whose body has to wait for room.
Status
ParseInPieces(std::string_view aText, std::size_t aBytes)
{
  MessageParser parser{ MessageParser::Side::Responses };
  parser.UseBudget(ByteBudget::Pointer{ new ByteBudget{ 1 } });
  auto status = Status::NeedsMore;
  while (!aText.empty() && status == Status::NeedsMore) {
    std::size_t consumed = 0;
    status = parser.Feed(aText.substr(0, aBytes), consumed);
    aText.remove_prefix(consumed);
    if (status == Status::NeedsRoom) {
      parser.Provide({});
      status = Status::NeedsMore;
    }
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
                                     "HTTP/1.1 200 OK\r\nX-A : b\r\n",
                                     "HTTP/1.1 200 OK\r\n\rX-A: b\r\n",
                                     "HTTP/1.1 200 OK\r\n\nX-A: b\r\n" }) {
      CAPTURE(start);
      CHECK(ParseInPieces(start + end, bytes) == Status::Malformed);
    }
  }
}

TEST_CASE("a chunked body is complete however it is split into reads")
{
  // Guards against a check of line ends that takes parts of a body for them.
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body =
    "2\r\n\n\r\r\n4;a=b\r\n\r\n\r\n\r\n0\r\nX-A: b\r\n\r\n";
  for (std::size_t bytes = 1; bytes <= 80; ++bytes) {
    CAPTURE(bytes);
    CHECK(ParseInPieces(head + body, bytes) == Status::Complete);
    CHECK(ParseInPieces(head + "2\r\nokXY0\r\n\r\n", bytes) ==
          Status::Malformed);
  }
}
