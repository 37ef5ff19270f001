#pragma once

#include "greengagehub/observe/log.hpp"
#include "greengagehub/rollout/rollout.hpp"
#include "platform/kv_store.hpp"
#include "platform/rollout_document.hpp"

#include <functional>
#include <map>

namespace greengagehub {

/// \brief Roll-outs wired to the store, the other daemons and the log.
class RolloutKeeper
{
public:
  /// How far news goes from here.
  enum class Reach : std::uint8_t
  {
    /// This daemon's own: to all failure domains.
    All,
    /// Heard: on within the own failure domain.
    Domain,
  };
  struct Parts
  {
    platform::KvStore& m_store;
    const Log& m_log;
    std::function<RolloutLimits()> m_limits;
    /// Tells peers. A leave that is only renewed needs fewer of them.
    std::function<
      void(const std::vector<RolloutRecord>&, Reach, RolloutTable::Change)>
      m_spread;
    /// Hands what was counted here to the daemon that leads.
    std::function<void(WorkerCounts)> m_tell;
    /// Whether this daemon leads: the first of all.
    std::function<bool()> m_leads;
    /// Whether it writes for one that leads and is lost or cut off.
    std::function<bool()> m_writesForOthers;
    std::function<RolloutHolder::Workers(const RolloutRecord&)> m_workers;
    /// What most workers of a service run, as far as is known here.
    std::function<std::string(const std::string& aService)> m_mainVersion;
    /// Of the worker beside this daemon; without a version: none is known.
    std::function<WorkerCounts()> m_ownCounts;
    /// Counts there begin anew.
    std::function<void()> m_countAnew;
  };

  explicit RolloutKeeper(Parts aParts);

  [[nodiscard]] const RolloutTable& Table() const noexcept { return m_table; }

  /// \param aReads whether this daemon reads the store for its domain.
  void OnTick(TimePoint aNow, bool aReads);
  /// \brief The store tells that keys beside the configuration have changed.
  void OnStoreItems(const std::vector<StoreItem>& aItems);
  /// \brief Changes there may have been missed.
  void OnStoreMissed() noexcept { m_hasRead = false; }
  /// \brief The store came back from an older copy: what was written since is
  /// written again as it was.
  void OnStoreRestored();
  void OnNews(const std::vector<RolloutRecord>& aRecords);
  void OnCounts(const WorkerCounts& aCounts);
  /// \brief An operator orders a roll-out.
  /// \returns Whether it is a new order.
  [[nodiscard]] bool Start(const RolloutOrder& aOrder);
  /// \brief An operator has a roll-out rolled back.
  /// \returns Whether one was under way.
  [[nodiscard]] bool Stop(const std::string& aService);
  /// \brief The process stood still.
  void OnProcessResumed() { m_table.DropLeaves(); }

private:
  using Change = RolloutTable::Change;

  void TakeOrder(const StoreItem& aItem, bool aIsUnderWay);
  /// \brief Carries out what a step has changed of a service's roll-out.
  void Carry(TimePoint aNow,
             const std::string& aService,
             Change aChange,
             Reach aReach);
  void WantStatus(TimePoint aNow, const RolloutRecord& aRecord, Reach aReach);
  void Lead(TimePoint aNow);
  void LeadOne(TimePoint aNow, const RolloutRecord& aRecord);
  void TellCounts(TimePoint aNow);
  void Read();
  void OnOrdersRead(const StoreReply& aReply);
  void OnStatusesRead(std::vector<StoreItem> aOrders, const StoreReply& aReply);
  void Write(std::optional<StoreRequest> aRequest);
  void OnWritten(const RolloutStatus& aStatus);
  void LogLead(const RolloutHolder::Lead& aLead) const;
  void LogChange(const RolloutRecord& aRecord, Reach aReach) const;

  Parts m_parts;
  RolloutTable m_table;
  StatusWriter<platform::RolloutForm> m_writer;
  /// Roll-outs that this daemon leads, by service.
  std::map<std::string, RolloutHolder> m_holders;
  /// Order that the counts here are of.
  std::string m_countedFor;
  TimePoint m_nextCounts{};
  TimePoint m_nextRead{};
  bool m_hasRead{ false };
  bool m_isReading{ false };
};

}
