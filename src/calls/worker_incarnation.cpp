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
TagOf(const WorkerIncarnation& aIncarnation)
{
  const std::int64_t startTime =
    aIncarnation.m_startedAt
      ? aIncarnation.m_startedAt->time_since_epoch().count()
      : -1;
  const Digest digest =
    Sha256(fmt::format("{}/{}", aIncarnation.m_id, startTime));
  IncarnationTag tag = 0;
  for (std::size_t i = 0; i < sizeof(tag); ++i) {
    tag = (tag << 8U) | digest.m_bytes[i];
  }
  return std::max<IncarnationTag>(tag, 1);
}

}
