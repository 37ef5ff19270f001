#pragma once

#include "greengagehub/core/random.hpp"
#include "greengagehub/rollout/rollout_record.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Which workers of a service a call may go to.
struct VersionRule
{
  enum class Kind : std::uint8_t
  {
    /// Those of the version.
    Only,
    /// All but those of the version.
    AllBut,
  };
  Kind m_kind{ Kind::Only };
  std::string_view m_version{};
  /// As in TrialLeave.
  std::uint32_t m_workers{ 0 };
  std::uint32_t m_first{ 0 };
  /// Also those that have not told their version.
  bool m_takesUntold{ false };

  [[nodiscard]] bool Allows(std::string_view aVersion) const noexcept
  {
    if (aVersion.empty()) {
      return m_takesUntold;
    }
    return (m_kind == Kind::Only) == (aVersion == m_version);
  }
};

/// \brief Rules for one call, in the order in which they are tried; none: any
/// worker may have it. Valid until the table changes.
class VersionRules
{
public:
  void Add(VersionRule aRule) noexcept { m_rules.at(m_count++) = aRule; }
  [[nodiscard]] bool IsEmpty() const noexcept { return m_count == 0; }
  [[nodiscard]] const VersionRule* begin() const noexcept // NOLINT: for loops
  {
    return m_rules.data();
  }
  [[nodiscard]] const VersionRule* end() const noexcept // NOLINT
  {
    return m_rules.data() + m_count;
  }

private:
  std::array<VersionRule, 2> m_rules{};
  std::size_t m_count{ 0 };
};

/// \brief The roll-outs that this daemon knows of, and where calls may go by
/// them.
///
/// A worker of a version on trial gets nothing but by a leave that has not run
/// out, which a daemon cut off from the others no longer has after
/// kLeaveTime. A version that was rolled back gets nothing, and one that is
/// completed gets everything. Of a service without an order nothing is known
/// here.
///
/// An order is named by its service and version: one that was decided is not
/// tried again, also if the store tells it anew after it came back from an
/// older copy.
class RolloutTable
{
public:
  /// For how long a leave is lent. Longer than three tellings take, and short
  /// beside the seconds within which a version that fails has to be left.
  static constexpr std::chrono::milliseconds kLeaveTime{ 1500 };
  /// After this a worker that has not told its version is not of the other
  /// one: those were stopped, or have left.
  static constexpr std::chrono::seconds kOthersGone{ 5 };
  /// Decided orders of a service that are remembered.
  static constexpr std::size_t kMaxFormer = 16;

  /// \brief What a step has changed here.
  enum class Change : std::uint8_t
  {
    None,
    /// The same state with another leave.
    Leave,
    /// A new order, or another state.
    State,
  };

  /// \brief The store tells an order.
  /// \param aInService version that most workers of the service have, as far
  /// as is known.
  /// \param aIsUnderWay whether the store tells it to be running already.
  [[nodiscard]] Change OnOrder(TimePoint aNow,
                               const RolloutOrder& aOrder,
                               const std::string& aInService,
                               bool aIsUnderWay = false);
  /// \brief The store tells how far an order has come.
  [[nodiscard]] Change OnStatus(TimePoint aNow,
                                const std::string& aService,
                                const std::string& aTarget,
                                RolloutState aState);
  /// \brief Another daemon, or the holder here, tells this.
  [[nodiscard]] Change Take(TimePoint aNow, const RolloutRecord& aRecord);

  /// \returns Whether a call draws the version on trial.
  [[nodiscard]] bool DrawsTrial(TimePoint aNow,
                                const std::string& aService,
                                Random& aRandom) const;
  /// \param aTrial whether the call has drawn the version on trial.
  [[nodiscard]] VersionRules RulesFor(TimePoint aNow,
                                      const std::string& aService,
                                      bool aTrial) const;
  /// \returns Whether a worker of the version may be given a call now.
  [[nodiscard]] bool MayRun(TimePoint aNow,
                            const std::string& aService,
                            std::string_view aVersion) const;

  /// \returns The service's newest order with ages as of now, if there is one.
  [[nodiscard]] std::optional<RolloutRecord> Find(
    TimePoint aNow,
    const std::string& aService) const;
  /// \returns All of them, for a daemon that has others.
  [[nodiscard]] std::vector<RolloutRecord> All(TimePoint aNow) const;
  [[nodiscard]] bool IsEmpty() const noexcept { return m_entries.empty(); }
  /// \returns How many are neither completed nor rolled back.
  [[nodiscard]] std::size_t CountOpen() const;
  /// \returns A digest of All() without leaves and ages; 0 if there are none.
  [[nodiscard]] std::uint64_t Summary() const noexcept { return m_summary; }
  /// \brief Forgets leaves: the process stood still for longer than they last.
  void DropLeaves();

private:
  struct Entry
  {
    RolloutRecord m_record;
    TimePoint m_ordered;
    TimePoint m_leaveUntil{};
    /// When its last state came to be known; unset: it stood in the store at
    /// the start.
    std::optional<TimePoint> m_finalSince{};
    /// Decided before.
    std::deque<std::string> m_former{};
  };

  [[nodiscard]] const Entry* FindEntry(const std::string& aService) const;
  [[nodiscard]] static bool Overrides(const RolloutRecord& aNew,
                                      const RolloutRecord& aOld) noexcept;
  [[nodiscard]] static VersionRule InService(TimePoint aNow,
                                             const Entry& aEntry);
  void Replace(TimePoint aNow, Entry& aEntry, RolloutRecord aRecord);
  void Sum();

  std::map<std::string, Entry, std::less<>> m_entries;
  std::uint64_t m_summary{ 0 };
};

}
