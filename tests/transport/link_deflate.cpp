#include "greengagehub/core/random.hpp"
#include "greengagehub/transport/codec.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

constexpr std::size_t kMax = 100'000;

std::string
Bytes(Random& aRandom, std::size_t aSize)
{
  std::string bytes;
  while (bytes.size() < aSize) {
    bytes += static_cast<char>(aRandom());
  }
  return bytes;
}

CallRequest
Lookup(Random& aRandom)
{
  static constexpr const char* kHex = "0123456789abcdef";
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += kHex[Below(aRandom, 16)];
  }
  CallRequest request;
  request.m_call = Below(aRandom, 1'000'000);
  request.m_service = "ledger";
  request.m_method = "GET";
  request.m_target = "/lookup/" + id.substr(0, 6);
  request.m_headers = {
    { "Host", "lockers.example" }, { "User-Agent", "sdk-client/1.9.3" },
    { "Accept", "*/*" },           { "Accept-Encoding", "identity" },
    { "X-Request-Id", id },        { "X-Caller-Service", "locker-app" }
  };
  request.m_body = Bytes(aRandom, 600);
  return request;
}

}

TEST_CASE("pieces of every size come back in order")
{
  Random random{ 3 };
  LinkDeflater deflater;
  LinkInflater inflater;
  for (const std::size_t size : { 0UL, 1UL, 5000UL, 60'000UL, 2048UL, 100UL }) {
    const std::string piece = Bytes(random, size);
    const auto back = inflater.Inflate(deflater.Deflate(piece), kMax);
    REQUIRE(back);
    CHECK(back.value() == piece);
  }
}

TEST_CASE("the heads of calls shrink to less than half")
{
  Random random{ 5 };
  LinkDeflater deflater;
  LinkInflater inflater;
  std::size_t plain = 0;
  std::size_t small = 0;
  for (int i = 0; i < 200; ++i) {
    const CallRequest request = Lookup(random);
    std::string asIs;
    AppendFrame(asIs, request);
    std::string frame;
    AppendFrame(frame, request, &deflater);
    plain += asIs.size() - request.m_body.size();
    small += frame.size() - request.m_body.size();
    const auto back =
      DecodeFrame(std::string_view{ frame }.substr(kFrameHeader), &inflater);
    REQUIRE(back);
    CHECK(std::get<CallRequest>(back.value()).m_body == request.m_body);
    CHECK(std::get<CallRequest>(back.value()).m_headers[4].m_value ==
          request.m_headers[4].m_value);
  }
  MESSAGE("heads: " << plain << " bytes plain, " << small << " deflated");
  CHECK(small < plain / 2);
}

TEST_CASE("damaged pieces and bombs are errors")
{
  Random random{ 7 };
  for (int i = 0; i < 2000; ++i) {
    LinkInflater inflater;
    static_cast<void>(
      inflater.Inflate(Bytes(random, 1 + Below(random, 200)), kMax));
  }
  LinkDeflater deflater;
  LinkInflater inflater;
  CHECK_FALSE(
    inflater.Inflate(deflater.Deflate(std::string(1'000'000, 'x')), kMax));
}
