#pragma once

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

/// \brief Order in which overload sheds calls: exports first.
enum class CallClass : std::uint8_t
{
  Critical,
  Lookup,
  Export,
};

/// \brief A named group of workers; the names are what routes point at.
struct Service
{
  /// Calls one worker runs at once.
  std::uint32_t m_slots{ 20 };
  /// Calls that may wait at one worker.
  std::uint32_t m_queue{ 40 };
  /// Connections one worker accepts.
  std::uint32_t m_connections{ 100 };
  /// Path of the worker's own health check; empty when it has none.
  std::string m_healthPath{};
};

/// \brief One part of a route whose calls are split over services.
struct RouteShare
{
  std::string m_service;
  std::uint32_t m_weight{ 0 };
};

/// \brief Which service answers a call, and what may be done with it.
struct Route
{
  /// Host to match, lower case; empty matches any.
  std::string m_host;
  /// Path prefix to match, from "/".
  std::string m_path{ "/" };
  /// Empty when the calls are split.
  std::string m_service;
  /// In proportion to the weights; empty when one service answers all.
  std::vector<RouteShare> m_split{};
  CallClass m_class{ CallClass::Critical };
  /// Rank among the calls that wait at a worker, 0 before all others.
  std::uint32_t m_priority{ 0 };
  /// Whether a call may be run again; "by method" when not set by the patch.
  enum class Idempotency : std::uint8_t
  {
    ByMethod,
    Yes,
    No
  } m_idempotency{ Idempotency::ByMethod };
  /// Time limit of a call that brings none of its own.
  std::chrono::milliseconds m_deadline{ 2000 };
  /// An answer within this is as good as an immediate one; 0: as m_deadline.
  std::chrono::milliseconds m_targetLatency{ 0 };
  /// Workers that one call may be sent to; 0: as the daemon's settings say.
  std::uint32_t m_attempts{ 0 };
  /// Whether callers need no API key, though there are workspaces.
  bool m_public{ false };
};

/// \brief A named group of callers with keys, a rank and a quota of its own.
struct Workspace
{
  /// Digests of its API keys; the keys themselves are never kept.
  std::vector<Digest> m_keys{};
  /// Rank among the workspaces, 0 first; goes before the route's rank.
  std::uint32_t m_priority{ 0 };
  /// Requests a second over the whole fleet; 0: no limit.
  double m_perSecond{ 0.0 };
  /// Requests beyond the rate that may come at once.
  double m_burst{ 0.0 };
};

/// \brief Fleet-wide limits.
struct Limits
{
  /// Retries as a share of calls, in percent.
  std::uint32_t m_retryPercent{ 10 };
  /// Hops after which a call is refused.
  std::uint32_t m_maxDepth{ 24 };
  /// What callers may send, and how long they may take or stay idle; 0: as the
  /// daemon's settings say.
  std::uint32_t m_maxHeadBytes{ 0 };
  std::uint32_t m_maxBodyBytes{ 0 };
  std::chrono::milliseconds m_headTimeout{ 0 };
  std::chrono::milliseconds m_idleTimeout{ 0 };
};

/// \brief One entity with its canonical text, shared between versions.
template<class T>
struct Entity
  : boost::intrusive_ref_counter<Entity<T>, boost::thread_unsafe_counter>
{
  T m_value;
  /// Canonical JSON (sorted keys, no blanks).
  std::string m_text;
  Digest m_digest;
};

template<class T>
using EntityMap =
  std::map<std::string, boost::intrusive_ptr<const Entity<T>>, std::less<>>;

/// \brief The whole configuration at one version; a value that shares its
/// unchanged entities with the version before.
///
/// \code
/// Content next = current;
/// std::vector<Reason> broken = next.Apply(R"({"services":{"a":{}}})");
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

  /// \returns The limits as canonical JSON.
  [[nodiscard]] const std::string& LimitsText() const noexcept
  {
    return m_limitsText;
  }
  /// \brief Order-independent digest over all entities.
  [[nodiscard]] const Digest& GetDigest() const noexcept { return m_digest; }

  /// \returns The whole content as canonical JSON; a merge patch that builds
  /// it from the empty content.
  [[nodiscard]] std::string ToJson() const;

  /// \brief Applies a JSON merge patch (RFC 7396) and checks every rule.
  /// \returns Every broken rule; when it is not empty, this content is
  /// unspecified and must be dropped.
  [[nodiscard]] std::vector<Reason> Apply(std::string_view aPatch);

private:
  friend class ContentPatcher;

  EntityMap<Service> m_services;
  EntityMap<Route> m_routes;
  EntityMap<Workspace> m_workspaces;
  Limits m_limits;
  std::string m_limitsText{ "{}" };
  Digest m_digest;
};

/// \returns The patch as canonical JSON, so that its digest does not depend
/// on blanks or the order of keys; or why it is no patch at all.
[[nodiscard]] Outcome<std::string>
CanonicalPatch(std::string_view aText);

/// \returns "critical", "lookup" or "export".
[[nodiscard]] std::string_view
NameOf(CallClass aClass) noexcept;

/// Largest patch accepted, in bytes of canonical JSON.
inline constexpr std::size_t kMaxPatchBytes = 64UL * 1024;

/// Revision of the rules in this release; recorded with each decision.
inline constexpr std::uint32_t kRulesRevision = 1;

}
