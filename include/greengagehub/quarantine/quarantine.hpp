#pragma once

#include "greengagehub/quarantine/quarantine_update.hpp"
#include "greengagehub/quarantine/success_log.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace greengagehub {

struct QuarantineChanges
{
  /// To be sent to other daemons.
  QuarantineUpdate m_update{};
  /// New verdicts, already in force on this daemon.
  std::vector<QuarantineVerdict> m_verdicts{};
  /// The subset of m_verdicts that this daemon reached itself.
  std::vector<QuarantineVerdict> m_ownVerdicts{};
};

/// \brief Quarantine of requests that crash the backend servers they run on.
///
/// A request may be retried through any daemon and under new ids. Every daemon
/// receives the same crash reports and verdicts, so each decides on its own.
///
/// A crash interrupts unrelated requests too. These rules find the cause:
/// - a successful run clears the crashes before it and doubles the threshold
/// for kRecentSuccess;
/// - crashes of overlapping runs within kSameCauseWindow count once: an outage
/// crashes many workers together, while a retry starts after the crash before
/// it;
/// - a crash that interrupted a quarantined request counts against that one
/// only;
/// - daemons send a suspect request (IsSuspect()) to one worker, which runs it
/// without other suspects, so that the next crash has one candidate.
///
/// Tables are bounded; the oldest crashes and verdicts are dropped first.
class Quarantine
{
public:
  /// Crashes after which a request without a recent success is quarantined. A
  /// limit of two would also quarantine unrelated requests that are retried
  /// together with the cause.
  static constexpr std::uint32_t kCrashLimit = 3;
  /// Crashes after which a request is a suspect: it runs in isolation and is
  /// not retried at once.
  static constexpr std::uint32_t kSuspectCrashes = 2;
  /// Applies to a request that succeeded within kRecentSuccess before its first
  /// counted crash.
  static constexpr std::uint32_t kCrashLimitAfterSuccess = 2 * kCrashLimit;
  static constexpr std::chrono::seconds kRecentSuccess{ 60 };
  /// Crashes of overlapping runs within this time count once. Daemons notice
  /// one outage up to 5 ms apart. A longer window merges separate crashes: with
  /// 50 ms, five workers had crashed and only two crashes were counted.
  static constexpr std::chrono::milliseconds kSameCauseWindow{ 15 };
  /// Error of a reported age, which excludes the network delay.
  static constexpr std::chrono::milliseconds kAgeTolerance{ 10 };
  /// Also the lease time of a request's key in the store. A single crash
  /// afterwards quarantines the request again.
  static constexpr std::chrono::minutes kQuarantineTime{ 10 };
  static constexpr std::chrono::minutes kRetention{ 20 };
  static constexpr std::size_t kMaxCrashes = 512;
  static constexpr std::size_t kMaxVerdicts = 1024;

  [[nodiscard]] bool IsQuarantined(TimePoint aNow,
                                   Fingerprint aFingerprint) const;
  /// \returns Nothing if the request is not quarantined.
  [[nodiscard]] std::optional<std::chrono::milliseconds> QuarantineTimeLeft(
    TimePoint aNow,
    Fingerprint aFingerprint) const;
  /// \returns The number of crashes that count against the request.
  [[nodiscard]] std::uint32_t CrashCount(Fingerprint aFingerprint) const;
  /// \returns Whether the request must run without other suspects. Without a
  /// recent success, crashes at the same moment suffice, though they count
  /// once: its copies may have caused them.
  [[nodiscard]] bool IsSuspect(Fingerprint aFingerprint) const;

  /// \param aReport crash of the local backend server; m_lastSuccess of its
  /// runs is filled in here.
  [[nodiscard]] QuarantineChanges OnLocalCrash(TimePoint aNow,
                                               CrashReport aReport);
  /// \param aUpdate crashes and verdicts from another daemon or the store.
  [[nodiscard]] QuarantineChanges OnUpdate(TimePoint aNow,
                                           const QuarantineUpdate& aUpdate);
  /// The request succeeded on the local backend server.
  [[nodiscard]] QuarantineChanges OnSuccess(TimePoint aNow,
                                            Fingerprint aFingerprint);
  /// \brief Lifts a quarantine by order of an operator.
  /// \returns Nothing if the request is not quarantined.
  [[nodiscard]] std::optional<QuarantineChanges> Lift(TimePoint aNow,
                                                      Fingerprint aFingerprint);
  /// \brief Lifts expired quarantines and drops old crashes and verdicts.
  [[nodiscard]] QuarantineChanges OnTick(TimePoint aNow);

  struct KnownCrash
  {
    std::string m_slot{};
    Duration m_age{};
    /// How long the request had been running.
    Duration m_ran{};
  };
  /// \returns All known crashes of the request, counted or not. Empty for a
  /// verdict that was loaded from the store.
  [[nodiscard]] std::vector<KnownCrash> KnownCrashes(
    TimePoint aNow,
    Fingerprint aFingerprint) const;
  /// \returns All verdicts with current ages.
  [[nodiscard]] std::vector<QuarantineVerdict> Verdicts(TimePoint aNow) const;
  /// \returns A digest of Verdicts() without ages; 0 if there are none.
  [[nodiscard]] std::uint64_t Summary() const noexcept { return m_summary; }
  [[nodiscard]] std::size_t CountQuarantined() const noexcept
  {
    return m_quarantinedCount;
  }

private:
  /// A run that a crash interrupted.
  struct LostRun
  {
    std::uint64_t m_crashId{ 0 };
    TimePoint m_begun;
    TimePoint m_ended;
  };
  /// A request that was running during at least one crash.
  struct InterruptedRequest
  {
    std::vector<LostRun> m_runs{};
    /// Last success known to all daemons.
    std::optional<TimePoint> m_lastSuccess{};
  };
  struct Crash
  {
    std::string m_slot{};
    TimePoint m_crashedAt;
    bool m_isLocal{ false };
    std::vector<Fingerprint> m_fingerprints{};
  };
  struct CrashTally
  {
    std::uint32_t m_count{ 0 };
    /// With those that do not count, as they have the cause of another one.
    std::uint32_t m_all{ 0 };
    TimePoint m_firstAt{};
  };
  struct Record
  {
    QuarantineVerdict m_verdict;
    /// When the verdict was given; m_verdict.m_age is not kept current.
    TimePoint m_givenAt;
  };

  [[nodiscard]] CrashTally CountCrashes(
    const InterruptedRequest& aRequest,
    Fingerprint aFingerprint,
    std::optional<TimePoint> aLastSuccess) const;
  [[nodiscard]] bool IsSuspect(const CrashTally& aTally,
                               std::optional<TimePoint> aLastSuccess) const;
  /// \returns Whether a suspect request has fewer crashes with a later success.
  [[nodiscard]] bool ClearsCrashes(const InterruptedRequest& aRequest,
                                   Fingerprint aFingerprint,
                                   std::optional<TimePoint> aSuccess) const;
  [[nodiscard]] static bool HadRecentSuccess(
    const CrashTally& aTally,
    std::optional<TimePoint> aLastSuccess);
  /// \returns The later of the last success known to all daemons and the last
  /// one on the local backend server.
  [[nodiscard]] std::optional<TimePoint> LastSuccess(
    const InterruptedRequest& aRequest,
    Fingerprint aFingerprint) const;
  /// \returns Whether the crash also interrupted another request that has been
  /// quarantined.
  [[nodiscard]] bool HasKnownCause(std::uint64_t aCrash,
                                   Fingerprint aFingerprint) const;
  [[nodiscard]] bool HasLocalCrash(const InterruptedRequest& aRequest) const;
  /// \returns Whether the report contained new runs.
  bool AddCrash(TimePoint aNow, const CrashReport& aReport, bool aIsLocal);
  void EvaluateCrash(TimePoint aNow,
                     const CrashReport& aReport,
                     QuarantineChanges& aOut);
  void EvaluateFingerprint(TimePoint aNow,
                           const std::string& aService,
                           Fingerprint aFingerprint,
                           QuarantineChanges& aOut);
  /// \brief Publishes a success that only this daemon knows of, if it lowers
  /// the crash count of a suspect.
  void PublishSuccess(TimePoint aNow,
                      InterruptedRequest& aRequest,
                      Fingerprint aFingerprint,
                      QuarantineChanges& aOut);
  void ApplyVerdict(TimePoint aNow,
                    const QuarantineVerdict& aVerdict,
                    QuarantineChanges& aOut);
  void ApplySuccess(TimePoint aNow,
                    const QuarantineVerdict& aVerdict,
                    QuarantineChanges& aOut);
  void SetVerdict(TimePoint aAt,
                  const QuarantineVerdict& aVerdict,
                  QuarantineChanges& aOut);
  void LiftVerdict(TimePoint aNow,
                   QuarantineVerdict aVerdict,
                   VerdictCause aCause,
                   QuarantineChanges& aOut);
  void DropOldestCrash();
  void DropOldestRecord();
  void EraseRecord(Fingerprint aFingerprint);

  SuccessLog m_successes;
  std::unordered_map<std::uint64_t, Crash> m_crashes;
  /// Crash ids in order of arrival.
  std::deque<std::uint64_t> m_crashOrder;
  std::unordered_map<Fingerprint, InterruptedRequest, FingerprintHash>
    m_interruptedRequests;
  std::unordered_map<Fingerprint, Record, FingerprintHash> m_records;
  std::uint64_t m_summary{ 0 };
  std::size_t m_quarantinedCount{ 0 };
};

}
