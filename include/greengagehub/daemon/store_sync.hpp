#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/observe/log.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace greengagehub {

/// \brief Reads the decision log, and if needed the snapshot it starts from,
/// and stages new versions. While watching, waits for the next change.
///
/// A store whose log is older than the version in force, or has a different
/// history, is reported and not followed.
template<Store StoreType>
class StoreSync
{
public:
  struct Handlers
  {
    /// A newer version is in force.
    std::function<void(Version aBefore)> m_onAdvanced;
    /// The log was read.
    std::function<void(Version aHead)> m_onHead;
  };

  struct Times
  {
    std::chrono::milliseconds m_watch;
    std::chrono::milliseconds m_firstBackoff{ 200 };
    std::chrono::milliseconds m_maxBackoff;
  };

  StoreSync(asio::io_context& aLoop,
            StoreType& aStore,
            ConfigHolder& aHolder,
            const Log& aLog,
            Times aTimes,
            std::uint64_t aSeed,
            Handlers aHandlers)
    : m_store(aStore)
    , m_holder(aHolder)
    , m_log(aLog)
    , m_times(aTimes)
    , m_random(aSeed)
    , m_handlers(std::move(aHandlers))
    , m_timer(aLoop)
    , m_backoff(aTimes.m_firstBackoff)
  {
  }

  [[nodiscard]] bool IsBehind() const noexcept { return m_isBehind; }
  [[nodiscard]] bool IsReachable() const noexcept { return m_isReachable; }

  void SetWatching(bool aWatching)
  {
    const bool isStart = aWatching && !m_isWatching;
    m_isWatching = aWatching;
    if (isStart && !m_isBusy) {
      Read();
    }
  }

  /// \brief Reads once, unless a read is in progress.
  void ReadOnce()
  {
    if (!m_isBusy) {
      Read();
    }
  }

private:
  void Read()
  {
    m_isBusy = true;
    Execute(MakeGet(std::string{ kLogKey }),
            [this](StoreReply aReply) { OnLog(std::move(aReply)); });
  }

  void Watch()
  {
    if (!m_isWatching) {
      m_isBusy = false;
      return;
    }
    Execute(MakeWatch(std::string{ kLogKey }, m_revision, m_times.m_watch),
            [this](StoreReply aReply) {
              if (aReply.m_status == StoreReply::Status::NotModified) {
                OnWatchTimeout(aReply.m_storeRevision);
                return;
              }
              if (aReply.m_status == StoreReply::Status::HistoryCompacted) {
                Read();
                return;
              }
              OnLog(std::move(aReply));
            });
  }

  void OnWatchTimeout(Revision aStoreRevision)
  {
    if (aStoreRevision < m_revision) {
      // The store was restored from a backup. It would report no change until
      // its revision exceeds the watched one.
      Read();
      return;
    }
    m_revision = aStoreRevision;
    Watch();
  }

  void Execute(StoreRequest aRequest, StoreDone aDone)
  {
    m_store.Execute(std::move(aRequest), std::move(aDone));
  }

  void RetryLater()
  {
    m_timer.expires_after(Jittered(m_random, m_backoff));
    m_backoff = std::min(2 * m_backoff, m_times.m_maxBackoff);
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (aError) {
        return;
      }
      if (m_isWatching) {
        Read();
      } else {
        m_isBusy = false;
      }
    });
  }

  void OnLog(StoreReply aReply)
  {
    using Status = StoreReply::Status;
    const bool isReachable =
      aReply.m_status == Status::Ok || aReply.m_status == Status::NotFound;
    if (isReachable != m_isReachable) {
      m_isReachable = isReachable;
      m_log.Warning("store", isReachable ? "store_reachable" : "store_away");
    }
    if (!isReachable) {
      RetryLater();
      return;
    }
    m_backoff = m_times.m_firstBackoff;
    DecisionLog log;
    if (aReply.m_status == Status::Ok) {
      auto parsed = ParseLog(aReply.m_value);
      if (!parsed) {
        m_log.Error("store",
                    "log_unreadable",
                    { { "detail", parsed.error().m_message } });
        RetryLater();
        return;
      }
      log = std::move(parsed.value());
    }
    m_revision = aReply.m_storeRevision;
    ApplyLog(std::move(log));
  }

  void ApplyLog(DecisionLog aLog)
  {
    CheckHistory(aLog);
    m_handlers.m_onHead(aLog.m_head);
    const Version before = m_holder.GetVersion();
    if (m_isBehind || aLog.m_head <= before) {
      Watch();
      return;
    }
    const auto entries = aLog.EntriesAfter(before);
    if (!entries) {
      ReadSnapshot(std::move(aLog));
      return;
    }
    Stage(*entries, before);
  }

  void Stage(const std::vector<VersionEntry>& aEntries, Version aBefore)
  {
    for (const VersionEntry& each : aEntries) {
      const StageResult result = m_holder.Stage(each);
      const bool isUnusable =
        result == StageResult::Forked || result == StageResult::Corrupt;
      if (isUnusable) {
        m_log.Error("store",
                    "version_not_usable",
                    { { "version", each.m_version.m_number },
                      { "forked", result == StageResult::Forked } });
        break;
      }
    }
    if (m_holder.GetVersion() > aBefore) {
      m_handlers.m_onAdvanced(aBefore);
    }
    Watch();
  }

  void CheckHistory(const DecisionLog& aLog)
  {
    const Version inForce = m_holder.GetVersion();
    const VersionEntry* own = m_holder.Entry(aLog.m_head);
    const bool isOlder = aLog.m_head < inForce;
    const bool isOtherHistory = own != nullptr && own->m_chain != aLog.m_chain;
    const bool isBehind = isOlder || isOtherHistory;
    if (isBehind != m_isBehind) {
      m_isBehind = isBehind;
      m_log.Error("store",
                  isBehind ? "store_behind" : "store_caught_up",
                  { { "store_head", aLog.m_head.m_number },
                    { "in_force", inForce.m_number } });
    }
  }

  void ReadSnapshot(DecisionLog aLog)
  {
    m_snapshot = SnapshotReader{ aLog.m_snapshot };
    m_snapshotLog = std::move(aLog);
    OnSnapshotStep(m_snapshot.Start());
  }

  void OnSnapshotStep(SnapshotReader::Step aStep)
  {
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      Execute(std::move(*request), [this](StoreReply aReply) {
        OnSnapshotStep(m_snapshot.OnReply(aReply));
      });
      return;
    }
    const auto& read = std::get<SnapshotResult>(aStep);
    if (read.m_status != SnapshotResult::Status::Ok) {
      m_log.Warning("store", "snapshot_not_read");
      RetryLater();
      return;
    }
    const Version before = m_holder.GetVersion();
    if (m_holder.StageSnapshot(read.m_head, read.m_text) ==
        StageResult::Corrupt) {
      m_log.Error("store", "snapshot_damaged");
      RetryLater();
      return;
    }
    const auto entries = m_snapshotLog.EntriesAfter(m_holder.GetVersion());
    Stage(entries.value_or(std::vector<VersionEntry>{}), before);
  }

  StoreType& m_store;
  ConfigHolder& m_holder;
  const Log& m_log;
  Times m_times;
  Random m_random;
  Handlers m_handlers;
  asio::steady_timer m_timer;
  std::chrono::milliseconds m_backoff;
  Revision m_revision{ 0 };
  SnapshotReader m_snapshot{ Version{} };
  DecisionLog m_snapshotLog;
  bool m_isWatching{ false };
  bool m_isBusy{ false };
  bool m_isBehind{ false };
  bool m_isReachable{ true };
};

}
