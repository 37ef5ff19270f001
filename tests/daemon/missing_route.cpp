#include "greengagehub/daemon/call_headers.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

HttpResponse
ResponseWithoutRoute(Version aInForce, Version aKnown)
{
  const RefusalReason reason = ReasonForMissingRoute(aInForce, aKnown);
  return ResponseFor(CallDialect{},
                     Refuse(1, CallOutcome::NotRun, reason, 200ms));
}

}

TEST_CASE("a daemon that knows of a newer version does not deny a route")
{
  // Guards against a 404, which callers do not retry, for a route that a
  // version on its way here has added.
  constexpr std::uint16_t kNotFound = 404;
  constexpr std::uint16_t kUnavailable = 503;
  const HttpResponse behind = ResponseWithoutRoute(Version{ 7 }, Version{ 10 });
  CHECK(behind.m_status == kUnavailable);
  CHECK_FALSE(HeaderValue(behind.m_headers, "Retry-After").empty());
  CHECK(ResponseWithoutRoute(Version{ 10 }, Version{ 10 }).m_status ==
        kNotFound);
  CHECK(ResponseWithoutRoute(Version{ 10 }, Version{}).m_status == kNotFound);
}
