#pragma once

#include "greengagehub/observe/log.hpp"
#include "greengagehub/quarantine/quarantine.hpp"
#include "greengagehub/quarantine/verdict_writer.hpp"
#include "platform/kv_store.hpp"

#include <functional>

namespace greengagehub {

/// \brief The quarantine wired to the store, the other daemons and the log.
class QuarantineKeeper
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
    std::function<void(const QuarantineNews&, Reach)> m_spread;
    /// Whether this daemon writes verdicts of others, who may have been lost
    /// before they did.
    std::function<bool()> m_writesForOthers;
  };

  explicit QuarantineKeeper(Parts aParts);

  [[nodiscard]] const Quarantine& Table() const noexcept
  {
    return m_quarantine;
  }

  /// \brief Reads the store cheaply; what it tells may be seconds old.
  void Start();
  /// \param aReads whether this daemon reads the store for its domain.
  void OnTick(TimePoint aNow, bool aReads);
  /// \brief The store came back from an older copy: verdicts may be missing
  /// there, and their leases are gone.
  void OnStoreRestored();
  void OnOwnEnd(EndReport aReport);
  void OnRanWell(Fingerprint aContent);
  void OnNews(const QuarantineNews& aNews);
  /// \returns Whether it was held.
  [[nodiscard]] bool Lift(Fingerprint aContent);

private:
  /// Carries out what a step has changed.
  void Carry(TimePoint aNow, const QuarantineChanges& aChanges, Reach aReach);
  void LogVerdict(const ContentVerdict& aVerdict, Reach aReach) const;
  void Read(bool aMayBeOld);
  void OnRead(const StoreReply& aReply, bool aMayBeOld);
  void Write(std::optional<StoreRequest> aRequest);

  Parts m_parts;
  Quarantine m_quarantine;
  VerdictWriter m_writer;
  bool m_hasRead{ false };
  bool m_isReading{ false };
  TimePoint m_nextRead{};
};

}
