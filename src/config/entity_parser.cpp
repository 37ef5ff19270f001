#include "entity_parser.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr std::size_t kMaxNameBytes = 120;
constexpr std::size_t kMaxHostBytes = 100;
constexpr std::size_t kMaxPathBytes = 500;
constexpr std::uint32_t kMaxSlots = 100'000;
constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kMaxHops = 100;
constexpr std::uint32_t kMaxAttempts = 16;
constexpr std::uint32_t kMaxPriority = 100;
constexpr std::uint32_t kMaxWeight = 1'000'000;
constexpr std::uint32_t kMaxBytes = 1'000'000'000;
constexpr double kMaxRate = 1e9;
constexpr double kMinShareWeight = 0.001;
constexpr double kMaxShareWeight = 1000.0;
constexpr std::size_t kMaxKeys = 10'000;

bool
IsNameChar(char aChar) noexcept
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') ||
         aChar == '-' || aChar == '.';
}

void
ParseClass(EntityReader& aReader, Route& aRoute)
{
  std::string name{ NameOf(aRoute.m_class) };
  aReader.Text("class", name, kMaxNameBytes);
  for (const CallClass each :
       { CallClass::Critical, CallClass::Lookup, CallClass::Export }) {
    if (name == NameOf(each)) {
      aRoute.m_class = each;
      return;
    }
  }
  aReader.AddReason(ReasonCode::OutOfRange,
                    "class",
                    "allowed: \"critical\", \"lookup\", \"export\"");
}

void
ParseWeight(EntityReader& aReader, Workspace& aWorkspace)
{
  constexpr const char* kName = "weight";
  const nlohmann::json* weight = aReader.Value(kName);
  if (weight == nullptr) {
    return;
  }
  if (!weight->is_number()) {
    aReader.AddReason(ReasonCode::WrongType, kName, "expected a number");
    return;
  }
  const double number = weight->get<double>();
  if (number < kMinShareWeight || number > kMaxShareWeight) {
    aReader.AddReason(
      ReasonCode::OutOfRange,
      kName,
      fmt::format(
        "allowed: {} to {}, got {}", kMinShareWeight, kMaxShareWeight, number));
    return;
  }
  aWorkspace.m_weight = number;
}

void
ParseKeys(EntityReader& aReader, Workspace& aWorkspace)
{
  constexpr const char* kName = "keys";
  const nlohmann::json* keys = aReader.Value(kName);
  if (keys == nullptr) {
    return;
  }
  if (!keys->is_array() || keys->size() > kMaxKeys) {
    aReader.AddReason(
      ReasonCode::WrongType,
      kName,
      fmt::format("expected an array of up to {} digests", kMaxKeys));
    return;
  }
  for (const nlohmann::json& each : *keys) {
    const auto digest =
      ParseDigest(each.is_string() ? each.get<std::string>() : std::string{});
    if (!digest) {
      // The value is not reported: it may be a plain-text key.
      aReader.AddReason(ReasonCode::OutOfRange,
                        kName,
                        "expected the SHA-256 of each key, in hexadecimal");
      return;
    }
    aWorkspace.m_keys.push_back(digest.value());
  }
}

void
ParseSplit(EntityReader& aReader, Route& aRoute)
{
  constexpr const char* kName = "split";
  const nlohmann::json* split = aReader.Value(kName);
  if (split == nullptr) {
    return;
  }
  if (!split->is_object() || split->empty()) {
    aReader.AddReason(ReasonCode::WrongType,
                      kName,
                      "expected an object of services and their weights");
    return;
  }
  for (const auto& part : split->items()) {
    const bool fits = part.value().is_number_unsigned() &&
                      part.value().get<std::uint64_t>() <= kMaxWeight;
    if (!fits) {
      aReader.AddReason(ReasonCode::OutOfRange,
                        kName,
                        fmt::format("allowed weights: 0 to {}", kMaxWeight));
      return;
    }
    aRoute.m_split.push_back({ part.key(), part.value().get<std::uint32_t>() });
  }
}

}

EntityReader::EntityReader(const nlohmann::json& aObject,
                           std::string aPlace,
                           std::vector<Reason>& aReasons)
  : m_object(aObject)
  , m_place(std::move(aPlace))
  , m_reasons(aReasons)
{
}

const nlohmann::json*
EntityReader::Find(const char* aName)
{
  m_allowed.emplace_back(aName);
  const auto found = m_object.find(aName);
  return found == m_object.end() ? nullptr : &*found;
}

void
EntityReader::AddReason(ReasonCode aCode,
                        const char* aName,
                        std::string aDetail)
{
  m_reasons.push_back(
    Reason{ aCode, fmt::format("{}/{}", m_place, aName), std::move(aDetail) });
}

void
EntityReader::Number(const char* aName,
                     std::uint32_t& aTarget,
                     std::uint32_t aLow,
                     std::uint32_t aHigh)
{
  const nlohmann::json* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number_integer()) {
    AddReason(ReasonCode::WrongType, aName, "expected an integer");
    return;
  }
  const bool tooLarge =
    value->is_number_unsigned() && value->get<std::uint64_t>() > aHigh;
  if (tooLarge || value->get<std::int64_t>() < aLow) {
    AddReason(ReasonCode::OutOfRange,
              aName,
              fmt::format("allowed: {} to {}", aLow, aHigh));
    return;
  }
  aTarget = value->get<std::uint32_t>();
}

void
EntityReader::Real(const char* aName, double& aTarget, double aHigh)
{
  const nlohmann::json* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    AddReason(ReasonCode::WrongType, aName, "expected a number");
    return;
  }
  const double number = value->get<double>();
  if (number < 0.0 || number > aHigh) {
    AddReason(ReasonCode::OutOfRange,
              aName,
              fmt::format("allowed: 0 to {}, got {}", aHigh, number));
    return;
  }
  aTarget = number;
}

void
EntityReader::Text(const char* aName, std::string& aTarget, std::size_t aMax)
{
  const nlohmann::json* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    AddReason(ReasonCode::WrongType, aName, "expected a string");
    return;
  }
  aTarget = value->get<std::string>();
  if (aTarget.size() > aMax) {
    AddReason(
      ReasonCode::OutOfRange,
      aName,
      fmt::format("allowed: up to {} bytes, got {}", aMax, aTarget.size()));
  }
}

void
EntityReader::Flag(const char* aName, bool& aTarget, bool& aPresent)
{
  const nlohmann::json* value = Find(aName);
  aPresent = value != nullptr;
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    AddReason(ReasonCode::WrongType, aName, "expected true or false");
    return;
  }
  aTarget = value->get<bool>();
}

void
EntityReader::Finish()
{
  for (const auto& item : m_object.items()) {
    if (std::find(m_allowed.begin(), m_allowed.end(), item.key()) ==
        m_allowed.end()) {
      m_reasons.push_back(
        Reason{ ReasonCode::UnknownField,
                fmt::format("{}/{}", m_place, PointerToken(item.key())),
                fmt::format("allowed: {}", fmt::join(m_allowed, ", ")) });
    }
  }
}

Service
ParseService(const nlohmann::json& aObject,
             const std::string& aPlace,
             std::vector<Reason>& aReasons)
{
  Service service;
  EntityReader reader{ aObject, aPlace, aReasons };
  reader.Number("slots", service.m_slots, 1, kMaxSlots);
  reader.Number("queue", service.m_queue, 0, kMaxSlots);
  reader.Number("connections", service.m_connections, 1, kMaxSlots);
  reader.Text("health_path", service.m_healthPath, kMaxPathBytes);
  reader.Finish();
  return service;
}

Route
ParseRoute(const nlohmann::json& aObject,
           const std::string& aPlace,
           std::vector<Reason>& aReasons)
{
  Route route;
  EntityReader reader{ aObject, aPlace, aReasons };
  reader.Text("host", route.m_host, kMaxHostBytes);
  reader.Text("path", route.m_path, kMaxPathBytes);
  reader.Text("service", route.m_service, kMaxNameBytes);
  ParseClass(reader, route);
  bool idempotent = false;
  bool hasIdempotent = false;
  reader.Flag("idempotent", idempotent, hasIdempotent);
  if (hasIdempotent) {
    route.m_idempotency =
      idempotent ? Route::Idempotency::Yes : Route::Idempotency::No;
  }
  auto deadline = static_cast<std::uint32_t>(route.m_deadline.count());
  reader.Number("deadline_ms", deadline, 1, kMaxDeadlineMs);
  route.m_deadline = std::chrono::milliseconds{ deadline };
  auto target = static_cast<std::uint32_t>(route.m_targetLatency.count());
  reader.Number("target_latency_ms", target, 0, kMaxDeadlineMs);
  route.m_targetLatency = std::chrono::milliseconds{ target };
  reader.Number("attempts", route.m_attempts, 0, kMaxAttempts);
  route.m_priority = static_cast<std::uint32_t>(route.m_class);
  reader.Number("priority", route.m_priority, 0, kMaxPriority);
  bool hasPublic = false;
  reader.Flag("public", route.m_public, hasPublic);
  ParseSplit(reader, route);
  if (route.m_service.empty() == route.m_split.empty()) {
    reader.AddReason(ReasonCode::MissingField,
                     "service",
                     "expected exactly one of \"service\" and \"split\"");
  }
  if (route.m_path.empty() || route.m_path.front() != '/') {
    reader.AddReason(
      ReasonCode::OutOfRange, "path", "expected a path that starts with \"/\"");
  }
  const bool anyUpper =
    std::any_of(route.m_host.begin(), route.m_host.end(), [](char aChar) {
      return aChar >= 'A' && aChar <= 'Z';
    });
  if (anyUpper) {
    reader.AddReason(
      ReasonCode::OutOfRange, "host", "expected a host in lower case");
  }
  reader.Finish();
  return route;
}

Workspace
ParseWorkspace(const nlohmann::json& aObject,
               const std::string& aPlace,
               std::vector<Reason>& aReasons)
{
  Workspace workspace;
  EntityReader reader{ aObject, aPlace, aReasons };
  ParseKeys(reader, workspace);
  reader.Number("priority", workspace.m_priority, 0, kMaxPriority);
  reader.Real("per_second", workspace.m_perSecond, kMaxRate);
  reader.Real("burst", workspace.m_burst, kMaxRate);
  ParseWeight(reader, workspace);
  reader.Finish();
  return workspace;
}

Limits
ParseLimits(const nlohmann::json& aObject,
            const std::string& aPlace,
            std::vector<Reason>& aReasons)
{
  Limits limits;
  EntityReader reader{ aObject, aPlace, aReasons };
  reader.Number("retry_percent", limits.m_retryPercent, 0, 100);
  bool hasRequiresKey = false;
  reader.Flag("requires_key", limits.m_requiresKey, hasRequiresKey);
  reader.Number("max_depth", limits.m_maxDepth, 1, kMaxHops);
  reader.Number("max_head_bytes", limits.m_maxHeadBytes, 0, kMaxBytes);
  reader.Number("max_body_bytes", limits.m_maxBodyBytes, 0, kMaxBytes);
  std::uint32_t head = 0;
  reader.Number("head_timeout_ms", head, 0, kMaxDeadlineMs);
  limits.m_headTimeout = std::chrono::milliseconds{ head };
  std::uint32_t idle = 0;
  reader.Number("idle_timeout_ms", idle, 0, kMaxDeadlineMs);
  limits.m_idleTimeout = std::chrono::milliseconds{ idle };
  reader.Finish();
  return limits;
}

bool
IsValidName(std::string_view aName) noexcept
{
  if (aName.empty() || aName.size() > kMaxNameBytes) {
    return false;
  }
  if (aName.front() == '-' || aName.front() == '.') {
    return false;
  }
  return std::all_of(aName.begin(), aName.end(), IsNameChar);
}

std::string
PointerToken(std::string_view aName)
{
  std::string token;
  for (const char each : aName) {
    if (each == '~') {
      token += "~0";
    } else if (each == '/') {
      token += "~1";
    } else {
      token += each;
    }
  }
  return token;
}

}
