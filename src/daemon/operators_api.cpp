#include "greengagehub/daemon/operators_api.hpp"

#include "greengagehub/daemon/descriptor_budget.hpp"
#include "greengagehub/daemon/wall_clock.hpp"
#include "operators_answers.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace greengagehub {

namespace {

constexpr std::string_view kPatchesPath = "/v1/patches";
constexpr std::string_view kPatchPrefix = "/v1/patches/";
constexpr std::size_t kMaxIdLength = 200;
constexpr std::size_t kMaxBodyBytes = 256UL * 1024;

/// Ids occur in paths and log lines: printable ASCII without blanks or reserved
/// characters.
bool
IsValidId(std::string_view aId)
{
  return !aId.empty() && aId.size() <= kMaxIdLength &&
         std::all_of(aId.begin(), aId.end(), [](char aChar) {
           return aChar > ' ' && aChar < 0x7F && aChar != '/' && aChar != '?' &&
                  aChar != '#' && aChar != '%';
         });
}

HttpResponse
ResponseFor(const DecisionAnswer& aAnswer)
{
  using Kind = DecisionAnswer::Kind;
  switch (aAnswer.m_kind) {
    case Kind::Decided:
      return JsonResponse(aAnswer.m_decision.m_accepted ? 200 : 409,
                          DecisionToJson(aAnswer.m_decision));
    case Kind::NotDecided:
      return ErrorResponse(404, "not-decided", aAnswer.m_detail);
    case Kind::IdReused:
      return ErrorResponse(422, "id-reused", aAnswer.m_detail);
    case Kind::StoreBehind:
      return ErrorResponse(500, "store-behind", aAnswer.m_detail);
    case Kind::StoreCorrupt:
      return ErrorResponse(500, "store-unreadable", aAnswer.m_detail);
    case Kind::NotKnown:
      break;
  }
  HttpResponse response = ErrorResponse(503, "not-known", aAnswer.m_detail);
  response.m_headers.push_back(HttpHeader{ "Retry-After", "2" });
  return response;
}

HttpServerSettings
ServerSettings(const Settings& aSettings)
{
  return { .m_address = aSettings.m_listen.m_host,
           .m_port = aSettings.m_listen.m_operatorsPort,
           .m_limits = { .m_maxBodyBytes = kMaxBodyBytes },
           .m_maxConnections = DescriptorBudget::kMaxControlConnections };
}

/// Contains names and numbers, never an API key.
Json
WorkspaceStatus(const WorkspaceService& aWorkspaces)
{
  Json status{ { "keys", aWorkspaces.Table().KeyCount() },
               { "coordinator", aWorkspaces.Quotas().Coordinator() },
               { "coordinates", aWorkspaces.Quotas().IsCoordinator() } };
  if (const auto age = aWorkspaces.ProofAge()) {
    status["proof_age_ms"] = age->count();
  }
  return status;
}

}

OperatorsApi::OperatorsApi(Dependencies aDependencies)
  : m_deps(std::move(aDependencies))
  , m_http(m_deps.m_loop,
           ServerSettings(m_deps.m_settings),
           [this](const HttpRequest& aRequest, HttpResponder aResponder) {
             OnHttp(aRequest, std::move(aResponder));
           })
{
}

bool
OperatorsApi::IsAuthorised(const HttpRequest& aRequest) const
{
  const std::string expected = "Bearer " + m_deps.m_settings.m_operatorToken;
  const std::string_view given =
    HeaderValue(aRequest.m_headers, "authorization");
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void
OperatorsApi::OnHttp(const HttpRequest& aRequest, HttpResponder aResponder)
{
  if (aRequest.m_method == "GET") {
    OnGet(aRequest, std::move(aResponder));
    return;
  }
  if (aRequest.m_method != "POST") {
    aResponder.Answer(
      ErrorResponse(405, "method-not-allowed", "allowed: GET, POST"));
    return;
  }
  if (!IsAuthorised(aRequest)) {
    aResponder.Answer(ErrorResponse(
      401, "unauthorised", "POST requires the operators' bearer token"));
    return;
  }
  OnPost(aRequest, std::move(aResponder));
}

void
OperatorsApi::OnPost(const HttpRequest& aRequest, HttpResponder aResponder)
{
  const std::string_view path = PathOf(aRequest.m_target);
  if (path == kPatchesPath) {
    Submit(aRequest, std::move(aResponder));
  } else if (path == "/v1/quarantine/lift") {
    aResponder.Answer(LiftQuarantine(aRequest));
  } else if (path == "/v1/rollouts/start") {
    aResponder.Answer(StartRollout(aRequest));
  } else if (path == "/v1/rollouts/stop") {
    aResponder.Answer(StopRollout(aRequest));
  } else if (path == "/v1/drain") {
    aResponder.Answer(JsonResponse(202, R"({"draining":true})"));
    m_deps.m_startDrain();
  } else {
    aResponder.Answer(ErrorResponse(404, "not-found", path));
  }
}

void
OperatorsApi::Submit(const HttpRequest& aRequest, HttpResponder aResponder)
{
  const std::string id = QueryValue(aRequest.m_target, "id");
  const auto base = ParseNumber(QueryValue(aRequest.m_target, "base"));
  if (!IsValidId(id)) {
    aResponder.Answer(ErrorResponse(
      400,
      "bad-id",
      "id: expected 1 to 200 printable characters without / ? # %"));
    return;
  }
  if (!base) {
    aResponder.Answer(ErrorResponse(
      400,
      "bad-base",
      "base: expected the version number that the patch is based on"));
    return;
  }
  auto patch = CanonicalPatch(aRequest.m_body);
  if (!patch) {
    const bool large = patch.error().m_code == ErrorCode::TooLarge;
    aResponder.Answer(ErrorResponse(
      400, large ? "too-large" : "not-json", Describe(patch.error())));
    return;
  }
  Submission submission;
  submission.m_id = id;
  submission.m_base = Version{ *base };
  submission.m_author = QueryValue(aRequest.m_target, "author");
  submission.m_patch = std::move(patch.value());
  submission.m_submittedAt = WallNow();
  m_deps.m_control.Decisions().Submit(
    std::move(submission),
    [responder = std::move(aResponder)](const DecisionAnswer& aAnswer) mutable {
      responder.Answer(ResponseFor(aAnswer));
    });
}

void
OperatorsApi::FindDecision(std::string aId, HttpResponder aResponder)
{
  m_deps.m_control.Decisions().FindDecision(
    std::move(aId),
    [responder = std::move(aResponder)](const DecisionAnswer& aAnswer) mutable {
      HttpResponse response = ResponseFor(aAnswer);
      if (aAnswer.m_kind == DecisionAnswer::Kind::Decided) {
        // The request succeeded even if the recorded decision is a rejection.
        response.m_status = 200;
      }
      responder.Answer(std::move(response));
    });
}

void
OperatorsApi::OnGet(const HttpRequest& aRequest, HttpResponder aResponder)
{
  const std::string_view path = PathOf(aRequest.m_target);
  ControlPlane& control = m_deps.m_control;
  if (path.starts_with(kPatchPrefix)) {
    FindDecision(std::string{ path.substr(kPatchPrefix.size()) },
                 std::move(aResponder));
  } else if (path == "/v1/version") {
    aResponder.Answer(VersionStatus(aRequest));
  } else if (path == "/v1/config") {
    aResponder.Answer(
      JsonResponse(200, control.Holder().Active()->m_content.ToJson()));
  } else if (path == "/v1/changes") {
    aResponder.Answer(Changes(aRequest));
  } else if (path == "/v1/status") {
    aResponder.Answer(Status());
  } else if (path == "/v1/limits") {
    aResponder.Answer(Limits());
  } else if (path == "/v1/shares") {
    aResponder.Answer(Shares());
  } else if (path == "/v1/quotas") {
    aResponder.Answer(Quotas());
  } else if (path == "/v1/quarantine") {
    aResponder.Answer(QuarantinedRequests());
  } else if (path == "/v1/rollouts") {
    aResponder.Answer(Rollouts());
  } else if (path == "/metrics") {
    aResponder.Answer(MetricsText());
  } else if (path == "/healthz") {
    aResponder.Answer(JsonResponse(200, R"({"alive":true})"));
  } else if (path == "/readyz") {
    const bool ready = control.IsReady();
    aResponder.Answer(JsonResponse(
      ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
  } else {
    aResponder.Answer(ErrorResponse(404, "not-found", path));
  }
}

HttpResponse
OperatorsApi::VersionStatus(const HttpRequest& aRequest)
{
  ControlPlane& control = m_deps.m_control;
  const auto refreshBelow =
    ParseNumber(QueryValue(aRequest.m_target, "refresh"));
  if (refreshBelow) {
    control.ProbeBelowVersion(Version{ *refreshBelow });
  }
  const ActiveConfig& active = *control.Holder().Active();
  return JsonResponse(
    200,
    Dump(Json{ { "version", active.m_version.m_number },
               { "lowest_in_force", control.LowestInForce().m_number },
               { "members", control.Members().Members().Present() + 1 },
               { "chain", ToHex(active.m_chain) },
               { "content", ToHex(active.m_content.GetDigest()) } }));
}

HttpResponse
OperatorsApi::Changes(const HttpRequest& aRequest) const
{
  const auto after = ParseNumber(QueryValue(aRequest.m_target, "after"));
  if (!after) {
    return ErrorResponse(400, "bad-after", "after: expected a version number");
  }
  bool complete = false;
  const auto entries =
    m_deps.m_control.Holder().EntriesAfter(Version{ *after }, complete);
  Json changes = Json::array();
  for (const VersionEntry& each : entries) {
    changes.push_back(
      { { "version", each.m_version.m_number }, { "patch", each.m_patch } });
  }
  return JsonResponse(
    200,
    Dump(Json{ { "complete", complete }, { "changes", std::move(changes) } }));
}

HttpResponse
OperatorsApi::Status() const
{
  ControlPlane& control = m_deps.m_control;
  const MemberRecord& self = control.Members().Self();
  Json members = Json::array();
  control.Members().Members().Rows().Each(
    [&members](MemberTable::Index, const MemberRow& aRow) {
      members.push_back({ { "slot", aRow.m_record.m_slot },
                          { "service", aRow.m_record.m_service },
                          { "domain", aRow.m_record.m_domain },
                          { "state", static_cast<int>(aRow.m_record.m_state) },
                          { "version", aRow.m_version.m_number } });
    });
  const RunTable& runs = m_deps.m_calls.Runs();
  return JsonResponse(
    200,
    Dump(Json{ { "slot", self.m_slot },
               { "service", self.m_service },
               { "region", self.m_region },
               { "domain", self.m_domain },
               { "version", control.Holder().GetVersion().m_number },
               { "ready", control.IsReady() },
               { "leaving", runs.IsDraining() },
               { "watching", control.IsWatching() },
               { "store_behind", control.IsStoreBehind() },
               { "running", runs.Running() },
               { "queued", runs.Queued() },
               { "in_flight", m_deps.m_calls.InFlight() },
               { "workspaces", WorkspaceStatus(control.GetWorkspaces()) },
               { "members", std::move(members) } }));
}

HttpResponse
OperatorsApi::QuarantinedRequests() const
{
  const Quarantine& quarantine = m_deps.m_control.GetQuarantine().Table();
  const TimePoint now = Clock::now();
  Json quarantined = Json::array();
  for (const QuarantineVerdict& each : quarantine.Verdicts(now)) {
    if (!each.m_isQuarantined) {
      continue;
    }
    Json witnesses = Json::array();
    for (const auto& crash : quarantine.KnownCrashes(now, each.m_fingerprint)) {
      witnesses.push_back({ { "slot", crash.m_slot },
                            { "ago_ms", Millis(crash.m_age) },
                            { "ran_ms", Millis(crash.m_ran) } });
    }
    quarantined.push_back(
      { { "content", ToHex(each.m_fingerprint) },
        { "service", each.m_service },
        { "generation", each.m_generation },
        { "ends", each.m_crashCount },
        { "held_ms", Millis(each.m_age) },
        { "left_ms", Millis(Quarantine::kQuarantineTime - each.m_age) },
        { "witnesses", std::move(witnesses) } });
  }
  return JsonResponse(200, Dump(Json{ { "held", std::move(quarantined) } }));
}

HttpResponse
OperatorsApi::LiftQuarantine(const HttpRequest& aRequest)
{
  const auto content =
    ParseFingerprint(QueryValue(aRequest.m_target, "content"));
  if (!content) {
    return ErrorResponse(
      400, "bad-content", "content: expected 32 hexadecimal digits");
  }
  if (!m_deps.m_control.GetQuarantine().Lift(content.value())) {
    return ErrorResponse(
      404, "not-held", "no request with this fingerprint is quarantined");
  }
  return JsonResponse(200, R"({"lifted":true})");
}

void
OperatorsApi::SetVersionMetrics()
{
  Metrics& metrics = m_deps.m_metrics;
  const VersionCounts& counts = m_deps.m_control.Versions();
  for (std::size_t i = 0; i < kVersionChannels; ++i) {
    const auto channel = static_cast<VersionChannel>(i);
    metrics.SetVersionEvents(fmt::format("applied by {}", NameOf(channel)),
                             counts.m_applied[i]);
  }
  metrics.SetVersionEvents("entry on another version", counts.m_gaps);
  metrics.SetVersionEvents("unusable entry", counts.m_unusable);
  metrics.SetVersionEvents("content replaced", counts.m_replaced);
  metrics.SetVersionEvents("pull", counts.m_pulls);
  metrics.SetVersionEvents("failed pull", counts.m_failedPulls);
  metrics.SetVersionEvents("snapshot sent", counts.m_snapshotsSent);
}

HttpResponse
OperatorsApi::MetricsText()
{
  Metrics& metrics = m_deps.m_metrics;
  const ControlPlane& control = m_deps.m_control;
  const TrafficCounts& gossip = control.Gossip().Counts();
  const TrafficCounts& bulk = control.Bulk().Counts();
  const platform::StoreCounts& store = control.GetStore().Counts();
  metrics.SetBytes("gossip", "sent", gossip.m_bytesSent);
  metrics.SetBytes("gossip", "received", gossip.m_bytesReceived);
  metrics.SetBytes("bulk", "sent", bulk.m_bytesSent);
  metrics.SetBytes("bulk", "received", bulk.m_bytesReceived);
  metrics.SetBytes("store", "received", store.m_bytesIn);
  m_deps.m_traffic.ForEach([&metrics](TrafficPurpose aPurpose,
                                      bool aIsOtherDomain,
                                      std::uint64_t aBytes) {
    metrics.SetBytes(NameOf(aPurpose),
                     aIsOtherDomain ? "to another domain" : "within",
                     aBytes);
  });
  metrics.SetStoreCalls("read", store.m_reads);
  metrics.SetStoreCalls("old read", store.m_staleReads);
  metrics.SetStoreCalls("write", store.m_writes);
  metrics.SetStoreCalls("watch", store.m_watches);
  metrics.SetStoreCalls("failed", store.m_failures);
  metrics.SetGauge("version",
                   "Configuration version in force here",
                   static_cast<double>(control.Holder().GetVersion().m_number));
  metrics.SetGauge("version_known",
                   "Highest configuration version known to exist",
                   static_cast<double>(control.HighestKnownVersion().m_number));
  SetVersionMetrics();
  metrics.SetGauge("members",
                   "Other daemons believed to run",
                   static_cast<double>(control.Members().Members().Present()));
  metrics.SetGauge(
    "watching", "Whether it watches the store", control.IsWatching() ? 1 : 0);
  metrics.SetGauge("store_behind",
                   "Whether the store is behind the fleet",
                   control.IsStoreBehind() ? 1 : 0);
  metrics.SetGauge(
    "contents_held",
    "Requests that are not run, by content, as workers ended under them",
    static_cast<double>(
      m_deps.m_control.GetQuarantine().Table().CountQuarantined()));
  metrics.SetGauge(
    "rollouts_open",
    "Versions on trial, neither completed nor rolled back",
    static_cast<double>(m_deps.m_control.GetRollouts().Table().CountOpen()));
  metrics.SetGauge("runs_running",
                   "Attempts running at the own worker",
                   m_deps.m_calls.Runs().Running());
  metrics.SetGauge("runs_queued",
                   "Attempts waiting for the own worker",
                   m_deps.m_calls.Runs().Queued());
  const FairShares& shares = m_deps.m_calls.Runs().Shares();
  metrics.SetGauge("workspaces_active",
                   "Workspaces with attempts at the own worker",
                   static_cast<double>(shares.ActiveCount()));
  metrics.SetGauge(
    "runs_over_share",
    "Attempts refused, their workspace ahead of its share, since "
    "the start of the daemon",
    static_cast<double>(shares.RefusedCount()));
  metrics.SetGauge("transit_seconds",
                   "Longest time of attempts outside a worker's daemon, of "
                   "those measured in the last 3 s",
                   LongestTransit(Clock::now()).count());
  const WorkerSignals& signals = m_deps.m_calls.GetRunService().Signals();
  metrics.SetGauge("worker_limited",
                   "Whether the own worker names a limit",
                   signals.m_rateLimit ? 1 : 0);
  metrics.SetGauge("worker_limit",
                   "Requests per second that the own worker takes, if limited",
                   signals.m_rateLimit.value_or(0.0));
  metrics.SetGauge("worker_leaving",
                   "Whether the own worker says that it leaves",
                   signals.m_isLeaving ? 1 : 0);
  SetLinkGauges();
  SetQuotaMetrics(metrics);
  metrics.SetGauge("malformed_messages",
                   "Messages dropped as garbage",
                   static_cast<double>(gossip.m_malformed + bulk.m_malformed));
  return { 200,
           { HttpHeader{ "Content-Type", "text/plain; version=0.0.4" } },
           metrics.Expose() };
}

}
