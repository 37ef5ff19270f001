#include "testkit/fleet.hpp"

#include "platform/base64.hpp"
#include "platform/names.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace greengagehub::testkit {

using Json = nlohmann::json;

namespace {

/// Waits for the log line with the event "listening".
Json
ListeningLine(const Process& aProcess)
{
  Json listeningLine;
  const bool isListening = WaitUntil([&] {
    std::istringstream lines{ aProcess.Log() };
    for (std::string line; std::getline(lines, line);) {
      Json parsed = Json::parse(line, nullptr, false);
      if (parsed.is_object() && parsed.value("event", "") == "listening") {
        listeningLine = std::move(parsed);
        return true;
      }
    }
    return false;
  });
  if (!isListening) {
    throw std::runtime_error{ "process does not listen; its log: " +
                              aProcess.Log() };
  }
  return listeningLine;
}

/// \param aWatchMs longest wait of a watch on the store.
std::string
PlatformSettings(std::uint32_t aWatchMs)
{
  return fmt::format("watch_ms = {}\ntimeout_ms = 1500\n"
                     "[platform]\nheartbeat_ms = 200\n",
                     aWatchMs);
}

const std::string kEphemeralListenSection =
  "[listen]\nreadiness = \"127.0.0.1:0\"\nheartbeats = \"127.0.0.1:0\"\n";

}

Fleet::Fleet()
{
  m_store = std::make_unique<Process>(std::vector<std::string>{ STORE_PROGRAM },
                                      m_directory.File("store.log"));
  const Json line = ListeningLine(*m_store);
  m_storePort = line["port"].get<std::uint16_t>();
  m_storePortOfDaemons = m_storePort;
  m_storeUrl = fmt::format("http://127.0.0.1:{}", m_storePort);
}

std::string
Fleet::SettingsFor(const Node& aNode) const
{
  const WorkerSpec& spec = aNode.m_spec;
  return fmt::format(
    "[daemon]\nslot = \"{}\"\nservice = \"{}\"\n"
    "region = \"{}\"\ndomain = \"{}\"\nlink_mbps = {}\n"
    "[operators]\ntoken = \"{}\"\n"
    "[worker]\nurl = \"http://127.0.0.1:{}\"\n"
    "slots = {}\nqueue = {}\n{}[store]\nurl = \"{}\"\n{}",
    spec.m_slot,
    spec.m_service,
    spec.m_region,
    spec.m_domain,
    spec.m_linkMbps,
    kToken,
    aNode.m_backendPort,
    spec.m_slots,
    spec.m_queue,
    aNode.m_listenSection.empty() && spec.m_onPlatform ? kEphemeralListenSection
                                                       : aNode.m_listenSection,
    fmt::format("http://127.0.0.1:{}", m_storePortOfDaemons),
    spec.m_onPlatform ? PlatformSettings(spec.m_watchMs) + spec.m_settings
                      : spec.m_settings);
}

void
Fleet::Add(const WorkerSpec& aSpec)
{
  Node& node = m_nodes[aSpec.m_slot];
  node.m_spec = aSpec;
  if (aSpec.m_withBackend) {
    const char* worker =
      aSpec.m_isFaulty ? FAULTY_WORKER_PROGRAM : PLATFORM_WORKER_PROGRAM;
    std::vector<std::string> arguments{ aSpec.m_onPlatform ? worker
                                                           : BACKEND_PROGRAM,
                                        "--slots",
                                        std::to_string(aSpec.m_slots),
                                        "--service-ms",
                                        std::to_string(aSpec.m_serviceMs) };
    if (aSpec.m_onPlatform) {
      arguments.insert(
        arguments.end(),
        { "--service", aSpec.m_service, "--domain", aSpec.m_domain });
    }
    arguments.insert(arguments.end(),
                     aSpec.m_backendArguments.begin(),
                     aSpec.m_backendArguments.end());
    node.m_backend = std::make_unique<Process>(
      std::move(arguments), m_directory.File(aSpec.m_slot + ".backend.log"));
    node.m_backendPort =
      ListeningLine(*node.m_backend)["port"].get<std::uint16_t>();
  } else {
    // An unused port.
    node.m_backendPort = 1;
  }
  node.m_settingsFile = WriteFile(aSpec.m_slot + ".toml", SettingsFor(node));
  StartDaemon(node);
}

void
Fleet::StartDaemon(Node& aNode)
{
  const std::string log = m_directory.File(
    fmt::format("{}.{}.log", aNode.m_spec.m_slot, ++m_logFileCount));
  aNode.m_outputFile = log + ".out";
  aNode.m_daemon = std::make_unique<Process>(
    WithDescriptorLimit({ DAEMON_PROGRAM, "--settings", aNode.m_settingsFile },
                        aNode.m_spec.m_maxDescriptors),
    log);
  const Json line = ListeningLine(*aNode.m_daemon);
  aNode.m_callsPort = line["calls_port"].get<std::uint16_t>();
  aNode.m_operatorsPort = line["operators_port"].get<std::uint16_t>();
  aNode.m_readinessPort = line["readiness_port"].get<std::uint16_t>();
  aNode.m_heartbeatsPort = line["heartbeats_port"].get<std::uint16_t>();
  if (aNode.m_listenSection.empty()) {
    aNode.m_listenSection = "[listen]\n";
    for (const char* key : { "calls_port",
                             "operators_port",
                             "gossip_port",
                             "bulk_port",
                             "link_port" }) {
      aNode.m_listenSection +=
        fmt::format("{} = {}\n", key, line[key].get<std::uint16_t>());
    }
    if (aNode.m_spec.m_onPlatform) {
      aNode.m_listenSection += fmt::format("readiness = \"127.0.0.1:{}\"\n"
                                           "heartbeats = \"127.0.0.1:{}\"\n",
                                           aNode.m_readinessPort,
                                           aNode.m_heartbeatsPort);
    }
    WriteFile(aNode.m_spec.m_slot + ".toml", SettingsFor(aNode));
  }
  if (aNode.m_spec.m_onPlatform && aNode.m_spec.m_withBackend) {
    const std::string& slot = aNode.m_spec.m_slot;
    ControlWorker(slot, { { "heartbeats", HeartbeatsUrl(slot) } });
  }
}

void
Fleet::Restart(const std::string& aSlot)
{
  Node& node = m_nodes.at(aSlot);
  node.m_daemon->Kill();
  StartDaemon(node);
}

void
Fleet::ReplaceBackend(const std::string& aSlot,
                      const std::string& aService,
                      const std::string& aName)
{
  Node& node = m_nodes.at(aSlot);
  node.m_backend->Kill();
  std::vector<std::string> arguments{ PLATFORM_WORKER_PROGRAM,
                                      "--service",
                                      aService,
                                      "--name",
                                      aName,
                                      "--port",
                                      std::to_string(node.m_backendPort) };
  node.m_backend = std::make_unique<Process>(
    std::move(arguments), m_directory.File(aSlot + "." + aName + ".log"));
  static_cast<void>(ListeningLine(*node.m_backend));
}

const Fleet::Node&
Fleet::NodeAt(const std::string& aSlot) const
{
  return m_nodes.at(aSlot);
}

Process&
Fleet::Daemon(const std::string& aSlot)
{
  return *m_nodes.at(aSlot).m_daemon;
}

Process&
Fleet::Backend(const std::string& aSlot)
{
  return *m_nodes.at(aSlot).m_backend;
}

std::vector<std::string>
Fleet::Slots() const
{
  std::vector<std::string> slots;
  for (const auto& [slot, node] : m_nodes) {
    slots.push_back(slot);
  }
  return slots;
}

std::string
Fleet::OperatorsUrl(const std::string& aSlot) const
{
  return fmt::format("http://127.0.0.1:{}", NodeAt(aSlot).m_operatorsPort);
}

std::string
Fleet::CallsUrl(const std::string& aSlot) const
{
  return fmt::format("http://127.0.0.1:{}", NodeAt(aSlot).m_callsPort);
}

std::string
Fleet::BackendUrl(const std::string& aSlot) const
{
  return fmt::format("http://127.0.0.1:{}", NodeAt(aSlot).m_backendPort);
}

std::string
Fleet::ReadinessUrl(const std::string& aSlot) const
{
  return fmt::format("http://127.0.0.1:{}{}",
                     NodeAt(aSlot).m_readinessPort,
                     platform::kReadyPath);
}

std::string
Fleet::HeartbeatsUrl(const std::string& aSlot) const
{
  return fmt::format("http://127.0.0.1:{}", NodeAt(aSlot).m_heartbeatsPort);
}

bool
Fleet::IsReady(const std::string& aSlot) const
{
  HttpClientRequest request;
  request.m_url = ReadinessUrl(aSlot);
  return SendAndWait(std::move(request)).m_response.m_status == 200;
}

void
Fleet::ControlWorker(const std::string& aSlot, const Json& aControl) const
{
  HttpClientRequest request;
  request.m_method = "PUT";
  request.m_url = BackendUrl(aSlot) + "/control";
  request.m_body = aControl.dump();
  static_cast<void>(SendAndWait(std::move(request)));
}

Json
Fleet::WorkerCounts(const std::string& aSlot) const
{
  HttpClientRequest request;
  request.m_url = BackendUrl(aSlot) + "/counts";
  return CallResult{ SendAndWait(std::move(request)) }.Json();
}

std::vector<WorkerHistory>
Fleet::WorkerHistories(const std::string& aSlot) const
{
  HttpClientRequest request;
  request.m_url = BackendUrl(aSlot) + "/history";
  return ParseHistories(CallResult{ SendAndWait(std::move(request)) }.Json());
}

void
Fleet::PutPlatformConfig(const Json& aDocument) const
{
  WriteToStore(std::string{ platform::kConfigKey }, aDocument.dump());
}

void
Fleet::WriteToStore(const std::string& aKey, const std::string& aValue) const
{
  HttpClientRequest request;
  request.m_method = "POST";
  request.m_url = m_storeUrl + "/kv-txn";
  request.m_body = Json{
    { "expected", Json::array() },
    { "puts",
      { { { "key", aKey },
          { "value", platform::ToBase64(aValue) },
          { "lease_id", 0 } } } },
    { "deletes", Json::array() }
  }.dump();
  static_cast<void>(SendAndWait(std::move(request)));
}

std::string
Fleet::ReadFromStore(const std::string& aKey) const
{
  HttpClientRequest request;
  request.m_url = m_storeUrl + "/kv-key?key=" + aKey;
  const Json item = CallResult{ SendAndWait(std::move(request)) }.Json();
  const bool hasValue = item.is_object() && item.contains("value");
  const auto value = hasValue
                       ? platform::FromBase64(item["value"].get<std::string>())
                       : std::nullopt;
  return value.value_or("");
}

CallResult
Fleet::Call(const std::string& aSlot,
            const std::string& aMethod,
            const std::string& aTarget,
            std::vector<HttpHeader> aHeaders,
            std::string aBody) const
{
  HttpClientRequest request;
  request.m_method = aMethod;
  request.m_url = CallsUrl(aSlot) + aTarget;
  request.m_headers = std::move(aHeaders);
  request.m_body = std::move(aBody);
  request.m_timeout = std::chrono::seconds{ 30 };
  return { SendAndWait(std::move(request)) };
}

CallResult
Fleet::CallOperatorsApi(const std::string& aSlot,
                        const std::string& aMethod,
                        const std::string& aPath,
                        std::string aBody) const
{
  HttpClientRequest request;
  request.m_method = aMethod;
  request.m_url = OperatorsUrl(aSlot) + aPath;
  request.m_headers.push_back(
    HttpHeader{ "Authorization", std::string{ "Bearer " } + kToken });
  request.m_body = std::move(aBody);
  request.m_timeout = std::chrono::seconds{ 10 };
  return { SendAndWait(std::move(request)) };
}

void
Fleet::SetStoreFaults(const Json& aFaults) const
{
  HttpClientRequest request;
  request.m_method = "PUT";
  request.m_url = m_storeUrl + "/faults";
  request.m_body = aFaults.dump();
  static_cast<void>(SendAndWait(std::move(request)));
}

void
Fleet::PostToStore(const std::string& aPath) const
{
  HttpClientRequest request;
  request.m_method = "POST";
  request.m_url = m_storeUrl + aPath;
  static_cast<void>(SendAndWait(std::move(request)));
}

void
Fleet::SetBackendFaults(const std::string& aSlot, const Json& aFaults) const
{
  HttpClientRequest request;
  request.m_method = "PUT";
  request.m_url = BackendUrl(aSlot) + "/faults";
  request.m_body = aFaults.dump();
  static_cast<void>(SendAndWait(std::move(request)));
}

Json
Fleet::StoreStats() const
{
  HttpClientRequest request;
  request.m_url = m_storeUrl + "/stats";
  return CallResult{ SendAndWait(std::move(request)) }.Json();
}

Json
Fleet::Runs(const std::string& aSlot) const
{
  HttpClientRequest request;
  request.m_url = BackendUrl(aSlot) + "/runs";
  return CallResult{ SendAndWait(std::move(request)) }.Json();
}

RunCounts
Fleet::AllRuns() const
{
  RunCounts counts;
  for (const auto& [slot, node] : m_nodes) {
    if (!node.m_backend) {
      continue;
    }
    const Json runs = Runs(slot);
    for (const auto& item : runs["runs"].items()) {
      counts[item.key()] += item.value().get<std::uint32_t>();
    }
  }
  return counts;
}

bool
Fleet::SubmitPatch(const std::string& aSlot,
                   const std::string& aId,
                   std::uint64_t aBase,
                   const std::string& aPatch) const
{
  const CallResult result =
    CallOperatorsApi(aSlot,
                     "POST",
                     fmt::format("/v1/patches?id={}&base={}", aId, aBase),
                     aPatch);
  return result.Status() == 200;
}

Json
Fleet::Status(const std::string& aSlot) const
{
  return CallOperatorsApi(aSlot, "GET", "/v1/status").Json();
}

std::uint64_t
Fleet::VersionAt(const std::string& aSlot) const
{
  const Json version = CallOperatorsApi(aSlot, "GET", "/v1/version").Json();
  return version.is_object() ? version.value("version", std::uint64_t{ 0 }) : 0;
}

bool
Fleet::WaitForVersion(std::uint64_t aVersion, std::chrono::milliseconds aLimit)
{
  return WaitUntil(
    [&] {
      return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto& aEach) {
        if (!aEach.second.m_daemon->IsRunning()) {
          return true;
        }
        const Json status = Status(aEach.first);
        return status.is_object() &&
               status.value("version", std::uint64_t{ 0 }) >= aVersion &&
               status.value("ready", false);
      });
    },
    aLimit);
}

bool
Fleet::WaitForMembers()
{
  std::size_t running = 0;
  for (auto& [slot, node] : m_nodes) {
    running += node.m_daemon->IsRunning() ? 1 : 0;
  }
  return WaitUntil([&] {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto& aEach) {
      if (!aEach.second.m_daemon->IsRunning()) {
        return true;
      }
      const Json version =
        CallOperatorsApi(aEach.first, "GET", "/v1/version").Json();
      return version.is_object() &&
             version.value("members", std::size_t{ 0 }) == running;
    });
  });
}

std::string
Fleet::WriteFile(const std::string& aName, const std::string& aText) const
{
  std::string path = m_directory.File(aName);
  std::ofstream file{ path };
  file << aText;
  return path;
}

}
