#include "greengagehub/workspaces/config_freshness.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };

}

TEST_CASE("keys are accepted no longer than the bound after the read was sent")
{
  ConfigFreshness freshness{ 4800ms };
  CHECK_FALSE(freshness.IsFresh(kStart));
  freshness.OnVersion(Version{ 3 });
  freshness.OnProof({ kStart, Version{ 3 } });
  CHECK(freshness.IsFresh(kStart + 4800ms));
  CHECK_FALSE(freshness.IsFresh(kStart + 4801ms));
}

TEST_CASE("a proof counts only once its version is active")
{
  ConfigFreshness freshness{ 4800ms };
  freshness.OnVersion(Version{ 3 });
  freshness.OnProof({ kStart, Version{ 4 } });
  CHECK_FALSE(freshness.IsFresh(kStart));
  freshness.OnVersion(Version{ 4 });
  CHECK(freshness.IsFresh(kStart));
}

TEST_CASE("a delayed proof does not replace a newer one")
{
  ConfigFreshness freshness{ 4800ms };
  freshness.OnVersion(Version{ 3 });
  freshness.OnProof({ kStart + 2s, Version{ 3 } });
  freshness.OnProof({ kStart, Version{ 2 } });
  CHECK(*freshness.ProvenAt() == kStart + 2s);
}

TEST_CASE("proofs of applied versions count while newer versions keep arriving")
{
  ConfigFreshness freshness{ 4800ms };
  for (std::uint64_t version = 1; version <= 40; ++version) {
    const TimePoint now = kStart + version * 100ms;
    freshness.OnProof({ now, Version{ version } });
    freshness.OnVersion(Version{ version > 5 ? version - 5 : 0 });
  }
  REQUIRE(freshness.ProvenAt());
  CHECK(*freshness.ProvenAt() == kStart + 35 * 100ms);
}

TEST_CASE("keys are accepted without a proof if no bound is set")
{
  const ConfigFreshness freshness{ 0ms };
  CHECK(freshness.IsFresh(kStart));
}
