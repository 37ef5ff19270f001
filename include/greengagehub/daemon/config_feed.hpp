#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/config/config_copy.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/daemon/wall_clock.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "platform/config_document.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <functional>

namespace greengagehub {

/// \brief Follows the one key of the store in which operators keep the whole
/// configuration: reads it, waits for its next change, and brings each newer
/// version into force.
///
/// A daemon on a slow link reads the compressed copy instead, and asks the
/// store whether the original is still what it was made from. One daemon of the
/// fleet keeps the copy.
template<Store StoreType>
class ConfigFeed
{
public:
  /// Documents below this take no longer than the two calls of a copy: at
  /// 5 Mbit/s 13 KiB are 20 ms.
  static constexpr std::size_t kWorthACopy = 16UL * 1024;

  struct Handlers
  {
    /// A newer version is in force.
    std::function<void(Version aBefore)> m_onAdvanced;
    /// The key was read, not from a copy that may be old.
    std::function<void(Version aHead)> m_onHead;
    /// A read that was sent at the first moment shows this configuration, and
    /// none that was newer then.
    std::function<void(TimePoint aAsked, const StoreConfig&)> m_onConfirmed{};
    /// Other keys beside it have changed.
    std::function<void(const std::vector<StoreItem>&)> m_onBeside{};
    /// Changes of those may have been missed.
    std::function<void()> m_onMissed{};
  };

  struct Times
  {
    /// How long one watch waits.
    std::chrono::milliseconds m_watch;
    /// Between a change and the next watch: changes that follow one another
    /// closely cost one call for all of them, and come into force well within
    /// the time that a configuration may take.
    std::chrono::milliseconds m_settle;
    std::chrono::milliseconds m_firstBackoff{ 50 };
    std::chrono::milliseconds m_maxBackoff;
    /// Between two copies, the first of which is made at once: in a storm of
    /// changes a copy of each would cost a call each and be old before it is
    /// read.
    std::chrono::milliseconds m_copyEvery{ 500 };
  };

  ConfigFeed(asio::io_context& aLoop,
             StoreType& aStore,
             ConfigHolder& aHolder,
             const Log& aLog,
             std::string aKey,
             std::string aBeside,
             Times aTimes,
             std::uint64_t aSeed,
             Handlers aHandlers)
    : m_store(aStore)
    , m_holder(aHolder)
    , m_log(aLog)
    , m_key(std::move(aKey))
    , m_beside(std::move(aBeside))
    , m_times(aTimes)
    , m_random(aSeed)
    , m_handlers(std::move(aHandlers))
    , m_timer(aLoop)
    , m_copyTimer(aLoop)
    , m_backoff(aTimes.m_firstBackoff)
  {
  }

  /// \brief Whether to wait for changes; else others of the failure domain do,
  /// and tell.
  void SetWatching(bool aWatching)
  {
    m_watching = aWatching;
    if (m_watching && m_idle) {
      // Goes on from what was read last; where that is too long ago, the store
      // says so and all is read again.
      Watch();
    }
  }
  [[nodiscard]] bool IsWatching() const noexcept { return m_watching; }

  /// \brief Whether this daemon keeps the copy.
  void SetKeepingCopy(bool aKeeping)
  {
    const bool begins = aKeeping && !m_keepsCopy;
    m_keepsCopy = aKeeping;
    if (begins && m_document.empty()) {
      Begin();
      ReadOriginal();
    } else if (begins) {
      CopyLater();
    }
  }

  /// \returns What was read last of the configuration.
  [[nodiscard]] const StoreConfig& Known() const noexcept { return m_known; }
  /// \brief Takes in a configuration that another call to the store returned.
  void Offer(StoreReply aReply) { Take(aReply); }

  /// \brief Whether to read the copy first.
  void SetSlowLink(bool aSlow) noexcept { m_readsCopy = aSlow; }

  /// \brief Reads now, whatever is under way: at the start, and after a pause
  /// in which changes may have been missed.
  void Read()
  {
    Begin();
    if (m_readsCopy) {
      ReadCopy();
    } else {
      ReadOriginal();
    }
  }

private:
  using Status = StoreReply::Status;
  using SteadyClock = asio::steady_timer::clock_type;

  /// Begins a round; what is under way in others no longer counts.
  void Begin()
  {
    m_idle = false;
    ++m_round;
    m_timer.cancel();
  }

  /// Carries a request whose answer counts in this round only.
  template<class Next>
  void Carry(StoreRequest aRequest, Next aNext)
  {
    m_store.Carry(std::move(aRequest),
                  [this, round = m_round, next = std::move(aNext)](
                    StoreReply aReply) mutable {
                    if (round == m_round) {
                      next(std::move(aReply));
                    }
                  });
  }

  void ReadOriginal()
  {
    m_asked = BootNow();
    Carry(MakeGet(m_key),
          [this](StoreReply aReply) { OnRead(std::move(aReply)); });
  }

  void ReadCopy()
  {
    // An old copy does no harm: the store is asked whether it is the newest.
    Carry(MakeOldGet(std::string{ kConfigCopyKey }), [this](StoreReply aReply) {
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
      Confirm(read.m_original, aReply);
      // Already in force while the store is asked: where it turns out to be
      // old, peers bring what is missing sooner than the store the whole.
      TakeDocument(read.m_document, read.m_original, aReply.m_era);
    });
  }

  /// Only the store can tell that the copy is not an old one; and only if it
  /// has not gone back meanwhile, and given its revision to something else.
  void Confirm(Revision aOriginal, const StoreReply& aCopy)
  {
    m_asked = BootNow();
    Carry(MakeCheck(m_key, aOriginal),
          [this, aStoreRevision = aCopy.m_storeRevision, era = aCopy.m_era](
            StoreReply aReply) {
            const bool changed =
              aReply.m_status == Status::Conflict && !aReply.m_value.empty();
            const bool isUsable = aReply.m_status == Status::Ok || changed;
            if (!isUsable || IsOfAnotherEra(aReply.m_era, era)) {
              ReadOriginal();
              return;
            }
            if (changed) {
              Take(aReply);
            }
            // What came after the copy was read is seen by the next watch.
            Follow(aStoreRevision, era);
          });
  }

  void CopyLater()
  {
    if (!m_keepsCopy || m_copyPending || m_document.size() < kWorthACopy) {
      return;
    }
    m_copyPending = true;
    const auto now = SteadyClock::now();
    m_nextCopy = std::max(m_nextCopy, now);
    m_copyTimer.expires_at(m_nextCopy);
    m_nextCopy += m_times.m_copyEvery;
    m_copyTimer.async_wait([this](const asio::error_code& aError) {
      m_copyPending = false;
      if (!aError && m_keepsCopy) {
        PutCopy(true);
      }
    });
  }

  /// \param aAgain whether to try once more with what a conflict tells.
  void PutCopy(bool aAgain)
  {
    m_store.Carry(MakePut(std::string{ kConfigCopyKey },
                          FormatConfigCopy(m_documentRevision, m_document),
                          m_copyRevision),
                  [this, aAgain](const StoreReply& aReply) {
                    const bool conflict = aReply.m_status == Status::Conflict;
                    if (!conflict && aReply.m_status != Status::Ok) {
                      CopyLater();
                      return;
                    }
                    m_copyRevision = aReply.m_revision;
                    if (conflict && aAgain) {
                      PutCopy(false);
                    }
                  });
  }

  void OnRead(StoreReply aReply)
  {
    NoteReachable(aReply.m_status);
    if (aReply.m_status == Status::Ok) {
      Take(aReply);
    } else if (aReply.m_status != Status::NotFound) {
      Later(m_backoff, [this] { Read(); });
      m_backoff = std::min(2 * m_backoff, m_times.m_maxBackoff);
      return;
    }
    Follow(aReply.m_storeRevision, aReply.m_era);
  }

  /// The newest was read; there may be no configuration yet, and that, too, is
  /// the store's word.
  void Follow(Revision aStoreRevision, std::uint64_t aEra)
  {
    m_era = aEra;
    m_handlers.m_onHead(m_holder.GetVersion());
    if (m_isReadable && m_handlers.m_onConfirmed) {
      m_handlers.m_onConfirmed(m_asked, m_known);
    }
    m_backoff = m_times.m_firstBackoff;
    m_revision = aStoreRevision;
    Watch();
  }

  void Watch()
  {
    m_idle = !m_watching;
    if (m_idle) {
      return;
    }
    Carry(MakeWatchBeside(m_key, m_beside, m_revision, m_times.m_watch),
          [this](StoreReply aReply) { OnWatch(std::move(aReply)); });
  }

  void OnWatch(StoreReply aReply)
  {
    NoteReachable(aReply.m_status);
    if (IsOfAnotherEra(aReply.m_era, m_era)) {
      // Revisions have gone back and are given out anew: what lies between says
      // nothing of what was missed.
      Missed();
      return;
    }
    if (!aReply.m_items.empty() && m_handlers.m_onBeside) {
      m_handlers.m_onBeside(aReply.m_items);
    }
    switch (aReply.m_status) {
      case Status::Ok:
        Take(aReply);
        break;
      case Status::NotModified:
        if (aReply.m_storeRevision < m_revision) {
          // The store has gone back: no change would be told until it has
          // caught up.
          Missed();
          return;
        }
        break;
      default:
        // Cut, turned away, or the history is gone: only a read tells what
        // was missed.
        Missed();
        return;
    }
    m_revision = aReply.m_storeRevision;
    Later(m_times.m_settle, [this] { Watch(); });
  }

  /// An answer that tells no era, or none at all, says nothing of it.
  [[nodiscard]] static bool IsOfAnotherEra(std::uint64_t aEra,
                                           std::uint64_t aKnown) noexcept
  {
    return aEra != 0 && aKnown != 0 && aEra != aKnown;
  }

  void Missed()
  {
    if (m_handlers.m_onMissed) {
      m_handlers.m_onMissed();
    }
    Read();
  }

  void Take(StoreReply& aReply)
  {
    const bool taken =
      TakeDocument(aReply.m_value, aReply.m_revision, aReply.m_era);
    if (taken && m_watching) {
      m_document = std::move(aReply.m_value);
      m_documentRevision = aReply.m_revision;
      CopyLater();
    }
  }

  /// \returns Whether it could be read.
  bool TakeDocument(const std::string& aText,
                    Revision aRevision,
                    std::uint64_t aEra)
  {
    const auto document = m_reader.Read(aText);
    m_isReadable = static_cast<bool>(document);
    if (!document) {
      m_log.Error("config",
                  "document_unreadable",
                  { { "revision", aRevision },
                    { "detail", document.error().m_message } });
      return false;
    }
    const Version before = m_holder.GetVersion();
    const Version version = document.value().m_version;
    m_known = { version, aRevision, aEra };
    if (version <= before) {
      return true;
    }
    const StageResult result = m_holder.StageChange(
      version,
      PatchBetween(m_holder.Active()->m_content, document.value().m_content));
    if (result == StageResult::Corrupt) {
      m_log.Error(
        "config",
        "version_not_usable",
        { { "version", version.m_number }, { "revision", aRevision } });
    }
    if (result == StageResult::Applied) {
      m_handlers.m_onAdvanced(before);
    }
    return true;
  }

  void NoteReachable(Status aStatus)
  {
    const bool reachable =
      aStatus != Status::Unavailable && aStatus != Status::Unknown;
    if (reachable != m_reachable) {
      m_reachable = reachable;
      m_log.Warning("store", reachable ? "store_reachable" : "store_away");
    }
  }

  template<class Next>
  void Later(std::chrono::milliseconds aPause, Next aNext)
  {
    m_timer.expires_after(Jittered(m_random, aPause));
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
  /// Prefix of keys that are followed in the same watch.
  std::string m_beside;
  Times m_times;
  Random m_random;
  Handlers m_handlers;
  asio::steady_timer m_timer;
  asio::steady_timer m_copyTimer;
  std::chrono::milliseconds m_backoff;
  /// Answers that belong to an earlier round are dropped.
  std::uint64_t m_round{ 0 };
  Revision m_revision{ 0 };
  /// Of the store, in which m_revision was given.
  std::uint64_t m_era{ 0 };
  /// When the read was sent whose answer is awaited.
  TimePoint m_asked{};
  StoreConfig m_known{};
  bool m_isReadable{ true };
  platform::ConfigReader m_reader;
  bool m_reachable{ true };
  bool m_watching{ false };
  bool m_readsCopy{ false };
  bool m_keepsCopy{ false };
  bool m_copyPending{ false };
  SteadyClock::time_point m_nextCopy{};
  /// The newest configuration as read, at a daemon that waits for changes.
  std::string m_document;
  Revision m_documentRevision{ 0 };
  /// Of the copy, as far as known.
  Revision m_copyRevision{ 0 };
  /// Nothing is under way and nobody waits for changes.
  bool m_idle{ false };
};

}
