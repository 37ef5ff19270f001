#include "greengagehub/daemon/resume_filter.hpp"

namespace greengagehub {

bool
ResumeFilter::Add(LinkRequest aRequest)
{
  m_delayed.m_links.push_back(std::move(aRequest));
  return m_delayed.m_links.size() + m_delayed.m_callers.size() == 1;
}

bool
ResumeFilter::Add(CallerRequest aRequest)
{
  m_delayed.m_callers.push_back(std::move(aRequest));
  return m_delayed.m_links.size() + m_delayed.m_callers.size() == 1;
}

void
ResumeFilter::Cancel(CallKey aKey)
{
  std::erase_if(m_delayed.m_links, [aKey](const LinkRequest& aEach) {
    return aEach.m_key == aKey;
  });
}

void
ResumeFilter::CloseEpochs(std::uint64_t aProcess, std::uint64_t aBelowEpoch)
{
  std::erase_if(m_delayed.m_links, [=](const LinkRequest& aEach) {
    return aEach.m_key.m_process == aProcess && aEach.m_epoch < aBelowEpoch;
  });
}

void
ResumeFilter::DropConnection(std::uint64_t aConnection)
{
  std::erase_if(m_delayed.m_callers, [aConnection](const CallerRequest& aEach) {
    return aEach.m_request.m_connection == aConnection;
  });
}

}
