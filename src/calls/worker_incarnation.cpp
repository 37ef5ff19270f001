#include "greengagehub/calls/worker_incarnation.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

bool
MayBeSame(const WorkerIncarnation& aLeft,
          const WorkerIncarnation& aRight) noexcept
{
  const bool bothHaveTimes = aLeft.m_startedAt && aRight.m_startedAt;
  return aLeft.m_id == aRight.m_id &&
         (!bothHaveTimes || *aLeft.m_startedAt == *aRight.m_startedAt);
}

IncarnationTag
TagOf(const WorkerIncarnation& aStart)
{
  const std::int64_t born =
    aStart.m_startedAt ? aStart.m_startedAt->time_since_epoch().count() : -1;
  const Digest digest = Sha256(fmt::format("{}/{}", aStart.m_id, born));
  IncarnationTag tag = 0;
  for (std::size_t i = 0; i < sizeof(tag); ++i) {
    tag = (tag << 8U) | digest.m_bytes[i];
  }
  return std::max<IncarnationTag>(tag, 1);
}

}
