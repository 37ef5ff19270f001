#include "greengagehub/daemon/operators_api.hpp"

#include "operators_answers.hpp"

// What backend servers state about themselves.

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
  return JsonResponse(
    200,
    Dump(Json{ { "own", OwnWorker(now, m_deps.m_calls.GetRunService()) },
               { "known", std::move(known) } }));
}

}
