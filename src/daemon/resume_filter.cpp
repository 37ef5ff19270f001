#include "greengagehub/daemon/resume_filter.hpp"

namespace greengagehub {

bool
ResumeFilter::Add(FromLink aRequest)
{
  m_delayed.m_links.push_back(std::move(aRequest));
  return m_delayed.m_links.size() + m_delayed.m_callers.size() == 1;
}

bool
ResumeFilter::Add(FromCaller aRequest)
{
  m_delayed.m_callers.push_back(std::move(aRequest));
  return m_delayed.m_links.size() + m_delayed.m_callers.size() == 1;
}

void
ResumeFilter::Cancel(CallKey aKey)
{
  std::erase_if(m_delayed.m_links,
                [aKey](const FromLink& aEach) { return aEach.m_key == aKey; });
}

void
ResumeFilter::CloseEpochs(std::uint64_t aProcess, std::uint64_t aBelowEpoch)
{
  std::erase_if(m_delayed.m_links, [=](const FromLink& aEach) {
    return aEach.m_key.m_process == aProcess && aEach.m_epoch < aBelowEpoch;
  });
}

void
ResumeFilter::HungUp(std::uint64_t aConnection)
{
  std::erase_if(m_delayed.m_callers, [aConnection](const FromCaller& aEach) {
    return aEach.m_request.m_connection == aConnection;
  });
}

}
