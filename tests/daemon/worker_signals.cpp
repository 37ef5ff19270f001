#include "greengagehub/daemon/call_headers.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

WorkerSignals
SignalsOf(const std::vector<HttpHeader>& aHeaders)
{
  return ParseWorkerSignals(CallDialect{}, aHeaders);
}

}

TEST_CASE("a rate limit is a decimal number")
{
  CHECK(SignalsOf({ { "Server-Limit", "37.6" } }).m_rateLimit == 37.6);
  CHECK(SignalsOf({ { "server-limit", "12" } }).m_rateLimit == 12.0);
  CHECK(SignalsOf({ { "Server-Limit", "0.25" } }).m_rateLimit == 0.25);
  CHECK(SignalsOf({ { "Server-Limit", "0" } }).m_rateLimit == 0.0);
  CHECK(SignalsOf({ { "Server-Limit", "1000000000000" } }).m_rateLimit == 1e12);
  CHECK_FALSE(SignalsOf({ { "Content-Type", "text/plain" } }).m_rateLimit);
}

TEST_CASE("an unreadable rate limit states nothing")
{
  // Guards against treating it as no limit, or as a limit of zero.
  const std::string overflow(400, '9');
  for (const std::string& text : { std::string{ "abc" },
                                   std::string{ "-1" },
                                   std::string{ "nan" },
                                   std::string{ "inf" },
                                   std::string{ "1e400" },
                                   std::string{ "1e3" },
                                   std::string{ "0x10" },
                                   std::string{ "5, 6" },
                                   std::string{ "5 per second" },
                                   overflow }) {
    CAPTURE(text);
    const WorkerSignals signals = SignalsOf({ { "Server-Limit", text } });
    CHECK_FALSE(signals.m_rateLimit);
    CHECK(signals.m_invalidRateLimit == text);
  }
  const WorkerSignals twice =
    SignalsOf({ { "Server-Limit", "5" }, { "Server-Limit", "6" } });
  CHECK_FALSE(twice.m_rateLimit);
  CHECK(twice.m_invalidRateLimit == "5");
}

TEST_CASE("only the value 1 states that a backend server is leaving")
{
  CHECK(SignalsOf({ { "Server-Leaving", "1" } }).m_isLeaving);
  CHECK_FALSE(SignalsOf({ { "Server-Leaving", "0" } }).m_isLeaving);
  CHECK_FALSE(SignalsOf({ { "Server-Leaving", "yes" } }).m_isLeaving);
  CHECK_FALSE(SignalsOf({}).m_isLeaving);
}
