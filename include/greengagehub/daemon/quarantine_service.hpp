#pragma once

#include "greengagehub/dissemination/quarantine_gossip.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/quarantine/quarantine.hpp"
#include "greengagehub/quarantine/verdict_writer.hpp"
#include "platform/kv_store.hpp"

#include <functional>

namespace greengagehub {

/// \brief Connects the quarantine to the store, to the peers and to the log.
class QuarantineService
{
public:
  using Scope = QuarantineGossip::Scope;

  struct Dependencies
  {
    platform::KvStore& m_store;
    const Log& m_log;
    std::function<void(const QuarantineUpdate&, Scope)> m_publish;
    /// Whether this daemon writes verdicts of other daemons, which may have
    /// failed before they wrote them.
    std::function<bool()> m_isBackupWriter;
  };

  explicit QuarantineService(Dependencies aDependencies);

  [[nodiscard]] const Quarantine& Table() const noexcept
  {
    return m_quarantine;
  }

  /// \brief Starts a stale read of the store; its result may be seconds old.
  void Start();
  /// \param aReadsStore whether this daemon reads the store on behalf of its
  /// failure domain.
  void OnTick(TimePoint aNow, bool aReadsStore);
  /// \brief Writes verdicts again that a store restored from a backup may have
  /// lost, with their leases.
  void OnStoreRestored();
  void OnLocalCrash(CrashReport aReport);
  void OnSuccess(Fingerprint aFingerprint);
  void OnUpdate(const QuarantineUpdate& aUpdate);
  /// \returns Whether the fingerprint was quarantined.
  [[nodiscard]] bool Lift(Fingerprint aFingerprint);

private:
  /// Logs, writes and publishes the given changes.
  void ApplyChanges(TimePoint aNow,
                    const QuarantineChanges& aChanges,
                    Scope aScope);
  void LogVerdict(const QuarantineVerdict& aVerdict, Scope aScope) const;
  void Read(bool aAllowStale);
  void OnRead(const StoreReply& aReply, bool aAllowStale);
  void Write(std::optional<StoreRequest> aRequest);

  Dependencies m_deps;
  Quarantine m_quarantine;
  VerdictWriter m_writer;
  bool m_hasRead{ false };
  bool m_isReading{ false };
  TimePoint m_nextRead{};
};

}
