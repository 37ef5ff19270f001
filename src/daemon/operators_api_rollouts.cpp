#include "greengagehub/daemon/operators_api.hpp"

#include "operators_answers.hpp"

// Roll-out requests of the operators' API.

namespace greengagehub {

namespace {

/// Longest roll-out: one day.
constexpr std::uint64_t kMaxDurationMs = 86'400'000;

Json
ToJson(const RolloutRecord& aRecord)
{
  return { { "service", aRecord.m_order.m_service },
           { "target", aRecord.m_order.m_target },
           { "in_service_before", aRecord.m_base },
           { "state", NameOf(aRecord.m_state) },
           { "written", aRecord.m_isWritten },
           { "reason", NameOf(aRecord.m_cause) },
           { "ordered_ms_ago", Millis(aRecord.m_age) },
           { "duration_ms", aRecord.m_order.m_duration.count() },
           { "permille", aRecord.m_permit.m_permille },
           { "workers", aRecord.m_permit.m_workers },
           { "runs", aRecord.m_evidence.m_runs },
           { "harmed", aRecord.m_evidence.m_badRuns },
           { "harmed_expected", aRecord.m_evidence.m_expected } };
}

}

HttpResponse
OperatorsApi::Rollouts() const
{
  const RolloutTable& table = m_deps.m_control.GetRollouts().Table();
  Json all = Json::array();
  for (const RolloutRecord& each : table.All(Clock::now())) {
    all.push_back(ToJson(each));
  }
  return JsonResponse(200, Dump(Json{ { "rollouts", std::move(all) } }));
}

HttpResponse
OperatorsApi::StartRollout(const HttpRequest& aRequest)
{
  const std::string& target = aRequest.m_target;
  const auto duration = ParseNumber(QueryValue(target, "duration_ms"));
  const RolloutOrder order{
    QueryValue(target, "service"),
    QueryValue(target, "target"),
    std::chrono::milliseconds{ static_cast<std::int64_t>(duration.value_or(0)) }
  };
  const bool isValid = !order.m_service.empty() && !order.m_target.empty() &&
                       duration && *duration > 0 && *duration <= kMaxDurationMs;
  if (!isValid) {
    return ErrorResponse(
      400,
      "bad-order",
      "expected a service, a target, and a duration_ms of 1 to 86400000");
  }
  if (!m_deps.m_control.GetRollouts().Start(order)) {
    return ErrorResponse(
      409,
      "order-known",
      "a roll-out of this version was already ordered; a new build "
      "needs a new version");
  }
  return JsonResponse(202, R"({"started":true})");
}

HttpResponse
OperatorsApi::StopRollout(const HttpRequest& aRequest)
{
  const std::string service = QueryValue(aRequest.m_target, "service");
  if (!m_deps.m_control.GetRollouts().Stop(service)) {
    return ErrorResponse(
      404, "not-under-way", "no roll-out of this service is in progress");
  }
  return JsonResponse(202, R"({"rolled_back":true})");
}

}
