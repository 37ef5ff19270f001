#include "greengagehub/daemon/daemon.hpp"

// State of the local worker, and its announcement to peers.

namespace greengagehub {

namespace {

constexpr auto kProbeInterval = std::chrono::milliseconds{ 500 };

}

void
Daemon::OnWorker(const WorkerPresence& aPresence)
{
  m_calls.OnWorker(aPresence);
  const bool isDraining = m_isWorkerDraining || !aPresence.TakesCalls();
  const WorkerReport& worker = *aPresence.Current();
  m_control.Announce(isDraining ? MemberState::Leaving : MemberState::Alive,
                     { worker.m_slots,
                       aPresence.CurrentTag(),
                       worker.m_version,
                       worker.m_isDraining,
                       aPresence.CurrentIdTag() });
}

void
Daemon::OnPreviousWorker(const WorkerDescription& aWorker)
{
  if (m_platform) {
    m_platform->OnPreviousWorker({ aWorker.m_idTag,
                                   aWorker.m_incarnation,
                                   aWorker.m_version,
                                   aWorker.m_slots,
                                   aWorker.m_isLeaving });
  }
}

void
Daemon::OnWorkerLeaving(bool aIsLeaving)
{
  if (m_platform) {
    m_platform->OnWorkerLeaving();
    return;
  }
  m_calls.SetWorkerLeaving(aIsLeaving);
  if (!m_isWorkerDraining) {
    m_control.Announce(aIsLeaving ? MemberState::Leaving : MemberState::Alive,
                       { m_settings.m_runs.m_slots });
  }
}

void
Daemon::ProbeWorkerWhenDue(TimePoint aNow)
{
  const bool mayCheck = m_platform && !m_isDraining && aNow >= m_nextProbe &&
                        m_control.Holder().GetVersion() > Version{};
  if (!mayCheck || !m_platform->TakeHealthCheck(aNow)) {
    return;
  }
  m_nextProbe = aNow + kProbeInterval;
  m_calls.ProbeWorker(
    [this](const std::string& aId) { return m_platform->OnProbed(aId); });
}

void
Daemon::DrainWorker()
{
  if (m_isWorkerDraining) {
    return;
  }
  m_isWorkerDraining = true;
  m_control.Announce(MemberState::Leaving);
  m_calls.StartDraining();
}

}
