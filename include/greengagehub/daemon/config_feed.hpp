#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/config/config_copy.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/daemon/config_copy_writer.hpp"
#include "greengagehub/daemon/config_feed_handlers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"
#include "greengagehub/dissemination/version_origin.hpp"
#include "greengagehub/membership/watch_schedule.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "platform/config_document.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace greengagehub {

/// \brief Keeps this daemon's configuration up to date with the store key that
/// holds the operators' whole configuration document.
///
/// Reads the key, waits for its next change, and brings each newer version into
/// force. A watch that the store has not answered in time is checked on another
/// connection. On a slow link it reads the compressed copy instead and checks
/// with the store that the copy is current. One daemon of the fleet maintains
/// the copy.
template<Store StoreType>
class ConfigFeed
{
public:
  using Handlers = ConfigFeedHandlers;
  using Times = ConfigFeedTimes;

  ConfigFeed(asio::io_context& aLoop,
             StoreType& aStore,
             ConfigHolder& aHolder,
             const Log& aLog,
             std::string aKey,
             std::string aWatchPrefix,
             Times aTimes,
             std::uint64_t aSeed,
             Handlers aHandlers)
    : m_store(aStore)
    , m_holder(aHolder)
    , m_log(aLog)
    , m_key(std::move(aKey))
    , m_watchPrefix(std::move(aWatchPrefix))
    , m_times(aTimes)
    , m_random(aSeed)
    , m_handlers(std::move(aHandlers))
    , m_timer(aLoop)
    , m_verifyTimer(aLoop)
    , m_copyWriter(aLoop, aStore, aTimes.m_copyInterval)
    , m_backoff(aTimes.m_firstBackoff)
  {
  }

  /// \brief Sets whether this daemon waits for changes itself, rather than
  /// receiving them from peers.
  void SetWatching(bool aWatching)
  {
    m_isWatching = aWatching;
    if (m_isWatching && m_isIdle) {
      // OnWatch() reads everything again if the store no longer has the
      // history since m_revision.
      Watch();
    }
  }
  [[nodiscard]] bool IsWatching() const noexcept { return m_isWatching; }

  void SetMaintainsCopy(bool aMaintains)
  {
    const bool isStart = aMaintains && !m_copyWriter.IsMaintaining();
    m_copyWriter.SetMaintaining(aMaintains);
    if (isStart && !m_copyWriter.HasDocument()) {
      StartRound();
      ReadOriginal();
    }
  }

  [[nodiscard]] const StoredConfig& LastRead() const noexcept
  {
    return m_lastRead;
  }
  /// \brief Applies a configuration that another request to the store returned.
  /// \returns The configuration; nothing if it cannot be read.
  std::optional<StoredConfig> OnStoreReply(StoreReply aReply)
  {
    ApplyReply(aReply, VersionChannel::StoreCheck);
    return m_isLastReadValid ? std::optional{ m_lastRead } : std::nullopt;
  }

  /// \brief Sets whether the link is so slow that the compressed copy is read
  /// first, and that a watch may be late because its answer is long.
  void SetSlowLink(bool aSlow) noexcept { m_hasSlowLink = aSlow; }

  /// \brief Reads now and drops the replies to requests in progress.
  void Read()
  {
    StartRound();
    if (m_hasSlowLink) {
      ReadCopy();
    } else {
      ReadOriginal();
    }
  }

  /// \brief Compares the version in force with the store's document, unless it
  /// was read from the store, or is being compared, already.
  void VerifyActive()
  {
    const Version active = m_holder.GetVersion();
    if (m_lastRead.m_version == active || m_verifiedVersion == active) {
      return;
    }
    m_verifiedVersion = active;
    // Jitter spreads the reads of daemons that notice the same peer.
    m_verifyTimer.expires_after(Jittered(m_random, kVerifyDelay));
    m_verifyTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Read();
      }
    });
  }

private:
  static constexpr auto kVerifyDelay = std::chrono::milliseconds{ 200 };
  /// Time from the end of a watch until its answer is considered overdue.
  static constexpr auto kOverdueTime = std::chrono::milliseconds{ 250 };

  using Status = StoreReply::Status;

  /// Starts a new round. Replies to requests of earlier rounds are dropped.
  void StartRound()
  {
    m_isIdle = false;
    ++m_round;
    m_timer.cancel();
  }

  template<class Next>
  void Execute(StoreRequest aRequest, Next aNext)
  {
    m_store.Execute(std::move(aRequest),
                    [this, round = m_round, next = std::move(aNext)](
                      StoreReply aReply) mutable {
                      if (round == m_round) {
                        next(std::move(aReply));
                      }
                    });
  }

  void ReadOriginal()
  {
    m_requestedAt = BootNow();
    m_sentAt = m_requestedAt;
    StoreRequest request = MakeGet(m_key);
    request.m_onNewConnection = m_isStoreSilent;
    Execute(std::move(request),
            [this](StoreReply aReply) { OnRead(std::move(aReply)); });
  }

  void ReadCopy()
  {
    // A stale read is enough: CheckOriginal() detects an outdated copy.
    Execute(MakeStaleGet(std::string{ kConfigCopyKey }),
            [this](StoreReply aReply) {
              if (aReply.m_status != Status::Ok) {
                ReadOriginal();
                return;
              }
              auto copy = ParseConfigCopy(aReply.m_value, kMaxUnpackedBytes);
              if (!copy) {
                m_log.Warning("config",
                              "copy_unreadable",
                              { { "detail", copy.error().m_message } });
                ReadOriginal();
                return;
              }
              const ConfigCopy& read = copy.value();
              CheckOriginal(read.m_originalRevision, aReply);
              // The copy takes effect before the check is answered. If it is
              // outdated, peers send the missing versions.
              ApplyDocument(read.m_document,
                            read.m_originalRevision,
                            aReply.m_era,
                            VersionChannel::StoreCopy);
            });
  }

  /// Checks that the original still has the revision the copy was made from.
  /// The answer counts only if the store has not been restored in between,
  /// since a restored store may reuse revisions.
  void CheckOriginal(Revision aOriginal, const StoreReply& aCopy)
  {
    m_requestedAt = BootNow();
    Execute(MakeCheck(m_key, aOriginal),
            [this, aStoreRevision = aCopy.m_storeRevision, era = aCopy.m_era](
              StoreReply aReply) {
              if (!IsCheckAnswered(aReply) ||
                  IsDifferentEra(aReply.m_era, era)) {
                ReadOriginal();
                return;
              }
              ApplyIfChanged(aReply);
              // The next watch covers changes made after the copy was read.
              OnNewestKnown(aStoreRevision, era);
            });
  }

  /// \returns Whether a check shows that the key is unchanged, or its value.
  [[nodiscard]] static bool IsCheckAnswered(const StoreReply& aReply) noexcept
  {
    return aReply.m_status == Status::Ok ||
           (aReply.m_status == Status::Conflict && !aReply.m_value.empty());
  }

  /// \param aReply to a check, answered.
  void ApplyIfChanged(StoreReply& aReply)
  {
    if (aReply.m_status == Status::Conflict) {
      ApplyReply(aReply, VersionChannel::StoreCheck);
    }
  }

  void OnRead(StoreReply aReply)
  {
    UpdateReachable(aReply.m_status);
    if (aReply.m_status == Status::Ok) {
      ApplyReply(aReply, VersionChannel::StoreRead);
    } else if (aReply.m_status != Status::NotFound) {
      LogFailure("read_failed");
      ScheduleInRound(Jittered(m_random, m_backoff), [this] { Read(); });
      m_backoff = std::min(2 * m_backoff, m_times.m_maxBackoff);
      return;
    }
    OnNewestKnown(aReply.m_storeRevision, aReply.m_era);
  }

  /// Records that the newest state was read, even if no configuration exists
  /// yet, and waits for changes.
  void OnNewestKnown(Revision aStoreRevision, std::uint64_t aEra)
  {
    m_era = aEra;
    m_handlers.m_onHead(m_holder.GetVersion());
    if (m_isLastReadValid && m_handlers.m_onConfirmed) {
      m_handlers.m_onConfirmed(m_requestedAt, m_lastRead);
    }
    m_backoff = m_times.m_firstBackoff;
    m_revision = aStoreRevision;
    Watch();
  }

  void Watch()
  {
    m_isIdle = !m_isWatching;
    if (m_isIdle) {
      return;
    }
    m_sentAt = BootNow();
    const std::chrono::milliseconds wait = m_times.m_watch.NextWait(
      WallNow(),
      m_handlers.m_position ? m_handlers.m_position() : ReaderPosition{});
    StoreRequest request =
      MakePrefixWatch(m_key, m_watchPrefix, m_revision, wait);
    request.m_onNewConnection = m_isStoreSilent;
    Execute(std::move(request),
            [this](StoreReply aReply) { OnWatch(std::move(aReply)); });
    if (!m_hasSlowLink) {
      ScheduleInRound(wait + kOverdueTime, [this] { CheckOverdue(); });
    }
  }

  /// The connection of the watch may have gone silent, so the key is checked on
  /// a new one. The first answer of the two counts.
  void CheckOverdue()
  {
    LogFailure("watch_overdue");
    m_isStoreSilent = true;
    StoreRequest request = MakeCheck(m_key, m_lastRead.m_revision);
    request.m_onNewConnection = true;
    Execute(std::move(request),
            [this](StoreReply aReply) { OnOverdueCheck(std::move(aReply)); });
  }

  void OnOverdueCheck(StoreReply aReply)
  {
    if (!IsCheckAnswered(aReply)) {
      return; // The watch fails too, or is answered.
    }
    StartRound();
    if (IsDifferentEra(aReply.m_era, m_era)) {
      OnChangesMissed();
      return;
    }
    ApplyIfChanged(aReply);
    // Reports changes of other keys since m_revision.
    Watch();
  }

  void OnWatch(StoreReply aReply)
  {
    // A check of this watch no longer counts.
    StartRound();
    m_isStoreSilent = aReply.m_status == Status::Unknown;
    UpdateReachable(aReply.m_status);
    if (IsDifferentEra(aReply.m_era, m_era)) {
      // A restored store reuses revisions, so missed changes cannot be derived
      // from them.
      OnChangesMissed();
      return;
    }
    if (!aReply.m_items.empty() && m_handlers.m_onPrefixChanged) {
      m_handlers.m_onPrefixChanged(aReply.m_items);
    }
    switch (aReply.m_status) {
      case Status::Ok:
        ApplyReply(aReply, VersionChannel::StoreWatch);
        break;
      case Status::NotModified:
        if (aReply.m_storeRevision < m_revision) {
          // The store has been restored. It would report no change until its
          // revision exceeds the watched one.
          OnChangesMissed();
          return;
        }
        break;
      default:
        // The request failed or the history was compacted.
        LogFailure("watch_failed");
        OnChangesMissed();
        return;
    }
    m_revision = aReply.m_storeRevision;
    ScheduleInRound(Jittered(m_random, m_times.m_coalesceDelay),
                    [this] { Watch(); });
  }

  /// An unknown era, zero, is treated as equal to any other.
  [[nodiscard]] static bool IsDifferentEra(std::uint64_t aEra,
                                           std::uint64_t aKnownEra) noexcept
  {
    return aEra != 0 && aKnownEra != 0 && aEra != aKnownEra;
  }

  void OnChangesMissed()
  {
    if (m_handlers.m_onChangesMissed) {
      m_handlers.m_onChangesMissed();
    }
    Read();
  }

  void ApplyReply(StoreReply& aReply, VersionChannel aChannel)
  {
    const bool applied =
      ApplyDocument(aReply.m_value, aReply.m_revision, aReply.m_era, aChannel);
    if (applied && m_isWatching) {
      m_copyWriter.OnDocument(std::move(aReply.m_value), aReply.m_revision);
    }
  }

  /// \returns Whether the document could be parsed.
  bool ApplyDocument(const std::string& aText,
                     Revision aRevision,
                     std::uint64_t aEra,
                     VersionChannel aChannel)
  {
    const auto document = m_reader.Read(aText);
    m_isLastReadValid = static_cast<bool>(document);
    if (!document) {
      m_log.Error("config",
                  "document_unreadable",
                  { { "revision", aRevision },
                    { "detail", document.error().m_message } });
      return false;
    }
    const Version before = m_holder.GetVersion();
    const Version version = document.value().m_version;
    m_lastRead = { version, aRevision, aEra };
    const StageResult result =
      m_holder.StageDocument(version, document.value().m_content);
    if (result == StageResult::Corrupt) {
      m_log.Error(
        "config",
        "version_not_usable",
        { { "version", version.m_number }, { "revision", aRevision } });
    }
    if (result == StageResult::Applied) {
      m_handlers.m_onAdvanced(before, aChannel);
    }
    if (result == StageResult::Replaced) {
      m_handlers.m_onReplaced();
    }
    return true;
  }

  void LogFailure(std::string_view aEvent) const
  {
    using std::chrono::milliseconds;
    const auto elapsed =
      std::chrono::duration_cast<milliseconds>(BootNow() - m_sentAt);
    m_log.Info("store", aEvent, { { "after_ms", elapsed.count() } });
  }

  void UpdateReachable(Status aStatus)
  {
    const bool isReachable =
      aStatus != Status::Unavailable && aStatus != Status::Unknown;
    if (isReachable != m_isReachable) {
      m_isReachable = isReachable;
      m_log.Warning("store", isReachable ? "store_reachable" : "store_away");
    }
  }

  template<class Next>
  void ScheduleInRound(std::chrono::milliseconds aPause, Next aNext)
  {
    m_timer.expires_after(aPause);
    m_timer.async_wait([this, round = m_round, next = std::move(aNext)](
                         const asio::error_code& aError) {
      if (!aError && round == m_round) {
        next();
      }
    });
  }

  StoreType& m_store;
  ConfigHolder& m_holder;
  const Log& m_log;
  std::string m_key;
  /// Prefix of other keys that the same watch covers.
  std::string m_watchPrefix;
  Times m_times;
  Random m_random;
  Handlers m_handlers;
  asio::steady_timer m_timer;
  asio::steady_timer m_verifyTimer;
  ConfigCopyWriter<StoreType> m_copyWriter;
  std::chrono::milliseconds m_backoff;
  std::uint64_t m_round{ 0 };
  Revision m_revision{ 0 };
  /// Era of the store in which m_revision was assigned.
  std::uint64_t m_era{ 0 };
  /// When the last read or check was sent.
  TimePoint m_requestedAt{};
  /// When the last read or watch was sent.
  TimePoint m_sentAt{};
  StoredConfig m_lastRead{};
  /// Last version whose content a read was started to compare.
  Version m_verifiedVersion{};
  bool m_isLastReadValid{ true };
  platform::ConfigReader m_reader;
  bool m_isReachable{ true };
  /// The last watch was not answered.
  bool m_isStoreSilent{ false };
  bool m_isWatching{ false };
  bool m_hasSlowLink{ false };
  /// No request is in progress and this daemon does not wait for changes.
  bool m_isIdle{ false };
};

}
