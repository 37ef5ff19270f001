#pragma once

#include "greengagehub/daemon/descriptor_budget.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/observe/log_rate_limiter.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/transport/link_connection.hpp"

namespace greengagehub {

/// \brief Logs connections that close with data in them, and what is open when
/// the process exits.
///
/// | event               | when                                              |
/// |---------------------|---------------------------------------------------|
/// | connection_closed   | a caller's connection closed with unread or       |
/// |                     | unsent bytes, or by this side under a request     |
/// | request_abandoned   | the client had left before its request was read   |
/// | link_closed         | a link closed with unread or unsent data          |
/// | connections_at_exit | once for callers, links in and links out          |
/// | descriptor_missing  | something was not opened for lack of a descriptor |
///
/// The rate of all but `connections_at_exit` is limited.
class ConnectionLog
{
public:
  ConnectionLog(const Log& aLog, Metrics& aMetrics) noexcept
    : m_log(aLog)
    , m_metrics(aMetrics)
  {
  }

  void OnClosed(const HttpConnectionClose& aClose);
  /// \param aDirection "in" for a link that the peer opened, else "out".
  void OnLinkClosed(std::string_view aDirection,
                    std::string_view aSlot,
                    const LinkClose& aClose);
  /// \brief Logs failures since the last call.
  void OnFailures(const DescriptorFailures& aFailures);
  void OnExit(const HttpConnectionCounts& aCallers,
              const LinkCounts& aLinksIn,
              const LinkCounts& aLinksOut) const;

private:
  void OnAbandoned(const HttpConnectionClose& aClose);

  static constexpr double kLinesPerSecond = 20.0;
  static constexpr double kBurst = 200.0;

  const Log& m_log;
  Metrics& m_metrics;
  DescriptorFailures m_failures;
  LogRateLimiter m_budget{ kLinesPerSecond, kBurst };
};

}
