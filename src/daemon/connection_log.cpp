#include "greengagehub/daemon/connection_log.hpp"

#include "greengagehub/daemon/abandoned_stage.hpp"

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "connections";

bool
HoldsData(const SocketQueues& aQueues) noexcept
{
  return aQueues.m_unreadBytes + aQueues.m_unsentBytes > 0;
}

/// \returns Whether a request was being received, handled or answered.
bool
IsBusy(HttpConnectionState aState) noexcept
{
  return aState != HttpConnectionState::Idle &&
         aState != HttpConnectionState::Lingering;
}

}

void
ConnectionLog::OnClosed(const HttpConnectionClose& aClose)
{
  m_metrics.CountClosedConnection(NameOf(aClose.m_state),
                                  NameOf(aClose.m_cause));
  const bool isCutByUs =
    aClose.m_cause != HttpCloseCause::Peer && IsBusy(aClose.m_state);
  if (aClose.m_cause == HttpCloseCause::Abandoned) {
    OnAbandoned(aClose);
    return;
  }
  if (!(isCutByUs || HoldsData(aClose.m_queues)) ||
      !m_budget.TryAcquire(Clock::now())) {
    return;
  }
  m_log.Info(
    kComponent,
    "connection_closed",
    { { "state", NameOf(aClose.m_state) },
      { "cause", NameOf(aClose.m_cause) },
      { "unread_bytes", std::uint64_t{ aClose.m_queues.m_unreadBytes } },
      { "unsent_bytes", std::uint64_t{ aClose.m_queues.m_unsentBytes } },
      { "requests", aClose.m_requests },
      { "state_for_us",
        std::chrono::duration_cast<std::chrono::microseconds>(aClose.m_age)
          .count() } });
}

void
ConnectionLog::OnAbandoned(const HttpConnectionClose& aClose)
{
  const std::string_view stage = NameOf(AbandonedStage::Unread);
  m_metrics.CountAbandoned(stage);
  if (!m_budget.TryAcquire(Clock::now())) {
    return;
  }
  const bool isKnown = aClose.m_unreadFor.has_value();
  m_log.Info(kComponent,
             "request_abandoned",
             { { "stage", stage },
               { "requests", aClose.m_requests },
               { "unread_known", isKnown },
               { "unread_ms", isKnown ? aClose.m_unreadFor->count() : 0 } });
}

void
ConnectionLog::OnLinkClosed(std::string_view aDirection,
                            std::string_view aSlot,
                            const LinkClose& aClose)
{
  if (!(aClose.m_hadUnsentFrames || HoldsData(aClose.m_queues)) ||
      !m_budget.TryAcquire(Clock::now())) {
    return;
  }
  m_log.Info(
    kComponent,
    "link_closed",
    { { "direction", aDirection },
      { "peer", aSlot },
      { "cause", NameOf(aClose.m_cause) },
      { "unread_bytes", std::uint64_t{ aClose.m_queues.m_unreadBytes } },
      { "unsent_bytes", std::uint64_t{ aClose.m_queues.m_unsentBytes } },
      { "unsent_frames", aClose.m_hadUnsentFrames } });
}

void
ConnectionLog::OnFailures(const DescriptorFailures& aFailures)
{
  if (aFailures == m_failures || !m_budget.TryAcquire(Clock::now())) {
    return;
  }
  m_failures = aFailures;
  m_log.Warning(kComponent,
                "descriptor_missing",
                { { "callers", aFailures.m_callers },
                  { "links", aFailures.m_links },
                  { "pulls", aFailures.m_pulls } });
}

void
ConnectionLog::OnExit(const HttpConnectionCounts& aCallers,
                      const LinkCounts& aLinksIn,
                      const LinkCounts& aLinksOut) const
{
  const SocketQueues& queues = aCallers.m_queues;
  m_log.Info(kComponent,
             "connections_at_exit",
             { { "peers", std::string_view{ "callers" } },
               { "idle", std::uint64_t{ aCallers.m_idle } },
               { "receiving", std::uint64_t{ aCallers.m_receiving } },
               { "handling", std::uint64_t{ aCallers.m_handling } },
               { "answering", std::uint64_t{ aCallers.m_answering } },
               { "lingering", std::uint64_t{ aCallers.m_lingering } },
               { "unread_bytes", std::uint64_t{ queues.m_unreadBytes } },
               { "unsent_bytes", std::uint64_t{ queues.m_unsentBytes } } });
  const auto logLinks = [&](std::string_view aName, const LinkCounts& aLinks) {
    m_log.Info(
      kComponent,
      "connections_at_exit",
      { { "peers", aName },
        { "open", std::uint64_t{ aLinks.m_open } },
        { "with_unsent_frames", std::uint64_t{ aLinks.m_withUnsentFrames } },
        { "unread_bytes", std::uint64_t{ aLinks.m_queues.m_unreadBytes } },
        { "unsent_bytes", std::uint64_t{ aLinks.m_queues.m_unsentBytes } } });
  };
  logLinks("links-in", aLinksIn);
  logLinks("links-out", aLinksOut);
}

}
