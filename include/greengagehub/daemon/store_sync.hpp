#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/daemon/wall_clock.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/workspaces/quota_message.hpp"

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
    /// A linearizable read sent at `aRequestedAt` returned a log with this
    /// head; no newer version was acknowledged before that time.
    std::function<void(TimePoint aRequestedAt, const StoredConfig&)>
      m_onConfirmed{};
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

  /// \returns Head of the log that was read last and is followed, and the
  /// log's revision.
  [[nodiscard]] const StoredConfig& LastRead() const noexcept
  {
    return m_lastRead;
  }

  /// \brief Stages the versions of a log that another linearizable request to
  /// the store returned.
  /// \returns The log's head; nothing if the log cannot be read or followed.
  std::optional<StoredConfig> OnStoreReply(const StoreReply& aReply)
  {
    auto log = ReadLog(aReply);
    // Peers may have sent newer versions since the request was answered.
    if (!log || log->m_head < m_holder.GetVersion()) {
      return std::nullopt;
    }
    const auto head = Follow(*log, aReply, m_holder.GetVersion());
    if (head && !StageAfter(*log, m_holder.GetVersion())) {
      Read();
    }
    return head;
  }

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
  /// State of this daemon when a request was sent.
  struct SentState
  {
    TimePoint m_at;
    /// The store has it or a newer one when it answers, unless it is behind.
    Version m_inForce;
  };
  [[nodiscard]] SentState Sent() const
  {
    return { BootNow(), m_holder.GetVersion() };
  }

  /// Starts a new round. Replies to requests of earlier rounds are dropped.
  void Read()
  {
    m_isBusy = true;
    ++m_round;
    m_timer.cancel();
    Execute(MakeGet(std::string{ kLogKey }),
            [this, sent = Sent()](const StoreReply& aReply) {
              OnLog(aReply, sent, true);
            });
  }

  void Watch()
  {
    if (!m_isWatching) {
      m_isBusy = false;
      return;
    }
    Execute(MakeWatch(std::string{ kLogKey }, m_revision, m_times.m_watch),
            [this, sent = Sent()](const StoreReply& aReply) {
              if (aReply.m_status == StoreReply::Status::NotModified) {
                OnWatchTimeout(aReply.m_storeRevision);
                return;
              }
              if (aReply.m_status == StoreReply::Status::HistoryCompacted) {
                Read();
                return;
              }
              // A watch proves nothing: it may have missed later changes.
              OnLog(aReply, sent, false);
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

  template<class Next>
  void Execute(StoreRequest aRequest, Next aNext)
  {
    m_store.Execute(std::move(aRequest),
                    [this, round = m_round, next = std::move(aNext)](
                      const StoreReply& aReply) mutable {
                      if (round == m_round) {
                        next(aReply);
                      }
                    });
  }

  void RetryLater()
  {
    m_timer.expires_after(Jittered(m_random, m_backoff));
    m_backoff = std::min(2 * m_backoff, m_times.m_maxBackoff);
    m_timer.async_wait([this, round = m_round](const asio::error_code& aError) {
      if (aError || round != m_round) {
        return;
      }
      if (m_isWatching) {
        Read();
      } else {
        m_isBusy = false;
      }
    });
  }

  /// \param aConfirms whether the reply shows that its head was the newest when
  /// the request was sent.
  void OnLog(const StoreReply& aReply, SentState aSent, bool aConfirms)
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
    auto log = ReadLog(aReply);
    if (!log) {
      RetryLater();
      return;
    }
    m_revision = aReply.m_storeRevision;
    const auto head = Follow(*log, aReply, aSent.m_inForce);
    m_handlers.m_onHead(log->m_head);
    if (head && aConfirms && m_handlers.m_onConfirmed) {
      m_handlers.m_onConfirmed(aSent.m_at, *head);
    }
    if (!head || StageAfter(*log, m_holder.GetVersion())) {
      Watch();
    } else {
      ReadSnapshot(std::move(*log));
    }
  }

  /// \returns The log in a reply, empty if the key does not exist; nothing if
  /// it cannot be read.
  std::optional<DecisionLog> ReadLog(const StoreReply& aReply)
  {
    if (aReply.m_status == StoreReply::Status::NotFound) {
      return DecisionLog{};
    }
    auto parsed = ParseLog(aReply.m_value);
    if (!parsed) {
      m_log.Error(
        "store", "log_unreadable", { { "detail", parsed.error().m_message } });
      return std::nullopt;
    }
    return std::move(parsed.value());
  }

  /// \param aExpected version that the log must have.
  /// \returns The log's head; nothing if the log is not followed.
  std::optional<StoredConfig> Follow(const DecisionLog& aLog,
                                     const StoreReply& aReply,
                                     Version aExpected)
  {
    CheckHistory(aLog, aExpected);
    if (m_isBehind) {
      return std::nullopt;
    }
    m_lastRead = { aLog.m_head, aReply.m_revision, aReply.m_era };
    return m_lastRead;
  }

  /// \returns Whether the log has all versions after `aBefore`; otherwise the
  /// snapshot must be read.
  bool StageAfter(const DecisionLog& aLog, Version aBefore)
  {
    if (aLog.m_head <= aBefore) {
      return true;
    }
    const auto entries = aLog.EntriesAfter(aBefore);
    if (entries) {
      Stage(*entries, aBefore);
    }
    return entries.has_value();
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
  }

  void CheckHistory(const DecisionLog& aLog, Version aExpected)
  {
    const VersionEntry* own = m_holder.Entry(aLog.m_head);
    const bool isOlder = aLog.m_head < aExpected;
    const bool isOtherHistory = own != nullptr && own->m_chain != aLog.m_chain;
    const bool isBehind = isOlder || isOtherHistory;
    if (isBehind != m_isBehind) {
      m_isBehind = isBehind;
      m_log.Error("store",
                  isBehind ? "store_behind" : "store_caught_up",
                  { { "store_head", aLog.m_head.m_number },
                    { "in_force", m_holder.GetVersion().m_number } });
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
      Execute(std::move(*request), [this](const StoreReply& aReply) {
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
    Watch();
  }

  StoreType& m_store;
  ConfigHolder& m_holder;
  const Log& m_log;
  Times m_times;
  Random m_random;
  Handlers m_handlers;
  asio::steady_timer m_timer;
  std::chrono::milliseconds m_backoff;
  std::uint64_t m_round{ 0 };
  Revision m_revision{ 0 };
  StoredConfig m_lastRead{};
  SnapshotReader m_snapshot{ Version{} };
  DecisionLog m_snapshotLog;
  bool m_isWatching{ false };
  bool m_isBusy{ false };
  bool m_isBehind{ false };
  bool m_isReachable{ true };
};

}
