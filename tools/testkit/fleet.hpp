#pragma once

#include "greengagehub/http/blocking_client.hpp"
#include "testkit/load.hpp"
#include "testkit/process.hpp"
#include "testkit/signal_rules.hpp"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace greengagehub::testkit {

struct WorkerSpec
{
  std::string m_slot{};
  std::string m_service{};
  std::string m_domain{ "solna" };
  std::string m_region{ "stockholm" };
  std::uint32_t m_slots{ 20 };
  std::uint32_t m_queue{ 40 };
  /// Service time of a call, in milliseconds.
  std::uint32_t m_serviceMs{ 2 };
  /// Rate of the instance's network link; 0: not known to the daemon.
  std::uint32_t m_linkMbps{ 0 };
  /// On the platform: longest wait of a watch on the store, in milliseconds.
  std::uint32_t m_watchMs{ 5000 };
  /// Additional sections of the daemon's settings file, as TOML.
  std::string m_settings{};
  std::vector<std::string> m_backendArguments{};
  bool m_withBackend{ true };
  /// Whether the backend server uses the platform's protocol and heartbeats,
  /// and the daemon reads its configuration from the platform's store.
  bool m_onPlatform{ false };
  /// Whether the backend server is one that can send broken answers, which uses
  /// the platform's protocol too.
  bool m_isFaulty{ false };
  /// Descriptors that the daemon may open; 0: as many as the test.
  std::uint32_t m_maxDescriptors{ 0 };
};

struct CallResult
{
  HttpClientResult m_result;
  [[nodiscard]] int Status() const { return m_result.m_response.m_status; }
  [[nodiscard]] std::string Header(std::string_view aName) const
  {
    return std::string{ HeaderValue(m_result.m_response.m_headers, aName) };
  }
  [[nodiscard]] nlohmann::json Json() const
  {
    return nlohmann::json::parse(
      m_result.m_response.m_body.View(), nullptr, false);
  }
};

struct CommandResult
{
  int m_exitCode{ -1 };
  std::string m_output;
};

/// \brief A stand-in for the store and workers with their daemons, as real
/// processes on ephemeral loopback ports.
class Fleet
{
public:
  static constexpr const char* kToken = "operators-secret";

  Fleet();

  /// \brief Starts a backend server and its daemon, and waits until both
  /// listen.
  void Add(const WorkerSpec& aSpec);
  /// \brief Kills a daemon if it runs, and starts it again at the same address.
  void Restart(const std::string& aSlot);
  /// \brief Kills a platform worker and starts one of another service at its
  /// address, with an id that begins with `aName`.
  void ReplaceBackend(const std::string& aSlot,
                      const std::string& aService,
                      const std::string& aName);

  [[nodiscard]] Process& Daemon(const std::string& aSlot);
  [[nodiscard]] Process& Backend(const std::string& aSlot);
  [[nodiscard]] std::vector<std::string> Slots() const;
  [[nodiscard]] std::string OperatorsUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string CallsUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string BackendUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string StoreUrl() const { return m_storeUrl; }
  [[nodiscard]] std::uint16_t StorePort() const noexcept { return m_storePort; }
  /// \brief Sets the port at which daemons that start later reach the store.
  void UseStoreAt(std::uint16_t aPort) { m_storePortOfDaemons = aPort; }
  [[nodiscard]] std::string ReadinessUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string HeartbeatsUrl(const std::string& aSlot) const;
  /// \brief Sends PUT /control to a platform worker, such as to set a fault.
  void ControlWorker(const std::string& aSlot,
                     const nlohmann::json& aControl) const;
  /// \returns Counters of a platform worker; not an object while it is down.
  [[nodiscard]] nlohmann::json WorkerCounts(const std::string& aSlot) const;
  /// \returns What each incarnation of a backend server received and stated;
  /// empty while it is down.
  [[nodiscard]] std::vector<WorkerHistory> WorkerHistories(
    const std::string& aSlot) const;
  void PutPlatformConfig(const nlohmann::json& aDocument) const;
  void WriteToStore(const std::string& aKey, const std::string& aValue) const;
  /// \returns The value of a key; empty if it is missing.
  [[nodiscard]] std::string ReadFromStore(const std::string& aKey) const;
  /// \brief Runs the `trace` command over the logs of all daemons.
  [[nodiscard]] CommandResult Trace(const std::string& aId);
  [[nodiscard]] bool IsReady(const std::string& aSlot) const;

  [[nodiscard]] CallResult Call(const std::string& aSlot,
                                const std::string& aMethod,
                                const std::string& aTarget,
                                std::vector<HttpHeader> aHeaders = {},
                                std::string aBody = {}) const;
  /// \brief Sends an authorized request to a daemon's operators API.
  [[nodiscard]] CallResult CallOperatorsApi(const std::string& aSlot,
                                            const std::string& aMethod,
                                            const std::string& aPath,
                                            std::string aBody = {}) const;
  /// \brief Runs the command line against a daemon's operators API.
  /// \throws std::runtime_error if it does not start or exit by itself.
  [[nodiscard]] CommandResult Command(const std::string& aSlot,
                                      std::vector<std::string> aArguments);
  /// \brief The same against any URL.
  [[nodiscard]] CommandResult CommandTo(const std::string& aUrl,
                                        std::vector<std::string> aArguments);
  void SetStoreFaults(const nlohmann::json& aFaults) const;
  /// \brief Sends a POST request to the store, such as "/backup" or "/restore".
  void PostToStore(const std::string& aPath) const;
  void SetBackendFaults(const std::string& aSlot,
                        const nlohmann::json& aFaults) const;
  [[nodiscard]] nlohmann::json StoreStats() const;
  [[nodiscard]] nlohmann::json Runs(const std::string& aSlot) const;
  [[nodiscard]] RunCounts AllRuns() const;
  /// \returns Whether it was accepted.
  [[nodiscard]] bool SubmitPatch(const std::string& aSlot,
                                 const std::string& aId,
                                 std::uint64_t aBase,
                                 const std::string& aPatch) const;
  /// \returns The version in force at a daemon; 0 when it does not answer.
  [[nodiscard]] std::uint64_t VersionAt(const std::string& aSlot) const;
  [[nodiscard]] nlohmann::json Status(const std::string& aSlot) const;
  /// \brief Waits until every running daemon is ready with this version or a
  /// newer one in force.
  [[nodiscard]] bool WaitForVersion(
    std::uint64_t aVersion,
    std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 });
  /// \brief Waits until every running daemon knows all running daemons.
  [[nodiscard]] bool WaitForMembers();
  /// \returns Path of the written file, in this fleet's temporary directory.
  std::string WriteFile(const std::string& aName,
                        const std::string& aText) const;

private:
  [[nodiscard]] CommandResult RunCommand(std::vector<std::string> aArguments);
  struct Node
  {
    WorkerSpec m_spec;
    std::string m_settingsFile;
    std::unique_ptr<Process> m_backend;
    std::unique_ptr<Process> m_daemon;
    /// Path of the daemon's standard output since its latest start.
    std::string m_outputFile;
    std::uint16_t m_backendPort{ 0 };
    std::uint16_t m_callsPort{ 0 };
    std::uint16_t m_operatorsPort{ 0 };
    std::uint16_t m_readinessPort{ 0 };
    std::uint16_t m_heartbeatsPort{ 0 };
    /// [listen] section with the ports of the first start, so that a restarted
    /// daemon keeps its address.
    std::string m_listenSection{};
  };

  void StartDaemon(Node& aNode);
  [[nodiscard]] std::string SettingsFor(const Node& aNode) const;
  [[nodiscard]] const Node& NodeAt(const std::string& aSlot) const;

  TemporaryDirectory m_directory;
  std::unique_ptr<Process> m_store;
  std::string m_storeUrl;
  std::uint16_t m_storePort{ 0 };
  std::uint16_t m_storePortOfDaemons{ 0 };
  std::map<std::string, Node> m_nodes;
  int m_logFileCount{ 0 };
};

}
