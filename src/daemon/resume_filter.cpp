#include "greengagehub/daemon/resume_filter.hpp"

namespace greengagehub {

bool
ResumeFilter::Add(LinkRequest aRequest)
{
  m_delayed.push_back(std::move(aRequest));
  return m_delayed.size() == 1;
}

void
ResumeFilter::Cancel(CallKey aKey)
{
  std::erase_if(m_delayed, [aKey](const LinkRequest& aEach) {
    return aEach.m_key == aKey;
  });
}

void
ResumeFilter::CloseEpochs(std::uint64_t aProcess, std::uint64_t aBelowEpoch)
{
  std::erase_if(m_delayed, [=](const LinkRequest& aEach) {
    return aEach.m_key.m_process == aProcess && aEach.m_epoch < aBelowEpoch;
  });
}

}
