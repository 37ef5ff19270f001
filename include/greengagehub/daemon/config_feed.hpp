#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/observe/log.hpp"
#include "platform/config_document.hpp"

#include <asio/steady_timer.hpp>
#include <functional>

namespace greengagehub {

/// \brief Follows the one key of the store in which operators keep the whole
/// configuration: reads it, waits for its next change, and brings each newer
/// version into force.
template<Store StoreType>
class ConfigFeed
{
public:
  struct Handlers
  {
    /// A newer version is in force.
    std::function<void(Version aBefore)> m_onAdvanced;
    /// The key was read, not from a copy that may be old.
    std::function<void(Version aHead)> m_onHead;
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
  };

  ConfigFeed(asio::io_context& aLoop,
             StoreType& aStore,
             ConfigHolder& aHolder,
             const Log& aLog,
             std::string aKey,
             Times aTimes,
             std::uint64_t aSeed,
             Handlers aHandlers)
    : m_store(aStore)
    , m_holder(aHolder)
    , m_log(aLog)
    , m_key(std::move(aKey))
    , m_times(aTimes)
    , m_random(aSeed)
    , m_handlers(std::move(aHandlers))
    , m_timer(aLoop)
    , m_backoff(aTimes.m_firstBackoff)
  {
  }

  /// \brief Whether to wait for changes; else others of the failure domain do,
  /// and tell.
  void SetWatching(bool aWatching)
  {
    m_watching = aWatching;
    if (m_watching && m_idle) {
      Read();
    }
  }

  /// \brief Reads now, whatever is under way: at the start, and after a pause
  /// in which changes may have been missed.
  void Read()
  {
    m_idle = false;
    const std::uint64_t round = ++m_round;
    m_timer.cancel();
    m_store.Carry(MakeGet(m_key), [this, round](StoreReply aReply) {
      if (round == m_round) {
        OnRead(std::move(aReply));
      }
    });
  }

private:
  using Status = StoreReply::Status;

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
    // There may be no configuration yet; that, too, is the store's word.
    m_handlers.m_onHead(m_holder.GetVersion());
    m_backoff = m_times.m_firstBackoff;
    m_revision = aReply.m_storeRevision;
    Watch();
  }

  void Watch()
  {
    m_idle = !m_watching;
    if (m_idle) {
      return;
    }
    const std::uint64_t round = m_round;
    m_store.Carry(MakeWatch(m_key, m_revision, m_times.m_watch),
                  [this, round](StoreReply aReply) {
                    if (round == m_round) {
                      OnWatch(std::move(aReply));
                    }
                  });
  }

  void OnWatch(StoreReply aReply)
  {
    NoteReachable(aReply.m_status);
    switch (aReply.m_status) {
      case Status::Ok:
        Take(aReply);
        break;
      case Status::NotModified:
        if (aReply.m_storeRevision < m_revision) {
          // The store has gone back: no change would be told until it has
          // caught up.
          Read();
          return;
        }
        break;
      default:
        // Cut, turned away, or the history is gone: only a read tells what
        // was missed.
        Read();
        return;
    }
    m_revision = aReply.m_storeRevision;
    Later(m_times.m_settle, [this] { Watch(); });
  }

  void Take(const StoreReply& aReply)
  {
    const auto document = m_reader.Read(aReply.m_value);
    if (!document) {
      m_log.Error("config",
                  "document_unreadable",
                  { { "revision", aReply.m_revision },
                    { "detail", document.error().m_message } });
      return;
    }
    const Version before = m_holder.GetVersion();
    const Version version = document.value().m_version;
    if (version <= before) {
      return;
    }
    const StageResult result = m_holder.StageChange(
      version,
      PatchBetween(m_holder.Active()->m_content, document.value().m_content));
    if (result == StageResult::Corrupt) {
      m_log.Error(
        "config",
        "version_not_usable",
        { { "version", version.m_number }, { "revision", aReply.m_revision } });
    }
    if (result == StageResult::Applied) {
      m_handlers.m_onAdvanced(before);
    }
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
  Times m_times;
  Random m_random;
  Handlers m_handlers;
  asio::steady_timer m_timer;
  std::chrono::milliseconds m_backoff;
  /// Answers that belong to an earlier round are dropped.
  std::uint64_t m_round{ 0 };
  Revision m_revision{ 0 };
  platform::ConfigReader m_reader;
  bool m_reachable{ true };
  bool m_watching{ true };
  /// Nothing is under way and nobody waits for changes.
  bool m_idle{ false };
};

}
