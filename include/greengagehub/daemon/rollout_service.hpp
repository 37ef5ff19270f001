#pragma once

#include "greengagehub/observe/log.hpp"
#include "greengagehub/rollout/rollout.hpp"
#include "platform/kv_store.hpp"
#include "platform/rollout_document.hpp"

#include <functional>
#include <map>

namespace greengagehub {

/// \brief Connects roll-outs to the store, to the peers and to the log.
class RolloutService
{
public:
  enum class Scope : std::uint8_t
  {
    /// Local changes go to all failure domains.
    AllDomains,
    /// Received changes are forwarded within this daemon's domain.
    OwnDomain,
  };
  struct Dependencies
  {
    platform::KvStore& m_store;
    const Log& m_log;
    std::function<RolloutLimits()> m_limits;
    /// Sends records to peers. Renewed permits go to fewer peers than changes
    /// of state.
    std::function<
      void(const std::vector<RolloutRecord>&, Scope, RolloutTable::Change)>
      m_publish;
    /// Sends the counts of the local worker to the leader.
    std::function<void(WorkerCounts)> m_sendCounts;
    std::function<bool()> m_isLeader;
    /// Whether this daemon writes states when the leader fails or cannot reach
    /// the store.
    std::function<bool()> m_isBackupWriter;
    std::function<RolloutLeader::Workers(const RolloutRecord&)> m_workers;
    /// The version that most known workers of a service run.
    std::function<std::string(const std::string& aService)> m_mostCommonVersion;
    /// Results of the local worker; the version is empty if none is known.
    std::function<WorkerCounts()> m_workerCounts;
    std::function<void()> m_resetWorkerCounts;
  };

  explicit RolloutService(Dependencies aDependencies);

  [[nodiscard]] const RolloutTable& Table() const noexcept { return m_table; }

  /// \param aReadsStore whether this daemon reads the store on behalf of its
  /// failure domain.
  void OnTick(TimePoint aNow, bool aReadsStore);
  /// \brief Handles changed keys with the operators' prefix.
  void OnStoreItems(const std::vector<StoreItem>& aItems);
  /// \brief Schedules a read of all orders.
  void OnStoreChangesMissed() noexcept { m_hasRead = false; }
  /// \brief Writes states again that a store restored from a backup may have
  /// lost.
  void OnStoreRestored();
  void OnUpdate(const std::vector<RolloutRecord>& aRecords);
  void OnCounts(const WorkerCounts& aCounts);
  /// \returns Whether the order is new.
  [[nodiscard]] bool Start(const RolloutOrder& aOrder);
  /// \brief Rolls a version back at an operator's request.
  /// \returns Whether a roll-out was in progress.
  [[nodiscard]] bool Stop(const std::string& aService);
  /// \brief Revokes permits, which may have expired during the pause.
  void OnProcessResumed() { m_table.RevokePermits(); }

private:
  using Change = RolloutTable::Change;

  void ApplyOrder(const StoreItem& aItem, bool aIsInProgress);
  /// \brief Logs, writes and publishes a change of a service's roll-out.
  void ApplyChange(TimePoint aNow,
                   const std::string& aService,
                   Change aChange,
                   Scope aScope);
  void ScheduleStatus(TimePoint aNow,
                      const RolloutRecord& aRecord,
                      Scope aScope);
  void LeadRollouts(TimePoint aNow);
  void LeadRollout(TimePoint aNow, const RolloutRecord& aRecord);
  void ReportCounts(TimePoint aNow);
  void Read();
  void OnOrdersRead(const StoreReply& aReply);
  void OnStatusesRead(std::vector<StoreItem> aOrders, const StoreReply& aReply);
  void Write(std::optional<StoreRequest> aRequest);
  void OnWritten(const RolloutStatus& aStatus);
  void LogStep(const RolloutLeader::Decision& aDecision) const;
  void LogChange(const RolloutRecord& aRecord, Scope aScope) const;

  Dependencies m_deps;
  RolloutTable m_table;
  StatusWriter<platform::RolloutCodec> m_writer;
  /// Roll-outs that this daemon leads, by service.
  std::map<std::string, RolloutLeader> m_leaders;
  /// Target version of the order for which the local worker is counted.
  std::string m_countedTarget;
  TimePoint m_nextCounts{};
  TimePoint m_nextRead{};
  bool m_hasRead{ false };
  bool m_isReading{ false };
};

}
