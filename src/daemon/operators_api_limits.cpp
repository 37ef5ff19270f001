#include "greengagehub/daemon/operators_api.hpp"

#include "operators_answers.hpp"

#include <algorithm>

// What backend servers state about themselves, transit times to them, and what
// is booked on the network link.

namespace greengagehub {

namespace {

Json
OwnWorker(TimePoint aNow, const RunService& aRuns)
{
  const SendLimiter& limiter = aRuns.Runs().Limiter();
  Json own{ { "instance", aRuns.WorkerId() },
            { "limited", limiter.Limit().has_value() },
            { "leaving", aRuns.Signals().m_isLeaving } };
  if (limiter.Limit()) {
    own["per_second"] = *limiter.Limit();
    own["limited_ms"] = Millis(aNow - limiter.Since());
    own["stated_ms_ago"] = Millis(aNow - limiter.LastStatedAt());
    own["sent_in_4_s"] = limiter.SentInWindow(aNow);
  }
  return own;
}

Json
TransitTimes(TimePoint aNow, const WorkerTable& aWorkers)
{
  Json times = Json::array();
  aWorkers.Rows().Each([&](WorkerTable::Index, const WorkerRow& aRow) {
    if (aRow.m_transitAt != TimePoint{}) {
      times.push_back({ { "slot", aRow.m_slot },
                        { "transit_us",
                          std::chrono::duration_cast<std::chrono::microseconds>(
                            aRow.m_transitTime)
                            .count() },
                        { "age_ms", Millis(aNow - aRow.m_transitAt) } });
    }
  });
  return times;
}

Json
LinkState(TimePoint aNow, const CallGateway& aCalls)
{
  const LinkPacer& pacer = aCalls.Pacer();
  return { { "known", pacer.IsEnabled() },
           { "bytes_per_second", pacer.Rate() },
           { "backlog_ms", Millis(pacer.Backlog(aNow)) },
           { "booked_out_bytes", aCalls.LinkOut().BookedBytes() },
           { "booked_out_calls", aCalls.LinkOut().BookedCalls() },
           { "booked_in_bytes", aCalls.LinkIn().BookedBytes() },
           { "refused",
             aCalls.LinkOut().Refused() + aCalls.LinkIn().Refused() } };
}

}

void
OperatorsApi::SetLinkGauges() const
{
  const CallGateway& calls = m_deps.m_calls;
  Metrics& metrics = m_deps.m_metrics;
  const std::chrono::duration<double> backlog =
    calls.Pacer().Backlog(Clock::now());
  metrics.SetGauge("link_booked_out_bytes",
                   "Expected bytes of accepted answers that leave by the link",
                   static_cast<double>(calls.LinkOut().BookedBytes()));
  metrics.SetGauge("link_booked_in_bytes",
                   "Expected bytes of answers from other instances",
                   static_cast<double>(calls.LinkIn().BookedBytes()));
  metrics.SetGauge(
    "link_refused",
    "Calls refused for the own link since start",
    static_cast<double>(calls.LinkOut().Refused() + calls.LinkIn().Refused()));
  metrics.SetGauge("link_backlog_seconds",
                   "Until the bytes handed to the link have left",
                   backlog.count());
  const ByteBudget& bodies = calls.Bodies();
  metrics.SetGauge("bodies_bytes",
                   "Memory reserved for bodies of requests and answers",
                   static_cast<double>(bodies.Used()));
  metrics.SetGauge("bodies_peak_bytes",
                   "Most memory ever reserved for bodies",
                   static_cast<double>(bodies.Peak()));
  metrics.SetGauge("bodies_limit_bytes",
                   "Memory that bodies may use together",
                   static_cast<double>(bodies.Limit()));
  metrics.SetGauge("bodies_waiting_bytes",
                   "Bodies that are not read until they fit",
                   static_cast<double>(bodies.WaitingBytes()));
  metrics.SetGauge("bodies_without_room",
                   "Bodies that did not fit at once since start",
                   static_cast<double>(bodies.Failures()));
  SetConnectionGauges();
}

void
OperatorsApi::SetConnectionGauges() const
{
  const CallGateway& calls = m_deps.m_calls;
  const HttpAcceptCounts& callers = calls.Callers().AcceptCounts();
  Metrics& metrics = m_deps.m_metrics;
  metrics.SetGauge("callers_connections",
                   "Connections of callers",
                   static_cast<double>(calls.Callers().Connections()));
  metrics.SetGauge("callers_connections_limit",
                   "Connections that callers may have open",
                   static_cast<double>(calls.MaxCallerConnections()));
  metrics.SetGauge("callers_displaced",
                   "Idle connections closed in favour of new ones since start",
                   static_cast<double>(callers.m_displaced));
  metrics.SetGauge("callers_not_accepted",
                   "Connections of callers that could not be accepted at once "
                   "since start",
                   static_cast<double>(callers.m_failures));
  metrics.SetGauge("links_not_accepted",
                   "Links that could not be accepted at once since start",
                   static_cast<double>(calls.LinksIn().AcceptFailures()));
  metrics.SetGauge(
    "pulls_not_sent",
    "Pulls that found no descriptor since start",
    static_cast<double>(m_deps.m_control.Bulk().Counts().m_failed));
}

HttpResponse
OperatorsApi::Limits() const
{
  const TimePoint now = Clock::now();
  Json known = Json::array();
  const auto& signals = m_deps.m_calls.GetDispatcher().Workers().Signals();
  for (const auto& [slot, entry] : signals.All()) {
    Json each{ { "slot", slot },
               { "limited", entry.m_statement.m_rateLimit.has_value() },
               { "leaving", entry.m_statement.m_isLeaving },
               { "age_ms", Millis(now - entry.m_updatedAt) } };
    if (entry.m_statement.m_rateLimit) {
      each["per_second"] = *entry.m_statement.m_rateLimit;
    }
    known.push_back(std::move(each));
  }
  const WorkerTable& workers = m_deps.m_calls.GetDispatcher().Workers();
  return JsonResponse(
    200,
    Dump(Json{ { "link", LinkState(now, m_deps.m_calls) },
               { "own", OwnWorker(now, m_deps.m_calls.GetRunService()) },
               { "known", std::move(known) },
               { "transit", TransitTimes(now, workers) } }));
}

std::chrono::duration<double>
OperatorsApi::LongestTransit(TimePoint aNow) const
{
  constexpr auto kMaxAge = std::chrono::seconds{ 3 };
  Duration longest{ 0 };
  m_deps.m_calls.GetDispatcher().Workers().Rows().Each(
    [&](WorkerTable::Index, const WorkerRow& aRow) {
      if (aNow - aRow.m_transitAt < kMaxAge) {
        longest = std::max(longest, aRow.m_transitTime);
      }
    });
  return longest;
}

}
