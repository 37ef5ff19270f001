#include "greengagehub/observe/metrics.hpp"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace greengagehub {

namespace {

/// Upper bounds, in seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{
  0.0001, 0.0002, 0.00035, 0.0005, 0.001, 0.002, 0.005,
  0.01,   0.02,   0.05,    0.1,    0.2,   0.5,   1.0
};

}

struct Metrics::Impl
{
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_calls =
    prometheus::BuildCounter()
      .Name("greengagehub_calls_total")
      .Help("Calls that got their final answer, by outcome and reason")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_runs =
    prometheus::BuildCounter()
      .Name("greengagehub_runs_total")
      .Help("Attempts at the own worker, by what became of them")
      .Register(m_registry);
  prometheus::Counter& m_workerCrashes =
    prometheus::BuildCounter()
      .Name("greengagehub_worker_ends_total")
      .Help("Ends of the own worker's process while it ran requests")
      .Register(m_registry)
      .Add({});
  prometheus::Counter& m_workerRequests =
    prometheus::BuildCounter()
      .Name("greengagehub_worker_requests_total")
      .Help("Requests sent to the own worker, health checks included")
      .Register(m_registry)
      .Add({});
  prometheus::Family<prometheus::Counter>& m_brokenAnswers =
    prometheus::BuildCounter()
      .Name("greengagehub_broken_answers_total")
      .Help("Answers of the own worker that were not taken, by reason")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_closedConnections =
    prometheus::BuildCounter()
      .Name("greengagehub_connections_closed_total")
      .Help("Closed connections of callers, by state and cause")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_abandoned =
    prometheus::BuildCounter()
      .Name("greengagehub_abandoned_requests_total")
      .Help("Requests whose clients disconnected before the answer, by stage")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_cancellations =
    prometheus::BuildCounter()
      .Name("greengagehub_cancellations_total")
      .Help(
        "Cancelled attempts at other daemons, by what became of the message")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_rejectedReports =
    prometheus::BuildCounter()
      .Name("greengagehub_refused_reports_total")
      .Help("Reports about backend servers that were not taken, by reason")
      .Register(m_registry);
  prometheus::Family<prometheus::Gauge>& m_bytes =
    prometheus::BuildGauge()
      .Name("greengagehub_control_bytes")
      .Help("Control traffic since start, by purpose and direction")
      .Register(m_registry);
  prometheus::Family<prometheus::Gauge>& m_store =
    prometheus::BuildGauge()
      .Name("greengagehub_store_calls")
      .Help("Calls to the store since start, by kind")
      .Register(m_registry);
  prometheus::Family<prometheus::Gauge>& m_versionEvents =
    prometheus::BuildGauge()
      .Name("greengagehub_version_events")
      .Help("Events in the exchange of versions since start, by kind")
      .Register(m_registry);
  prometheus::Family<prometheus::Histogram>& m_latency =
    prometheus::BuildHistogram()
      .Name("greengagehub_call_seconds")
      .Help("Time from a caller's request to its answer")
      .Register(m_registry);
  prometheus::Histogram& m_callSeconds = m_latency.Add({}, kLatencyBuckets);
  std::map<std::string, prometheus::Gauge*, std::less<>> m_gauges;
};

Metrics::Metrics()
  : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::CountCall(std::string_view aOutcome, std::string_view aReason)
{
  m_impl->m_calls
    .Add({ { "outcome", std::string{ aOutcome } },
           { "reason", std::string{ aReason } } })
    .Increment();
}

void
Metrics::CountRun(std::string_view aResult)
{
  m_impl->m_runs.Add({ { "result", std::string{ aResult } } }).Increment();
}

void
Metrics::CountWorkerCrash()
{
  m_impl->m_workerCrashes.Increment();
}

void
Metrics::CountWorkerRequest()
{
  m_impl->m_workerRequests.Increment();
}

void
Metrics::CountBrokenAnswer(std::string_view aReason)
{
  m_impl->m_brokenAnswers.Add({ { "reason", std::string{ aReason } } })
    .Increment();
}

void
Metrics::CountClosedConnection(std::string_view aState, std::string_view aCause)
{
  m_impl->m_closedConnections
    .Add({ { "state", std::string{ aState } },
           { "cause", std::string{ aCause } } })
    .Increment();
}

void
Metrics::CountAbandoned(std::string_view aStage)
{
  m_impl->m_abandoned.Add({ { "stage", std::string{ aStage } } }).Increment();
}

void
Metrics::CountCancellation(std::string_view aDelivery)
{
  m_impl->m_cancellations.Add({ { "delivery", std::string{ aDelivery } } })
    .Increment();
}

void
Metrics::CountRejectedReport(std::string_view aReason)
{
  m_impl->m_rejectedReports.Add({ { "reason", std::string{ aReason } } })
    .Increment();
}

void
Metrics::SetBytes(std::string_view aPurpose,
                  std::string_view aDirection,
                  std::uint64_t aTotal)
{
  m_impl->m_bytes
    .Add({ { "purpose", std::string{ aPurpose } },
           { "direction", std::string{ aDirection } } })
    .Set(static_cast<double>(aTotal));
}

void
Metrics::SetStoreCalls(std::string_view aKind, std::uint64_t aTotal)
{
  m_impl->m_store.Add({ { "kind", std::string{ aKind } } })
    .Set(static_cast<double>(aTotal));
}

void
Metrics::SetVersionEvents(std::string_view aEvent, std::uint64_t aTotal)
{
  m_impl->m_versionEvents.Add({ { "event", std::string{ aEvent } } })
    .Set(static_cast<double>(aTotal));
}

void
Metrics::SetGauge(std::string_view aName, std::string_view aHelp, double aValue)
{
  auto found = m_impl->m_gauges.find(aName);
  if (found == m_impl->m_gauges.end()) {
    prometheus::Gauge& gauge = prometheus::BuildGauge()
                                 .Name("greengagehub_" + std::string{ aName })
                                 .Help(std::string{ aHelp })
                                 .Register(m_impl->m_registry)
                                 .Add({});
    found = m_impl->m_gauges.emplace(std::string{ aName }, &gauge).first;
  }
  found->second->Set(aValue);
}

void
Metrics::ObserveLatency(double aSeconds)
{
  m_impl->m_callSeconds.Observe(aSeconds);
}

std::string
Metrics::Expose() const
{
  return prometheus::TextSerializer{}.Serialize(m_impl->m_registry.Collect());
}

}
