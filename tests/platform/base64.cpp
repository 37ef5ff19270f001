#include "platform/base64.hpp"

#include <doctest/doctest.h>

using namespace greengagehub::platform;

TEST_CASE("base64 round trip for every length, and invalid input")
{
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    CHECK(FromBase64(ToBase64(bytes)) == bytes);
    bytes += static_cast<char>(i);
  }
  CHECK(ToBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(FromBase64("abc"));
  CHECK_FALSE(FromBase64("ab!="));
}
