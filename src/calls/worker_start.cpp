#include "greengagehub/calls/worker_start.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

bool
MayBeSame(const WorkerStart& aLeft, const WorkerStart& aRight) noexcept
{
  const bool bothHaveTimes = aLeft.m_born && aRight.m_born;
  return aLeft.m_id == aRight.m_id &&
         (!bothHaveTimes || *aLeft.m_born == *aRight.m_born);
}

StartTag
TagOf(const WorkerStart& aStart)
{
  const std::int64_t born =
    aStart.m_born ? aStart.m_born->time_since_epoch().count() : -1;
  const Digest digest = HashOf(fmt::format("{}/{}", aStart.m_id, born));
  StartTag tag = 0;
  for (std::size_t i = 0; i < sizeof(tag); ++i) {
    tag = (tag << 8U) | digest.m_bytes[i];
  }
  return std::max<StartTag>(tag, 1);
}

}
