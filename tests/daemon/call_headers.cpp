#include "greengagehub/daemon/call_headers.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

TEST_CASE("a request has one fingerprint under all spellings of its host")
{
  // Guards against copies of a request that crashes workers and that are not
  // counted as one.
  const CallDialect dialect;
  CallRequest call;
  call.m_method = "POST";
  call.m_target = "/book/7";
  const auto fingerprint = [&](const char* aHost) {
    call.m_headers = { { "Host", aHost } };
    return CallFingerprint(dialect, call);
  };
  const Fingerprint expected = fingerprint("yard.example");
  CHECK(fingerprint("Yard.Example") == expected);
  CHECK(fingerprint("yard.example:80") == expected);
  CHECK(fingerprint("YARD.EXAMPLE:8080") == expected);
  CHECK(fingerprint("other.example") != expected);
}

TEST_CASE("a request has one fingerprint with all queries of its path")
{
  // Guards against a request that crashes workers and is never quarantined, as
  // each copy has another query.
  const CallDialect dialect;
  CallRequest call;
  call.m_headers = { { "Host", "yard.example" } };
  const auto fingerprint = [&](const char* aTarget) {
    call.m_target = aTarget;
    return CallFingerprint(dialect, call);
  };
  const Fingerprint expected = fingerprint("/book/7");
  CHECK(fingerprint("/book/7?try=1") == expected);
  CHECK(fingerprint("/book/7?try=2") == expected);
  CHECK(fingerprint("/book/7?") == expected);
  CHECK(fingerprint("/book/8?try=1") != expected);
}
