#include "greengagehub/settings/settings.hpp"

#include "settings_reader.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

namespace greengagehub {

namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr double kMaxMbps = 1'000'000.0;
/// Tables, links and connections of a daemon without bodies need about half of
/// the least value.
constexpr std::int64_t kMinMemoryMb = 64;
constexpr std::int64_t kMaxMemoryMb = 1024L * 1024;
constexpr std::int64_t kMaxDescriptors = 1024L * 1024;
constexpr std::int64_t kMaxBodyBytes = 16L * 1024 * 1024;
const std::vector<std::string> kLogLevels{ "debug",
                                           "info",
                                           "warning",
                                           "error" };
const std::vector<std::string> kSectionNames{
  "daemon",        "listen", "operators", "worker",   "store",     "membership",
  "dissemination", "calls",  "log",       "platform", "decisions", "workspaces"
};

/// \param aText "IP:PORT".
std::optional<HostPort>
ParseHostPort(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return HostPort{ std::string{ aText.substr(0, colon) }, port };
}

/// Host names are not accepted: a DNS lookup would delay every connection.
bool
IsIpAddress(const std::string& aHost)
{
  in_addr four{};
  in6_addr six{};
  return inet_pton(AF_INET, aHost.c_str(), &four) == 1 ||
         inet_pton(AF_INET6, aHost.c_str(), &six) == 1;
}

class SettingsParser
{
public:
  SettingsParser(const toml::table& aRoot, std::string aFile)
    : m_root(aRoot)
    , m_file(std::move(aFile))
  {
  }

  SettingsResult Parse()
  {
    CheckSections();
    ReadDaemon();
    ReadListen();
    ReadOperators();
    ReadWorker();
    ReadStore();
    ReadMembership();
    ReadDissemination();
    ReadCalls();
    ReadLog();
    ReadPlatform();
    ReadWorkspaces();
    ReadDecisions();
    if (!m_errors.empty()) {
      return m_errors;
    }
    return m_settings;
  }

private:
  [[nodiscard]] SettingsReader Section(const char* aName)
  {
    return { m_root, m_file, aName, m_errors };
  }

  void CheckSections()
  {
    for (const auto& [key, node] : m_root) {
      const std::string name{ key.str() };
      if (std::find(kSectionNames.begin(), kSectionNames.end(), name) ==
          kSectionNames.end()) {
        m_errors.push_back(Error{ ErrorCode::Invalid,
                                  "unknown section or key \"" + name + "\"",
                                  SourceRegion{ m_file,
                                                node.source().begin.line,
                                                node.source().begin.column } });
      }
    }
  }

  void ReadDaemon()
  {
    SettingsReader reader = Section("daemon");
    reader.RequiredText("slot", m_settings.m_slot);
    reader.RequiredText("service", m_settings.m_service);
    reader.RequiredText("region", m_settings.m_region);
    reader.RequiredText("domain", m_settings.m_domain);
    double rate = 0.0;
    reader.Number("link_mbps", rate, 0.0, kMaxMbps);
    m_settings.m_linkMbps = static_cast<std::uint32_t>(rate);
    reader.Count(
      "memory_mb", m_settings.m_memoryMb, kMinMemoryMb, kMaxMemoryMb);
    reader.Count(
      "max_descriptors", m_settings.m_maxDescriptors, 0, kMaxDescriptors);
    reader.ReportUnknownKeys();
  }

  void ReadListen()
  {
    SettingsReader reader = Section("listen");
    ListenSettings& listen = m_settings.m_listen;
    reader.Text("host", listen.m_host);
    reader.Port("calls_port", listen.m_callsPort);
    reader.Port("operators_port", listen.m_operatorsPort);
    reader.Port("gossip_port", listen.m_gossipPort);
    reader.Port("bulk_port", listen.m_bulkPort);
    reader.Port("link_port", listen.m_linkPort);
    ReadPortRange(reader);
    HostPort calls;
    if (ReadAddress(reader, "calls", calls)) {
      listen.m_callsHost = calls.m_host;
      listen.m_callsPort = calls.m_port;
    }
    ReadAddress(reader, "readiness", listen.m_readiness);
    ReadAddress(reader, "heartbeats", listen.m_heartbeats);
    reader.ReportUnknownKeys();
  }

  /// Assigns consecutive ports, beginning with "first_port".
  void ReadPortRange(SettingsReader& aReader)
  {
    ListenSettings& listen = m_settings.m_listen;
    std::uint16_t first = 0;
    aReader.Port("first_port", first);
    if (first == 0) {
      return;
    }
    listen.m_gossipPort = first;
    listen.m_bulkPort = first + 1;
    listen.m_linkPort = first + 2;
    if (listen.m_operatorsPort == 0) {
      listen.m_operatorsPort = first + 3;
    }
  }

  static bool ReadAddress(SettingsReader& aReader,
                          const char* aKey,
                          HostPort& aTarget)
  {
    std::string text;
    aReader.Text(aKey, text);
    if (text.empty()) {
      return false;
    }
    const auto address = ParseHostPort(text);
    if (!address) {
      aReader.AddError(aKey, "\"IP:PORT\"");
      return false;
    }
    aTarget = *address;
    return true;
  }

  void ReadOperators()
  {
    SettingsReader reader = Section("operators");
    // On a platform, operators write to the platform's store instead.
    if (m_root.contains("platform")) {
      reader.Text("token", m_settings.m_operatorToken);
    } else {
      reader.RequiredText("token", m_settings.m_operatorToken);
    }
    reader.ReportUnknownKeys();
  }

  void ReadWorker()
  {
    SettingsReader reader = Section("worker");
    RunTableSettings& runs = m_settings.m_runs;
    std::string url;
    reader.RequiredText("url", url);
    constexpr std::string_view kScheme = "http://";
    const auto address =
      url.starts_with(kScheme)
        ? ParseHostPort(std::string_view{ url }.substr(kScheme.size()))
        : std::nullopt;
    if (address && IsIpAddress(address->m_host)) {
      m_settings.m_worker = *address;
    } else {
      reader.AddError("url", "\"http://IP:PORT\"");
    }
    reader.Count("slots", runs.m_slots, 1, kMaxSlots);
    reader.Count("queue", runs.m_queue, 0, kMaxSlots);
    reader.Count("connections", m_settings.m_workerConnections, 1, kMaxSlots);
    reader.Millis("warm_up_ms", runs.m_warmUp, 0, kHourMs);
    reader.ReportUnknownKeys();
  }

  void ReadStore()
  {
    SettingsReader reader = Section("store");
    StoreSettings& store = m_settings.m_store;
    reader.RequiredText("url", store.m_url);
    if (!store.m_url.starts_with("http://")) {
      reader.AddError("url", "a URL that starts with http://");
    }
    reader.Millis("timeout_ms", store.m_timeout, 1, kHourMs);
    reader.Millis("watch_ms", store.m_watch, 1, kHourMs);
    reader.Millis("max_backoff_ms", store.m_maxBackoff, 1, kHourMs);
    reader.Millis("lease_ms", m_settings.m_watch.m_leaseTime, 100, kHourMs);
    reader.Count("watchers_per_domain", m_settings.m_watch.m_watchers, 1, 16);
    reader.Millis("watch_retry_ms", m_settings.m_watch.m_retry, 10, kHourMs);
    reader.Millis(
      "watch_max_retry_ms", m_settings.m_watch.m_maxRetry, 10, kHourMs);
    reader.ReportUnknownKeys();
  }

  void ReadMembership()
  {
    SettingsReader reader = Section("membership");
    MembershipSettings& membership = m_settings.m_membership;
    std::vector<std::string> seeds;
    reader.TextArray("seeds", seeds);
    for (const std::string& each : seeds) {
      ReadSeed(reader, each);
    }
    reader.Millis("period_ms", membership.m_period, 10, 60'000);
    reader.Millis("ack_timeout_ms", membership.m_ackTimeout, 5, 60'000);
    reader.Count("indirect", membership.m_indirectProbeCount, 0, 16);
    reader.Count("suspicion_factor", membership.m_suspicionFactor, 1, 1000);
    reader.Count("lost_every", membership.m_lostProbePeriods, 1, 1000);
    reader.ReportUnknownKeys();
  }

  void ReadSeed(SettingsReader& aReader, const std::string& aText)
  {
    const auto address = ParseHostPort(aText);
    if (!address) {
      aReader.AddError("seeds", "an array of \"IP:PORT\" strings");
      return;
    }
    m_settings.m_seeds.push_back(
      MemberAddress{ address->m_host, address->m_port, 0, 0 });
  }

  void ReadDissemination()
  {
    SettingsReader reader = Section("dissemination");
    DisseminationSettings& target = m_settings.m_dissemination;
    reader.Count("fanout", target.m_fanout, 0, 64);
    reader.Millis("pull_delay_ms", target.m_pullDelay, 0, 60'000);
    reader.Millis("far_delay_ms", target.m_otherDomainDelay, 0, 60'000);
    reader.Millis("pull_timeout_ms", target.m_pullTimeout, 10, 60'000);
    reader.ReportUnknownKeys();
  }

  void ReadCalls()
  {
    SettingsReader reader = Section("calls");
    CallSettings& calls = m_settings.m_calls;
    reader.Count("max_body_bytes", calls.m_maxBodyBytes, 1, kMaxBodyBytes);
    reader.Count("tries", calls.m_maxRetries, 0, 16);
    reader.Millis("drain_ms", calls.m_drain, 0, kHourMs);
    reader.Millis("linger_ms", calls.m_linger, 0, 60'000);
    std::int64_t spin = calls.m_spin.count();
    reader.Count("spin_us", spin, 0, 10'000);
    calls.m_spin = std::chrono::microseconds{ spin };
    reader.Count("spin_percent", calls.m_spinPercent, 0, 100);
    reader.Flag("books_links", calls.m_booksLinks);
    reader.ReportUnknownKeys();
  }

  void ReadPlatform()
  {
    PlatformSettings& platform = m_settings.m_platform;
    platform.m_enabled = m_root.contains("platform");
    SettingsReader reader = Section("platform");
    reader.Millis("heartbeat_ms", platform.m_heartbeatPeriod, 1, kHourMs);
    reader.Millis("worker_drain_ms", platform.m_workerDrain, 0, kHourMs);
    reader.Millis("grace_ms", platform.m_terminationGrace, 0, kHourMs);
    reader.Millis("config_apply_ms", platform.m_maxConfigDelay, 1, kHourMs);
    reader.Number("retry_share", platform.m_retryShare, 0.0, 1.0);
    reader.Millis("retry_window_ms", platform.m_retryWindow, 1, kHourMs);
    reader.Number("retry_slack", platform.m_retrySlack, 0.0, kMaxSlots);
    reader.Number("trial_share", platform.m_canaryShare, 0.0, 1.0);
    reader.Number("trial_slack", platform.m_canarySlack, 0.0, kMaxSlots);
    reader.ReportUnknownKeys();
  }

  void ReadWorkspaces()
  {
    WorkspaceSettings& workspaces = m_settings.m_workspaces;
    QuotaTolerance& quota = workspaces.m_quota;
    SettingsReader reader = Section("workspaces");
    reader.Millis("revoke_within_ms", workspaces.m_maxRevokeDelay, 0, kHourMs);
    reader.Millis("quota_window_ms", quota.m_window, 1, kHourMs);
    reader.Number("quota_overage", quota.m_overage, 0.0, 1.0);
    reader.Number("quota_slack", quota.m_slack, 0.0, kMaxSlots);
    reader.Flag("fair_shares", m_settings.m_runs.m_sharesFairly);
    reader.Count("quota_shards", workspaces.m_quotaShards, 1, kMaxQuotaShards);
    reader.ReportUnknownKeys();
  }

  void ReadDecisions()
  {
    SettingsReader reader = Section("decisions");
    DecisionSettings& target = m_settings.m_runs.m_decisions;
    reader.Number("late_credit", target.m_lateCredit, 0.0, 1.0);
    reader.Number("next_rank_credit", target.m_nextRankCredit, 0.0, 1.0);
    reader.Flag("counts_time", target.m_ranksPerSlotTime);
    reader.Flag("refuses_early", target.m_refusesEarly);
    reader.Count("late_part", target.m_lateWaitDivisor, 1, 1000);
    reader.Number("nothing_left", target.m_saturatedShare, 0.0, 1.0);
    reader.Count("max_busy", target.m_maxBusyReplies, 0, 16);
    reader.Count("busy_part", target.m_busyWaitDivisor, 1, 1000);
    reader.Count("max_redirects", target.m_maxRedirects, 0, 16);
    reader.Count("choices", target.m_choices, 0, 1000);
    reader.Number("late_loss", target.m_lateLoss, 0.0, 1.0);
    reader.Number("crossing_per_kib", target.m_crossingPerKib, 0.0, 100.0);
    reader.Flag("counts_request_body", target.m_countsRequestBody);
    reader.Flag("explores", target.m_explores);
    reader.Flag("shares_news", target.m_usesDomainReports);
    reader.Flag("counts_transit", target.m_countsTransit);
    reader.Millis("report_lifetime_ms", target.m_reportLifetime, 1, 60'000);
    reader.Flag("sees_slowness", target.m_detectsSlowness);
    reader.Flag("pushes_back", target.m_penalizesFailures);
    reader.Flag("ejects", target.m_ejects);
    reader.Flag("weighs_age", target.m_usesCallAge);
    reader.Flag("sees_common_cause", target.m_detectsCommonCause);
    reader.ReportUnknownKeys();
  }

  void ReadLog()
  {
    SettingsReader reader = Section("log");
    LogSettings& log = m_settings.m_log;
    reader.OneOf("level", log.m_level, kLogLevels);
    reader.Count("trace_percent", log.m_tracePercent, 0, 100);
    reader.ReportUnknownKeys({ "components" });
    const toml::table* table = reader.Table();
    const toml::node* node =
      table == nullptr ? nullptr : table->get("components");
    if (node == nullptr) {
      return;
    }
    if (!node->is_table()) {
      reader.AddError("components", "a table of log levels");
      return;
    }
    for (const auto& [key, value] : *node->as_table()) {
      const std::string name{ key.str() };
      std::string level = value.value_or(std::string{});
      if (std::find(kLogLevels.begin(), kLogLevels.end(), level) ==
          kLogLevels.end()) {
        reader.AddError("components", "one of debug, info, warning, error");
      }
      log.m_components.push_back({ name, std::move(level) });
    }
  }

  const toml::table& m_root;
  std::string m_file;
  std::vector<Error> m_errors;
  Settings m_settings;
};

}

SettingsResult
ParseSettings(std::string_view aToml, const std::string& aFile)
{
  try {
    const toml::table root = toml::parse(aToml, aFile);
    return SettingsParser{ root, aFile }.Parse();
  } catch (const toml::parse_error& error) {
    return std::vector<Error>{ Error{
      ErrorCode::Invalid,
      std::string{ error.description() },
      SourceRegion{
        aFile, error.source().begin.line, error.source().begin.column } } };
  }
}

SettingsResult
LoadSettings(const std::string& aFile)
{
  std::ifstream file{ aFile };
  if (!file) {
    return std::vector<Error>{ Error{
      ErrorCode::Io, "cannot open file", SourceRegion{ aFile } } };
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aFile);
}

}
