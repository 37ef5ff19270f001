#pragma once

#include "greengagehub/config/content_texts.hpp"
#include "greengagehub/config/reason.hpp"
#include "greengagehub/core/digest.hpp"

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Load-shedding class; under overload, later values are shed first.
enum class CallClass : std::uint8_t
{
  Critical,
  Lookup,
  Export,
};

/// \brief Limits of a named group of workers; routes refer to it by name.
struct Service
{
  /// Concurrent calls per worker.
  std::uint32_t m_slots{ 20 };
  /// Queued calls per worker.
  std::uint32_t m_queue{ 40 };
  /// Connections per worker.
  std::uint32_t m_connections{ 100 };
  /// Path of the worker's health check; empty for none.
  std::string m_healthPath{};
};

struct WeightedService
{
  std::string m_service;
  std::uint32_t m_weight{ 0 };
};

/// \brief Maps calls to a service.
struct Route
{
  /// Host to match, in lower case; empty matches any host.
  std::string m_host;
  /// Path prefix to match; begins with "/".
  std::string m_path{ "/" };
  /// Empty when m_split is set.
  std::string m_service;
  /// Empty when m_service is set.
  std::vector<WeightedService> m_split{};
  CallClass m_class{ CallClass::Critical };
  /// Priority in a worker's queue; 0 is served first.
  std::uint32_t m_priority{ 0 };
  /// Whether a call may run more than once; by default, its HTTP method
  /// decides.
  enum class Idempotency : std::uint8_t
  {
    ByMethod,
    Yes,
    No
  } m_idempotency{ Idempotency::ByMethod };
  /// Deadline of a call that carries none.
  std::chrono::milliseconds m_deadline{ 2000 };
  /// Latency up to which a response counts as fast; 0: m_deadline.
  std::chrono::milliseconds m_targetLatency{ 0 };
  /// Maximum attempts per call; 0: from the daemon's settings.
  std::uint32_t m_attempts{ 0 };
  /// Whether calls need no API key when workspaces are configured.
  bool m_public{ false };
};

/// \brief A named group of callers with API keys, a priority and a quota.
struct Workspace
{
  /// SHA-256 digests of the API keys; the keys themselves are not stored.
  std::vector<Digest> m_keys{};
  /// Priority among workspaces, 0 first; takes precedence over the route's.
  std::uint32_t m_priority{ 0 };
  /// Requests per second over the whole fleet; 0: unlimited.
  double m_perSecond{ 0.0 };
  /// Burst size in requests above the rate.
  double m_burst{ 0.0 };
  /// Weight of its share of a worker, 1 for a typical workspace; 0: in
  /// proportion to the rate.
  double m_weight{ 0.0 };
};

struct Limits
{
  /// Retry budget as a percentage of calls.
  std::uint32_t m_retryPercent{ 10 };
  /// Whether routes that are not public need an API key even if no workspace
  /// has one; then no key is accepted.
  bool m_requiresKey{ false };
  /// Maximum number of hops of a call.
  std::uint32_t m_maxDepth{ 24 };
  /// In these limits, 0 stands for the value in the daemon's settings.
  std::uint32_t m_maxHeadBytes{ 0 };
  std::uint32_t m_maxBodyBytes{ 0 };
  std::chrono::milliseconds m_headTimeout{ 0 };
  std::chrono::milliseconds m_idleTimeout{ 0 };
};

/// \brief A service, route or workspace. Immutable, so that versions of the
/// content can share it.
template<class T>
struct Entity
  : boost::intrusive_ref_counter<Entity<T>, boost::thread_unsafe_counter>
{
  T m_value;
  /// Canonical JSON (sorted keys, no whitespace).
  std::string m_text;
  Digest m_digest;
};

template<class T>
using EntityMap =
  std::map<std::string, boost::intrusive_ptr<const Entity<T>>, std::less<>>;

/// \brief The entities and limits of one configuration version. Copies share
/// unchanged entities.
///
/// \code
/// Content next = current;
/// std::vector<Reason> violations = next.Apply(R"({"services":{"a":{}}})");
/// \endcode
class Content
{
public:
  [[nodiscard]] const EntityMap<Service>& Services() const noexcept
  {
    return m_services;
  }
  [[nodiscard]] const EntityMap<Route>& Routes() const noexcept
  {
    return m_routes;
  }
  [[nodiscard]] const EntityMap<Workspace>& Workspaces() const noexcept
  {
    return m_workspaces;
  }
  [[nodiscard]] const Limits& GetLimits() const noexcept { return m_limits; }

  /// Canonical JSON.
  [[nodiscard]] const std::string& LimitsText() const noexcept
  {
    return m_limitsText;
  }
  /// \brief Order-independent digest over all entities.
  [[nodiscard]] const Digest& GetDigest() const noexcept { return m_digest; }

  /// \returns Canonical JSON; also the merge patch from the empty content.
  [[nodiscard]] std::string ToJson() const;

  /// \brief Applies a JSON merge patch (RFC 7396) and validates the result.
  /// \returns All violations. If there are any, the state of this content is
  /// unspecified.
  [[nodiscard]] std::vector<Reason> Apply(std::string_view aPatch);

  /// \brief Becomes exactly the content of `aTexts`, whatever it was before,
  /// and validates it. Entities with unchanged text are not parsed again.
  /// \returns All violations. If there are any, the state of this content is
  /// unspecified.
  [[nodiscard]] std::vector<Reason> Assign(const ContentTexts& aTexts);

private:
  friend class ContentPatcher;

  EntityMap<Service> m_services;
  EntityMap<Route> m_routes;
  EntityMap<Workspace> m_workspaces;
  Limits m_limits;
  std::string m_limitsText{ "{}" };
  Digest m_digest;
};

/// \returns The patch as canonical JSON, whose digest is independent of
/// whitespace and key order; Invalid when it is not JSON, or TooLarge.
[[nodiscard]] Outcome<std::string>
CanonicalPatch(std::string_view aText);

[[nodiscard]] std::string_view
NameOf(CallClass aClass) noexcept;

/// Maximum size of a patch, in bytes of canonical JSON.
inline constexpr std::size_t kMaxPatchBytes = 64UL * 1024;

/// Revision of the validation rules; recorded with each decision.
inline constexpr std::uint32_t kRulesRevision = 1;

}
