#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"
#include "platform/base64.hpp"
#include "platform/names.hpp"
#include "platform_store_state.hpp"
#include "serve.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdio>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

/// \file
/// \brief Stand-in for the platform's key-value store, with transactions,
/// leases, watches, and faults that are set over HTTP.
///
/// Faults: PUT /faults with any of {"outage": "none|refuse|silent",
/// "delay_ms": N, "lose_answers": N, "lapse_leases": true, "drop_all": true}.
/// Counters: GET /stats. POST /backup copies the contents, POST /restore
/// returns to the copy.

namespace {

using namespace greengagehub;          // NOLINT: a stand-in
using namespace greengagehub::standin; // NOLINT
using Json = nlohmann::json;

std::uint64_t
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

class PlatformStore
{
public:
  PlatformStore(asio::io_context& aLoop, HttpServerSettings aSettings)
    : m_loop(aLoop)
    , m_tickTimer(aLoop)
    , m_http(aLoop,
             std::move(aSettings),
             [this](HttpRequest aRequest, HttpResponder aResponder) {
               OnHttp(std::move(aRequest), std::move(aResponder));
             })
  {
  }

  [[nodiscard]] Outcome<std::uint16_t> Open()
  {
    Tick();
    return m_http.Open();
  }

private:
  void OnHttp(HttpRequest aRequest, HttpResponder aResponder)
  {
    const std::string_view path = PathOf(aRequest.m_target);
    if (path == "/faults") {
      SetFaults(aRequest.m_body);
      aResponder.Answer(JsonResponse(200, "{}"));
      return;
    }
    if (path == "/stats") {
      aResponder.Answer(JsonResponse(200, Stats()));
      return;
    }
    if (path == "/backup" || path == "/restore") {
      if (path == "/backup") {
        m_backup = m_keys;
        m_backupRevision = m_revision;
      } else {
        // Revisions go back as well, so that later writes reuse them.
        m_keys = m_backup;
        m_revision = m_backupRevision;
        m_history.clear();
        m_compactedRevision = m_revision;
        ++m_era;
      }
      aResponder.Answer(JsonResponse(200, "{}"));
      return;
    }
    if (m_faults.m_outage == "refuse") {
      ++m_counts.m_rejected;
      aResponder.Answer({ 503 });
      return;
    }
    if (m_faults.m_outage == "silent") {
      ++m_counts.m_rejected;
      m_unanswered.push_back(std::move(aResponder));
      return;
    }
    if (m_faults.m_delay.count() > 0) {
      Delay(std::move(aRequest), std::move(aResponder));
      return;
    }
    Serve(std::move(aRequest), std::move(aResponder));
  }

  void Delay(HttpRequest aRequest, HttpResponder aResponder)
  {
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(m_faults.m_delay);
    timer->async_wait(
      [this,
       timer,
       request = std::move(aRequest),
       responder = std::move(aResponder)](const asio::error_code&) mutable {
        Serve(std::move(request), std::move(responder));
      });
  }

  void Serve(HttpRequest aRequest, HttpResponder aResponder)
  {
    const std::string_view path = PathOf(aRequest.m_target);
    constexpr std::string_view kRenewPath = "/kv-keep/";
    if (path == "/kv-key") {
      ++m_counts.m_reads;
      Send(std::move(aResponder),
           Read(QueryValue(aRequest.m_target, "key")),
           false);
    } else if (path == "/kv-range") {
      ++m_counts.m_lists;
      Send(std::move(aResponder),
           List(QueryValue(aRequest.m_target, "prefix"),
                QueryValue(aRequest.m_target, "after")),
           false);
    } else if (path == "/kv-watch") {
      OnWatch(aRequest, std::move(aResponder));
    } else if (path == "/kv-txn") {
      ++m_counts.m_writes;
      Send(std::move(aResponder), Transact(aRequest.m_body), true);
    } else if (path == "/kv-lease") {
      ++m_counts.m_leaseCalls;
      Send(std::move(aResponder), GrantLease(aRequest.m_body), true);
    } else if (path.starts_with(kRenewPath)) {
      ++m_counts.m_leaseCalls;
      Send(std::move(aResponder),
           RenewLease(ParseNumber(path.substr(kRenewPath.size()))),
           true);
    } else {
      aResponder.Answer({ 400 });
    }
  }

  void Send(HttpResponder aResponder, HttpResponse aResponse, bool aIsWrite)
  {
    if (aIsWrite && m_faults.m_lostAnswersLeft > 0) {
      // The write took effect, but its request is never answered.
      --m_faults.m_lostAnswersLeft;
      m_unanswered.push_back(std::move(aResponder));
      return;
    }
    m_counts.m_bytesOut += aResponse.m_body.Size();
    aResponse.m_headers.push_back(
      { std::string{ platform::kStoreEra }, std::to_string(m_era) });
    aResponder.Answer(std::move(aResponse));
  }

  [[nodiscard]] Json ItemOf(const std::string& aKey,
                            const StoredKey& aItem) const
  {
    return { { "key", aKey },
             { "value", platform::ToBase64(aItem.m_value) },
             { "revision", aItem.m_revision },
             { "created_rev", aItem.m_createdRevision },
             { "lease_id", aItem.m_lease } };
  }

  [[nodiscard]] HttpResponse Read(const std::string& aKey) const
  {
    const auto key = m_keys.find(aKey);
    Json body =
      key == m_keys.end() ? Json::object() : ItemOf(aKey, key->second);
    body["store_revision"] = m_revision;
    return JsonResponse(key == m_keys.end() ? 404 : 200, body.dump());
  }

  [[nodiscard]] HttpResponse List(const std::string& aPrefix,
                                  const std::string& aAfter) const
  {
    constexpr std::size_t kPageSize = 500;
    Json items = Json::array();
    bool more = false;
    auto it =
      aAfter.empty() ? m_keys.lower_bound(aPrefix) : m_keys.upper_bound(aAfter);
    for (; it != m_keys.end() && it->first.starts_with(aPrefix); ++it) {
      if (items.size() == kPageSize) {
        more = true;
        break;
      }
      items.push_back(ItemOf(it->first, it->second));
    }
    return JsonResponse(200,
                        Json{ { "items", items },
                              { "has_more", more },
                              { "store_revision", m_revision } }
                          .dump());
  }

  void OnWatch(const HttpRequest& aRequest, HttpResponder aResponder)
  {
    ++m_counts.m_watches;
    const std::chrono::milliseconds wait{ ParseNumber(
      QueryValue(aRequest.m_target, "wait_ms")) };
    Watch watch{ QueryValue(aRequest.m_target, "prefix"),
                 ParseNumber(QueryValue(aRequest.m_target, "after")),
                 Clock::now() + wait,
                 std::move(aResponder) };
    if (watch.m_after < m_compactedRevision || watch.m_after > m_revision) {
      Send(std::move(watch.m_responder), JsonResponse(410, "{}"), false);
      return;
    }
    if (!AnswerWatch(watch, false)) {
      m_watches.push_back(std::move(watch));
      m_counts.m_maxWatches =
        std::max<std::uint64_t>(m_counts.m_maxWatches, m_watches.size());
    }
  }

  /// \returns Whether the watch had changes or expired, and so was answered.
  bool AnswerWatch(Watch& aWatch, bool aIsExpired)
  {
    Json events = Json::array();
    for (const Event& each : m_history) {
      const bool wanted = each.m_revision > aWatch.m_after &&
                          each.m_key.starts_with(aWatch.m_prefix);
      if (wanted) {
        events.push_back(each.m_body);
      }
    }
    if (events.empty() && !aIsExpired) {
      return false;
    }
    Send(
      std::move(aWatch.m_responder),
      JsonResponse(
        200,
        Json{ { "events", events }, { "store_revision", m_revision } }.dump()),
      false);
    return true;
  }

  void AppendToHistory(const std::string& aKey, Json aBody)
  {
    constexpr std::size_t kMaxHistory = 1000;
    m_history.push_back({ m_revision, aKey, std::move(aBody) });
    if (m_history.size() > kMaxHistory) {
      m_compactedRevision = m_history.front().m_revision;
      m_history.pop_front();
    }
  }

  void Remove(const std::string& aKey)
  {
    if (m_keys.erase(aKey) > 0) {
      AppendToHistory(
        aKey,
        { { "key", aKey }, { "revision", m_revision }, { "tombstone", true } });
    }
  }

  HttpResponse Transact(std::string_view aBody)
  {
    constexpr std::size_t kMaxValueBytes = 1024UL * 1024;
    const Json body = Json::parse(aBody, nullptr, false);
    if (!body.is_object()) {
      return { 400 };
    }
    Json current = Json::array();
    bool conflict = false;
    for (const Json& each : body.value("expected", Json::array())) {
      const std::string key = each.value("key", "");
      const auto found = m_keys.find(key);
      const bool exists = found != m_keys.end();
      const std::uint64_t now = exists ? found->second.m_revision : 0;
      conflict = conflict || now != each.value("revision", 0ULL);
      if (exists) {
        current.push_back(ItemOf(key, found->second));
      }
    }
    if (conflict) {
      ++m_counts.m_conflicts;
      return JsonResponse(412, Json{ { "items", current } }.dump());
    }
    const Json puts = body.value("puts", Json::array());
    for (const Json& each : puts) {
      const std::uint64_t lease = each.value("lease_id", 0ULL);
      const auto value = platform::FromBase64(each.value("value", ""));
      if (lease != 0 && !m_leases.contains(lease)) {
        return JsonResponse(404, "{}");
      }
      if (!value || value->size() > kMaxValueBytes) {
        return { 400 };
      }
    }
    ++m_revision;
    for (const Json& each : puts) {
      PutOne(each);
    }
    for (const Json& each : body.value("deletes", Json::array())) {
      Remove(each.get<std::string>());
    }
    AnswerWatches();
    return JsonResponse(200, Json{ { "revision", m_revision } }.dump());
  }

  void PutOne(const Json& aPut)
  {
    const std::string key = aPut.value("key", "");
    const auto found = m_keys.find(key);
    const std::uint64_t created =
      found == m_keys.end() ? m_revision : found->second.m_createdRevision;
    StoredKey item{ platform::FromBase64(aPut.value("value", "")).value(),
                    m_revision,
                    created,
                    aPut.value("lease_id", 0ULL) };
    AppendToHistory(key, ItemOf(key, item));
    m_keys[key] = std::move(item);
  }

  void AnswerWatches()
  {
    std::vector<Watch> waiting;
    waiting.swap(m_watches);
    for (Watch& each : waiting) {
      if (!AnswerWatch(each, false)) {
        m_watches.push_back(std::move(each));
      }
    }
  }

  HttpResponse GrantLease(std::string_view aBody)
  {
    const Json body = Json::parse(aBody, nullptr, false);
    const std::chrono::milliseconds timeToLive{ body.is_object()
                                                  ? body.value("ttl_ms", 0LL)
                                                  : 0LL };
    m_leases[++m_lastLease] = { timeToLive, Clock::now() + timeToLive };
    return JsonResponse(
      200,
      Json{ { "lease_id", m_lastLease }, { "ttl_ms", timeToLive.count() } }
        .dump());
  }

  HttpResponse RenewLease(std::uint64_t aLease)
  {
    const auto lease = m_leases.find(aLease);
    if (lease == m_leases.end()) {
      return JsonResponse(404, "{}");
    }
    lease->second.m_expires = Clock::now() + lease->second.m_timeToLive;
    return JsonResponse(
      200, Json{ { "ttl_ms", lease->second.m_timeToLive.count() } }.dump());
  }

  void ExpireLeases(TimePoint aNow)
  {
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
      if (lease->second.m_expires > aNow) {
        ++lease;
        continue;
      }
      std::vector<std::string> expiredKeys;
      for (const auto& [key, item] : m_keys) {
        if (item.m_lease == lease->first) {
          expiredKeys.push_back(key);
        }
      }
      m_revision += expiredKeys.empty() ? 0 : 1;
      for (const std::string& each : expiredKeys) {
        Remove(each);
      }
      lease = m_leases.erase(lease);
    }
  }

  void Tick()
  {
    const TimePoint now = Clock::now();
    ExpireLeases(now);
    std::vector<Watch> waiting;
    waiting.swap(m_watches);
    for (Watch& each : waiting) {
      if (!AnswerWatch(each, each.m_until <= now)) {
        m_watches.push_back(std::move(each));
      }
    }
    m_tickTimer.expires_after(std::chrono::milliseconds{ 20 });
    m_tickTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void SetFaults(std::string_view aBody)
  {
    const Json wanted = Json::parse(aBody, nullptr, false);
    if (!wanted.is_object()) {
      return;
    }
    m_faults.m_outage = wanted.value("outage", m_faults.m_outage);
    m_faults.m_delay = std::chrono::milliseconds{ wanted.value("delay_ms", 0) };
    m_faults.m_lostAnswersLeft = wanted.value("lose_answers", 0ULL);
    if (wanted.value("lapse_leases", false)) {
      for (auto& [id, lease] : m_leases) {
        lease.m_expires = Clock::now();
      }
    }
    if (wanted.value("drop_all", false)) {
      m_keys.clear();
    }
    if (m_faults.m_outage != "none") {
      // An outage ends pending watches as well.
      for (Watch& each : m_watches) {
        each.m_responder.Answer({ 503 });
      }
      m_watches.clear();
    }
  }

  [[nodiscard]] std::string Stats() const
  {
    std::size_t bytes = 0;
    for (const auto& [name, key] : m_keys) {
      bytes += name.size() + key.m_value.size();
    }
    return Json{
      { "reads", m_counts.m_reads },
      { "writes", m_counts.m_writes },
      { "watches", m_counts.m_watches },
      { "lists", m_counts.m_lists },
      { "lease_calls", m_counts.m_leaseCalls },
      { "conflicts", m_counts.m_conflicts },
      { "turned_away", m_counts.m_rejected },
      { "watching", m_watches.size() },
      { "most_watching", m_counts.m_maxWatches },
      { "bytes_out", m_counts.m_bytesOut },
      { "keys", m_keys.size() },
      { "bytes_held", bytes }
    }.dump();
  }

  asio::io_context& m_loop;
  asio::steady_timer m_tickTimer;
  HttpServer m_http;
  std::map<std::string, StoredKey> m_keys;
  std::map<std::string, StoredKey> m_backup;
  std::map<std::uint64_t, Lease> m_leases;
  std::deque<Event> m_history;
  /// Changes at or below this revision are no longer in the history.
  std::uint64_t m_compactedRevision{ 0 };
  std::vector<Watch> m_watches;
  /// Kept open and never answered.
  std::vector<HttpResponder> m_unanswered;
  Faults m_faults;
  Counts m_counts;
  std::uint64_t m_revision{ 0 };
  /// Starts at 1 and grows with each restore.
  std::uint64_t m_era{ 1 };
  std::uint64_t m_backupRevision{ 0 };
  std::uint64_t m_lastLease{ 0 };
};

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  HttpServerSettings settings;
  po::options_description options{ "platform_store" };
  options.add_options()(
    "host", po::value(&settings.m_address)->default_value("127.0.0.1"), "")(
    "port", po::value(&settings.m_port)->default_value(0), "");
  po::variables_map given;
  po::store(po::parse_command_line(aCount, aArguments, options), given);
  po::notify(given);
  settings.m_limits.m_maxBodyBytes = 2UL * 1024 * 1024;
  asio::io_context loop;
  PlatformStore store{ loop, settings };
  return standin::Serve(store, loop);
}
