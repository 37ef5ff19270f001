#include "greengagehub/workspaces/freshness.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };

}

TEST_CASE("keys are accepted for the bound after the read was sent, no longer")
{
  Freshness freshness{ 4800ms };
  CHECK_FALSE(freshness.IsFresh(kStart));
  freshness.OnVersion(Version{ 3 });
  freshness.OnProof({ kStart, Version{ 3 } });
  CHECK(freshness.IsFresh(kStart + 4800ms));
  CHECK_FALSE(freshness.IsFresh(kStart + 4801ms));
}

TEST_CASE("a proof of a version counts only once that is in force")
{
  Freshness freshness{ 4800ms };
  freshness.OnVersion(Version{ 3 });
  freshness.OnProof({ kStart, Version{ 4 } });
  CHECK_FALSE(freshness.IsFresh(kStart));
  freshness.OnVersion(Version{ 4 });
  CHECK(freshness.IsFresh(kStart));
}

TEST_CASE("a proof that comes late does not make a newer one older")
{
  Freshness freshness{ 4800ms };
  freshness.OnVersion(Version{ 3 });
  freshness.OnProof({ kStart + 2s, Version{ 3 } });
  freshness.OnProof({ kStart, Version{ 2 } });
  CHECK(*freshness.ProvenAt() == kStart + 2s);
}

TEST_CASE("in a storm of changes the proofs of applied versions count")
{
  Freshness freshness{ 4800ms };
  for (std::uint64_t version = 1; version <= 40; ++version) {
    const TimePoint now = kStart + version * 100ms;
    freshness.OnProof({ now, Version{ version } });
    freshness.OnVersion(Version{ version > 5 ? version - 5 : 0 });
  }
  REQUIRE(freshness.ProvenAt());
  CHECK(*freshness.ProvenAt() == kStart + 35 * 100ms);
}

TEST_CASE("without a bound any key of the configuration is accepted")
{
  const Freshness freshness{ 0ms };
  CHECK(freshness.IsFresh(kStart));
}
