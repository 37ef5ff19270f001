#include "greengagehub/core/random.hpp"
#include "greengagehub/transport/codec.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

constexpr std::size_t kMaxBytes = 100'000;

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
MakeLookup(Random& aRandom)
{
  static constexpr const char* kHexDigits = "0123456789abcdef";
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += kHexDigits[Below(aRandom, 16)];
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

TEST_CASE("blocks of all sizes survive compression in order")
{
  Random random{ 3 };
  LinkDeflater deflater;
  LinkInflater inflater;
  for (const std::size_t size : { 0UL, 1UL, 5000UL, 60'000UL, 2048UL, 100UL }) {
    const std::string piece = Bytes(random, size);
    const auto back = inflater.Inflate(deflater.Deflate(piece), kMaxBytes);
    REQUIRE(back);
    CHECK(back.value() == piece);
  }
}

TEST_CASE("call heads compress to less than half their size")
{
  Random random{ 5 };
  LinkDeflater deflater;
  LinkInflater inflater;
  std::size_t plainBytes = 0;
  std::size_t deflatedBytes = 0;
  for (int i = 0; i < 200; ++i) {
    const CallRequest request = MakeLookup(random);
    std::string plainFrame;
    AppendFrame(plainFrame, request);
    std::string frame;
    AppendFrame(frame, request, &deflater);
    plainBytes += plainFrame.size() - request.m_body.Size();
    deflatedBytes += frame.size() - request.m_body.Size();
    const auto back = DecodeFrame(
      std::string_view{ frame }.substr(kFrameLengthBytes), &inflater);
    REQUIRE(back);
    CHECK(std::get<CallRequest>(back.value()).m_body == request.m_body);
    CHECK(std::get<CallRequest>(back.value()).m_headers[4].m_value ==
          request.m_headers[4].m_value);
  }
  MESSAGE("heads: " << plainBytes << " bytes plain, " << deflatedBytes
                    << " deflated");
  CHECK(deflatedBytes < plainBytes / 2);
}

TEST_CASE("corrupted data and decompression bombs are errors")
{
  Random random{ 7 };
  for (int i = 0; i < 2000; ++i) {
    LinkInflater inflater;
    static_cast<void>(
      inflater.Inflate(Bytes(random, 1 + Below(random, 200)), kMaxBytes));
  }
  LinkDeflater deflater;
  LinkInflater inflater;
  CHECK_FALSE(
    inflater.Inflate(deflater.Deflate(std::string(1'000'000, 'x')), kMaxBytes));
}
