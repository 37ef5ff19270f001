#pragma once

#include "greengagehub/http/blocking_client.hpp"
#include "testkit/load.hpp"
#include "testkit/process.hpp"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief One worker with its daemon.
struct WorkerSpec
{
  std::string m_slot{};
  std::string m_service{};
  std::string m_domain{ "solna" };
  std::string m_region{ "stockholm" };
  std::uint32_t m_slots{ 20 };
  std::uint32_t m_queue{ 40 };
  std::uint32_t m_serviceMs{ 2 };
  /// Extra lines of settings, whole sections.
  std::string m_settings{};
  /// Extra arguments of the backend server.
  std::vector<std::string> m_backendArguments{};
  bool m_withBackend{ true };
  /// The backend server speaks the platform's protocol and sends heartbeats,
  /// and the daemon takes its configuration from the platform's store.
  bool m_onPlatform{ false };
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
    return nlohmann::json::parse(m_result.m_response.m_body, nullptr, false);
  }
};

/// What the command line printed and how it ended.
struct CommandResult
{
  int m_exitCode{ -1 };
  std::string m_output;
};

/// \brief A store stand-in and workers with their daemons, as real processes
/// on ephemeral loopback ports.
class Fleet
{
public:
  static constexpr const char* kToken = "operators-secret";

  Fleet();

  /// \brief Starts a backend server and its daemon, and waits until the
  /// daemon listens.
  void Add(const WorkerSpec& aSpec);
  /// \brief Starts a daemon that was killed again, beside its backend.
  void Restart(const std::string& aSlot);

  [[nodiscard]] Process& Daemon(const std::string& aSlot);
  [[nodiscard]] Process& Backend(const std::string& aSlot);
  [[nodiscard]] std::vector<std::string> Slots() const;
  [[nodiscard]] std::string OperatorsUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string CallsUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string BackendUrl(const std::string& aSlot) const;
  [[nodiscard]] std::string StoreUrl() const { return m_storeUrl; }
  [[nodiscard]] std::uint16_t StorePort() const noexcept { return m_storePort; }
  /// \brief Daemons started from now on reach the store by another port.
  void UseStoreAt(std::uint16_t aPort) { m_daemonsStorePort = aPort; }
  [[nodiscard]] std::string ReadinessUrl(const std::string& aSlot) const;
  /// \brief Switches faults of a backend server on the platform.
  void ControlWorker(const std::string& aSlot,
                     const nlohmann::json& aWanted) const;
  [[nodiscard]] nlohmann::json WorkerCounts(const std::string& aSlot) const;
  /// \brief Writes the operators' configuration into the platform's store.
  void PutPlatformConfig(const nlohmann::json& aDocument) const;
  /// \brief Writes any value under any key, as another writer might.
  void PutIntoStore(const std::string& aKey, const std::string& aValue) const;
  /// \returns What the store holds under a key; empty if it is not there.
  [[nodiscard]] std::string FromStore(const std::string& aKey) const;
  /// \brief Runs the command that traces a request through all daemons' logs.
  [[nodiscard]] CommandResult Trace(const std::string& aId);
  [[nodiscard]] bool IsReady(const std::string& aSlot) const;

  [[nodiscard]] CallResult Call(const std::string& aSlot,
                                const std::string& aMethod,
                                const std::string& aTarget,
                                std::vector<HttpHeader> aHeaders = {},
                                std::string aBody = {}) const;
  [[nodiscard]] CallResult Operate(const std::string& aSlot,
                                   const std::string& aMethod,
                                   const std::string& aPath,
                                   std::string aBody = {}) const;
  [[nodiscard]] CommandResult Command(const std::string& aSlot,
                                      std::vector<std::string> aArguments);
  void SetStoreFaults(const nlohmann::json& aFaults) const;
  void StoreAction(const std::string& aPath) const;
  void SetBackendFaults(const std::string& aSlot,
                        const nlohmann::json& aFaults) const;
  [[nodiscard]] nlohmann::json StoreStats() const;
  [[nodiscard]] nlohmann::json Runs(const std::string& aSlot) const;
  /// \returns How often each request id ran, over all backend servers.
  [[nodiscard]] RunCounts AllRuns() const;
  /// \brief Submits through a daemon and requires that it is accepted.
  [[nodiscard]] bool Accept(const std::string& aSlot,
                            const std::string& aId,
                            std::uint64_t aBase,
                            const std::string& aPatch) const;
  /// \returns Version in force at a daemon; 0 when it does not answer.
  [[nodiscard]] std::uint64_t VersionAt(const std::string& aSlot) const;
  [[nodiscard]] nlohmann::json Status(const std::string& aSlot) const;
  /// \brief Waits until every running daemon has this version in force and
  /// takes calls.
  [[nodiscard]] bool WaitForVersion(
    std::uint64_t aVersion,
    std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 });
  /// \brief Waits until every running daemon sees all the others.
  [[nodiscard]] bool WaitForMembers();
  /// \returns A file of this fleet's directory with this text.
  std::string WriteFile(const std::string& aName,
                        const std::string& aText) const;

private:
  struct Node
  {
    WorkerSpec m_spec;
    std::string m_settingsFile;
    std::unique_ptr<Process> m_backend;
    std::unique_ptr<Process> m_daemon;
    /// Standard output of its latest start.
    std::string m_log;
    std::uint16_t m_backendPort{ 0 };
    std::uint16_t m_callsPort{ 0 };
    std::uint16_t m_operatorsPort{ 0 };
    std::uint16_t m_readinessPort{ 0 };
    std::uint16_t m_heartbeatsPort{ 0 };
    /// [listen] section with the ports of its first start, so that it comes
    /// back at the same address, as a slot does.
    std::string m_listen{};
  };

  void StartDaemon(Node& aNode);
  [[nodiscard]] std::string SettingsFor(const Node& aNode) const;
  [[nodiscard]] const Node& At(const std::string& aSlot) const;

  TemporaryDirectory m_directory;
  std::unique_ptr<Process> m_store;
  std::string m_storeUrl;
  std::uint16_t m_storePort{ 0 };
  std::uint16_t m_daemonsStorePort{ 0 };
  std::map<std::string, Node> m_nodes;
  int m_started{ 0 };
};

}
