#pragma once

#include "greengagehub/quarantine/quarantine_news.hpp"
#include "greengagehub/quarantine/success_log.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace greengagehub {

/// \brief What a step has changed here.
struct QuarantineChanges
{
  /// To be passed on to other daemons.
  QuarantineNews m_news{};
  /// New verdicts, in force here from now on.
  std::vector<ContentVerdict> m_verdicts{};
  /// Those of them that this daemon gave, and was not told.
  std::vector<ContentVerdict> m_own{};
};

/// \brief Requests that end the backend servers that run them, over the fleet:
/// counts the ends under each content, holds what has ended too many, and lets
/// go of what is found innocent.
///
/// Answers the load pattern of a request that is sent again and again, by any
/// daemon and under new ids, and ends each backend server that begins it, with
/// all that runs beside it there. All daemons have the same ends and verdicts,
/// so that each decides alone.
///
/// Which of the requests that ran at an end is the cause cannot be seen there.
/// It is told from the others by these rules:
/// - a run that ended well clears what was counted before it, and makes the
///   content need twice as many ends for some time;
/// - ends under runs that overlapped, all within a moment, count once: one
///   cause from outside ends many at once, while a request that is sent again
///   begins only after the end before;
/// - an end at which a held request ran too counts for that one alone;
/// - a content with kSuspectEnds (IsSuspect()) is sent to one worker by all
///   daemons, and run there apart from other such contents and from its own
///   copies: the next end tells one from the other, and costs one worker.
///
/// Tables are bounded: of ends and verdicts the oldest leave first.
class Quarantine
{
public:
  /// Ends under a content that has never been seen to end well, for which it is
  /// held. With two, a lookup that is repeated after one end, and meets the
  /// request that caused it again, would be held as often as that request.
  static constexpr std::uint32_t kHoldEnds = 3;
  /// Ends after which a content runs at one place, apart from others, and is
  /// not tried again at once.
  static constexpr std::uint32_t kSuspectEnds = 2;
  /// The same for one that ended well within kGoodCounts before the first.
  static constexpr std::uint32_t kHoldEndsOfGood = 2 * kHoldEnds;
  static constexpr std::chrono::seconds kGoodCounts{ 60 };
  /// Within which ends under overlapping runs count once: three times the 5 ms
  /// by which daemons saw workers end apart of one cause. With 50 ms, copies
  /// that run at the same time count for too few: five workers were gone with
  /// two ends counted, and five more ended as they were back.
  static constexpr std::chrono::milliseconds kOneMoment{ 15 };
  /// How far apart two daemons may put the same moment: ages lack the time on
  /// the way, some milliseconds.
  static constexpr std::chrono::milliseconds kAgeError{ 10 };
  /// How long a content is held; the platform's store keeps a lease no longer.
  /// One end is then enough to hold it again.
  static constexpr std::chrono::minutes kHoldTime{ 10 };
  /// How long ends and verdicts are remembered.
  static constexpr std::chrono::minutes kRemember{ 20 };
  static constexpr std::size_t kMaxEnds = 512;
  static constexpr std::size_t kMaxVerdicts = 1024;

  [[nodiscard]] bool IsHeld(TimePoint aNow, Fingerprint aContent) const;
  /// \returns For how long from now on; nothing if it is not held.
  [[nodiscard]] std::optional<std::chrono::milliseconds> HeldFor(
    TimePoint aNow,
    Fingerprint aContent) const;
  /// \returns Ends that are counted against it.
  [[nodiscard]] std::uint32_t EndsUnder(Fingerprint aContent) const;
  /// \returns Whether it is close to being held.
  [[nodiscard]] bool IsSuspect(Fingerprint aContent) const
  {
    return EndsUnder(aContent) >= kSuspectEnds;
  }

  /// \brief The backend server beside this daemon ended under these runs.
  /// \param aReport without what this daemon remembers of good runs.
  [[nodiscard]] QuarantineChanges OnOwnEnd(TimePoint aNow, EndReport aReport);
  /// \brief Another daemon, or the store, told this.
  [[nodiscard]] QuarantineChanges OnNews(TimePoint aNow,
                                         const QuarantineNews& aNews);
  /// \brief A run ended well beside this daemon.
  [[nodiscard]] QuarantineChanges OnRanWell(TimePoint aNow,
                                            Fingerprint aContent);
  /// \brief An operator lets a held content go.
  /// \returns Nothing if it is not held.
  [[nodiscard]] std::optional<QuarantineChanges> Lift(TimePoint aNow,
                                                      Fingerprint aContent);
  /// \brief Lets go of what was held for long enough, and forgets.
  [[nodiscard]] QuarantineChanges OnTick(TimePoint aNow);

  /// \brief An end under a content, for people.
  struct SeenEnd
  {
    /// Of the daemon that saw it.
    std::string m_slot{};
    Duration m_age{};
    /// How long the content had run.
    Duration m_ran{};
  };
  /// \returns The ends that are remembered, counted or not; none for a verdict
  /// that was read from the store.
  [[nodiscard]] std::vector<SeenEnd> EndsSeen(TimePoint aNow,
                                              Fingerprint aContent) const;
  /// \returns All verdicts, for a daemon that has others.
  [[nodiscard]] std::vector<ContentVerdict> Verdicts(TimePoint aNow) const;
  /// \returns A digest of Verdicts() without their ages; 0 if there are none.
  [[nodiscard]] std::uint64_t Summary() const noexcept { return m_summary; }
  /// \returns How many contents are held.
  [[nodiscard]] std::size_t CountHeld() const noexcept { return m_held; }

private:
  /// A run of a content that an end cut off.
  struct Cut
  {
    std::uint64_t m_end{ 0 };
    TimePoint m_begun;
    TimePoint m_ended;
  };
  /// A content that ran at an end.
  struct Suspect
  {
    std::vector<Cut> m_cuts{};
    /// When it last ended well, as all daemons know.
    std::optional<TimePoint> m_lastGood{};
  };
  struct End
  {
    std::string m_slot{};
    TimePoint m_at;
    /// Of the backend server beside this daemon.
    bool m_isOwn{ false };
    std::vector<Fingerprint> m_contents{};
  };
  /// Ends that count.
  struct Tally
  {
    std::uint32_t m_ends{ 0 };
    TimePoint m_first{};
  };
  struct Record
  {
    ContentVerdict m_verdict;
    /// When it was given; the verdict's own age is not kept up.
    TimePoint m_at;
  };

  /// \returns The ends counted against it since it last ended well.
  [[nodiscard]] Tally Count(const Suspect& aSuspect,
                            Fingerprint aContent,
                            std::optional<TimePoint> aLastGood) const;
  /// \returns When it last ended well, as all daemons know and as only this
  /// one does.
  [[nodiscard]] std::optional<TimePoint> LastGood(const Suspect& aSuspect,
                                                  Fingerprint aContent) const;
  /// \returns Whether a held content other than this one ran at that end.
  [[nodiscard]] bool IsExplained(std::uint64_t aEnd,
                                 Fingerprint aContent) const;
  [[nodiscard]] bool HasOwnEnd(const Suspect& aSuspect) const;
  /// \returns Whether it told something new.
  bool Add(TimePoint aNow, const EndReport& aReport, bool aIsOwn);
  void Judge(TimePoint aNow, const EndReport& aReport, QuarantineChanges& aOut);
  void JudgeContent(TimePoint aNow,
                    const std::string& aService,
                    Fingerprint aContent,
                    QuarantineChanges& aOut);
  /// \brief Tells the others of a good run that only this daemon knows of, if
  /// it matters by now.
  void TellGoodRun(TimePoint aNow,
                   Suspect& aSuspect,
                   Fingerprint aContent,
                   QuarantineChanges& aOut);
  void Take(TimePoint aNow,
            const ContentVerdict& aVerdict,
            QuarantineChanges& aOut);
  void TakeGoodRun(TimePoint aNow,
                   const ContentVerdict& aVerdict,
                   QuarantineChanges& aOut);
  /// \brief Puts a verdict in force that is new here.
  void Put(TimePoint aAt,
           const ContentVerdict& aVerdict,
           QuarantineChanges& aOut);
  void LiftRecord(TimePoint aNow,
                  ContentVerdict aVerdict,
                  VerdictCause aCause,
                  QuarantineChanges& aOut);
  void DropOldestEnd();
  void DropOldestRecord();
  void EraseRecord(Fingerprint aContent);

  SuccessLog m_goodRuns;
  std::unordered_map<std::uint64_t, End> m_ends;
  /// Their ids, in the order in which they came to be known.
  std::deque<std::uint64_t> m_endOrder;
  std::unordered_map<Fingerprint, Suspect, FingerprintHash> m_suspects;
  std::unordered_map<Fingerprint, Record, FingerprintHash> m_records;
  std::uint64_t m_summary{ 0 };
  std::size_t m_held{ 0 };
};

}
