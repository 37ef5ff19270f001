#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdio>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

/// \file
/// \brief Stand-in for the platform's key-value store: compare-and-swap,
/// leases, watches, counts of calls, and faults switched over HTTP.
///
/// Faults: PUT /faults with any of {"outage": "none|refuse|silent",
/// "delay_ms": N, "lose_answers": N, "lapse_leases": true, "drop_all": true}.
/// Counts: GET /stats. Copies for "restored from a backup": POST /backup, then
/// POST /restore.

namespace {

using namespace greengagehub; // NOLINT: a stand-in, one file
using Json = nlohmann::json;

std::uint64_t
Number(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

struct Key
{
  std::string m_value;
  std::uint64_t m_revision{ 0 };
  std::uint64_t m_lease{ 0 };
};

struct Lease
{
  std::chrono::milliseconds m_time{};
  TimePoint m_expires{};
};

/// A watch that waits for a key to pass a revision.
struct Watch
{
  std::string m_key;
  std::uint64_t m_after{ 0 };
  TimePoint m_until;
  HttpResponder m_responder;
};

struct Faults
{
  std::string m_outage{ "none" };
  std::chrono::milliseconds m_delay{ 0 };
  std::uint64_t m_loseAnswers{ 0 };
};

struct Counts
{
  std::uint64_t m_reads{ 0 };
  std::uint64_t m_writes{ 0 };
  std::uint64_t m_watches{ 0 };
  std::uint64_t m_lists{ 0 };
  std::uint64_t m_leaseCalls{ 0 };
  std::uint64_t m_conflicts{ 0 };
  std::uint64_t m_turnedAway{ 0 };
  std::uint64_t m_mostWatches{ 0 };
  std::uint64_t m_bytesOut{ 0 };
};

class PlatformStore
{
public:
  PlatformStore(asio::io_context& aLoop, HttpServerSettings aSettings)
    : m_loop(aLoop)
    , m_tick(aLoop)
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
      } else {
        m_keys = m_backup;
      }
      aResponder.Answer(JsonResponse(200, "{}"));
      return;
    }
    if (m_faults.m_outage == "refuse") {
      ++m_counts.m_turnedAway;
      aResponder.Answer({ 503 });
      return;
    }
    if (m_faults.m_outage == "silent") {
      ++m_counts.m_turnedAway;
      m_silenced.push_back(std::move(aResponder));
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
    constexpr std::string_view kKeys = "/v1/kv/";
    constexpr std::string_view kLeases = "/v1/leases";
    if (path.starts_with(kKeys)) {
      OnKey(std::string{ path.substr(kKeys.size()) },
            aRequest,
            std::move(aResponder));
    } else if (path.starts_with(kLeases)) {
      ++m_counts.m_leaseCalls;
      Send(std::move(aResponder),
           OnLease(path.substr(kLeases.size()), aRequest),
           true);
    } else if (path == "/v1/list") {
      ++m_counts.m_lists;
      Send(std::move(aResponder),
           List(QueryValue(aRequest.m_target, "prefix")),
           false);
    } else {
      aResponder.Answer({ 400 });
    }
  }

  void Send(HttpResponder aResponder, HttpResponse aResponse, bool aWrite)
  {
    if (aWrite && m_faults.m_loseAnswers > 0) {
      // The write took effect and its answer is lost: never answered.
      --m_faults.m_loseAnswers;
      m_silenced.push_back(std::move(aResponder));
      return;
    }
    m_counts.m_bytesOut += aResponse.m_body.size();
    aResponder.Answer(std::move(aResponse));
  }

  static HttpResponse WithRevision(std::uint16_t aStatus,
                                   std::uint64_t aRevision,
                                   std::string aBody = {})
  {
    return { aStatus,
             { HttpHeader{ "X-Revision", std::to_string(aRevision) } },
             std::move(aBody) };
  }

  void OnKey(const std::string& aKey,
             const HttpRequest& aRequest,
             HttpResponder aResponder)
  {
    if (aRequest.m_method == "PUT") {
      ++m_counts.m_writes;
      Send(std::move(aResponder), Put(aKey, aRequest), true);
      return;
    }
    if (aRequest.m_method == "DELETE") {
      ++m_counts.m_writes;
      const bool there = m_keys.erase(aKey) > 0;
      Send(std::move(aResponder), WithRevision(there ? 200 : 404, 0), true);
      return;
    }
    const std::string after = QueryValue(aRequest.m_target, "after");
    const auto key = m_keys.find(aKey);
    const std::uint64_t now = key == m_keys.end() ? 0 : key->second.m_revision;
    if (!after.empty() && now == Number(after)) {
      ++m_counts.m_watches;
      const std::chrono::milliseconds wait{ Number(
        QueryValue(aRequest.m_target, "wait_ms")) };
      m_watches.push_back(
        { aKey, now, Clock::now() + wait, std::move(aResponder) });
      m_counts.m_mostWatches =
        std::max<std::uint64_t>(m_counts.m_mostWatches, m_watches.size());
      return;
    }
    ++m_counts.m_reads;
    Send(std::move(aResponder), Read(aKey), false);
  }

  [[nodiscard]] HttpResponse Read(const std::string& aKey) const
  {
    const auto key = m_keys.find(aKey);
    if (key == m_keys.end()) {
      return WithRevision(404, 0);
    }
    return WithRevision(200, key->second.m_revision, key->second.m_value);
  }

  HttpResponse Put(const std::string& aKey, const HttpRequest& aRequest)
  {
    constexpr std::size_t kMaxValue = 1024UL * 1024;
    const auto key = m_keys.find(aKey);
    const std::uint64_t now = key == m_keys.end() ? 0 : key->second.m_revision;
    const std::uint64_t lease = Number(QueryValue(aRequest.m_target, "lease"));
    if (Number(HeaderValue(aRequest.m_headers, "If-Match")) != now) {
      ++m_counts.m_conflicts;
      return WithRevision(412, now);
    }
    const bool refused = aRequest.m_body.size() > kMaxValue ||
                         (lease != 0 && !m_leases.contains(lease));
    if (refused) {
      return WithRevision(400, now);
    }
    m_keys[aKey] = Key{ aRequest.m_body, ++m_revision, lease };
    Wake(aKey);
    return WithRevision(200, m_revision);
  }

  void Wake(const std::string& aKey)
  {
    std::vector<Watch> waiting;
    waiting.swap(m_watches);
    for (Watch& each : waiting) {
      if (each.m_key == aKey) {
        Send(std::move(each.m_responder), Read(aKey), false);
      } else {
        m_watches.push_back(std::move(each));
      }
    }
  }

  HttpResponse OnLease(std::string_view aRest, const HttpRequest& aRequest)
  {
    const TimePoint now = Clock::now();
    if (aRequest.m_method == "POST") {
      const std::chrono::milliseconds time{ Number(
        QueryValue(aRequest.m_target, "ttl_ms")) };
      m_leases[++m_lastLease] = { time, now + time };
      return { 200, {}, std::to_string(m_lastLease) };
    }
    const auto lease =
      m_leases.find(aRest.empty() ? 0 : Number(aRest.substr(1)));
    if (lease == m_leases.end()) {
      return { 404 };
    }
    lease->second.m_expires = now + lease->second.m_time;
    return { 200 };
  }

  [[nodiscard]] HttpResponse List(const std::string& aPrefix) const
  {
    Json items = Json::array();
    for (auto it = m_keys.lower_bound(aPrefix);
         it != m_keys.end() && it->first.starts_with(aPrefix);
         ++it) {
      items.push_back(
        { { "key", it->first }, { "value", it->second.m_value } });
    }
    return JsonResponse(200, items.dump());
  }

  void ExpireLeases(TimePoint aNow)
  {
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
      if (lease->second.m_expires > aNow) {
        ++lease;
        continue;
      }
      std::erase_if(m_keys, [&](const auto& aKey) {
        return aKey.second.m_lease == lease->first;
      });
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
      if (each.m_until <= now) {
        each.m_responder.Answer(WithRevision(304, each.m_after));
      } else {
        m_watches.push_back(std::move(each));
      }
    }
    m_tick.expires_after(std::chrono::milliseconds{ 20 });
    m_tick.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void SetFaults(const std::string& aBody)
  {
    const Json wanted = Json::parse(aBody, nullptr, false);
    if (!wanted.is_object()) {
      return;
    }
    m_faults.m_outage = wanted.value("outage", m_faults.m_outage);
    m_faults.m_delay = std::chrono::milliseconds{ wanted.value("delay_ms", 0) };
    m_faults.m_loseAnswers = wanted.value("lose_answers", 0ULL);
    if (wanted.value("lapse_leases", false)) {
      for (auto& [id, lease] : m_leases) {
        lease.m_expires = Clock::now();
      }
    }
    if (wanted.value("drop_all", false)) {
      m_keys.clear();
    }
    if (m_faults.m_outage != "none") {
      // Waiting watches are cut as well.
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
      { "turned_away", m_counts.m_turnedAway },
      { "watching", m_watches.size() },
      { "most_watching", m_counts.m_mostWatches },
      { "bytes_out", m_counts.m_bytesOut },
      { "keys", m_keys.size() },
      { "bytes_held", bytes }
    }.dump();
  }

  asio::io_context& m_loop;
  asio::steady_timer m_tick;
  HttpServer m_http;
  std::map<std::string, Key> m_keys;
  std::map<std::string, Key> m_backup;
  std::map<std::uint64_t, Lease> m_leases;
  std::vector<Watch> m_watches;
  std::vector<HttpResponder> m_silenced;
  Faults m_faults;
  Counts m_counts;
  std::uint64_t m_revision{ 0 };
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
  settings.m_maxBodyBytes = 2UL * 1024 * 1024;
  asio::io_context loop;
  PlatformStore store{ loop, settings };
  const auto port = store.Open();
  if (!port) {
    fmt::print(stderr, "{}\n", port.error().m_message);
    return 1;
  }
  fmt::print(stderr, "{{\"event\":\"listening\",\"port\":{}}}\n", port.value());
  loop.run();
  return 0;
}
