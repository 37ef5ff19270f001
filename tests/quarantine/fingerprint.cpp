#include "greengagehub/quarantine/fingerprint.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

TEST_CASE("a fingerprint depends on caller, host, method, path and body")
{
  const FingerprintInput first{ .m_caller = "desk",
                                .m_host = "a.example",
                                .m_method = "POST",
                                .m_path = "/release/7",
                                .m_body = "{}" };
  const Fingerprint one = FingerprintOf(first);
  CHECK(FingerprintOf(first) == one);
  FingerprintInput other = first;
  SUBCASE("caller")
  {
    other.m_caller = "kiosk";
  }
  SUBCASE("host")
  {
    other.m_host = "b.example";
  }
  SUBCASE("method")
  {
    other.m_method = "PUT";
  }
  SUBCASE("path")
  {
    other.m_path = "/release/8";
  }
  SUBCASE("body")
  {
    other.m_body = "{ }";
  }
  SUBCASE("bytes moved from one part to the next")
  {
    other.m_path = "/release/7{}";
    other.m_body = "";
  }
  CHECK(FingerprintOf(other) != one);
}

TEST_CASE("a fingerprint of a long body depends on its length and both ends")
{
  const std::string body(1024UL * 1024, 'a');
  const auto of = [](const std::string& aBody) {
    return FingerprintOf({ .m_method = "POST", .m_body = aBody });
  };
  std::string other = body;
  SUBCASE("at the beginning")
  {
    other[10] = 'b';
  }
  SUBCASE("at the end")
  {
    other.back() = 'b';
  }
  SUBCASE("length")
  {
    other += 'a';
  }
  CHECK(of(other) != of(body));
}

TEST_CASE("hexadecimal fingerprints round-trip and malformed text is rejected")
{
  const Fingerprint one = FingerprintOf({ .m_path = "/" });
  const std::string hex = ToHex(one);
  CHECK(ParseFingerprint(hex).value() == one);
  CHECK_FALSE(ParseFingerprint(hex.substr(1)));
  CHECK_FALSE(ParseFingerprint(hex + "0"));
  CHECK_FALSE(ParseFingerprint("g" + hex.substr(1)));
  CHECK_FALSE(ParseFingerprint(hex.substr(0, 16) + "-" + hex.substr(17)));
}
