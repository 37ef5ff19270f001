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

/// \brief Selects the workers of a service that a call may go to, by version.
struct VersionRule
{
  enum class Kind : std::uint8_t
  {
    Only,
    AllBut,
  };
  Kind m_kind{ Kind::Only };
  std::string_view m_version{};
  /// See CanaryPermit.
  std::uint32_t m_workers{ 0 };
  std::uint32_t m_first{ 0 };
  /// Whether workers that have not reported a version are included.
  bool m_allowsUnknownVersion{ false };

  [[nodiscard]] bool Allows(std::string_view aVersion) const noexcept
  {
    if (aVersion.empty()) {
      return m_allowsUnknownVersion;
    }
    return (m_kind == Kind::Only) == (aVersion == m_version);
  }
};

/// \brief Rules for one call, tried in order; without rules, any worker is
/// allowed. Valid until the table changes.
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

/// \brief The known roll-outs and their routing rules.
///
/// A daemon that is cut off from its peers stops using a canary after
/// kPermitTime. A version that was rolled back receives no calls, and a
/// completed one receives all.
///
/// A service and a version identify an order. A decided order is not run again,
/// even if an older copy of the store still contains it.
class RolloutTable
{
public:
  /// Outlasts three renewals, and is short beside the seconds within which
  /// calls to a failing version have to stop.
  static constexpr std::chrono::milliseconds kPermitTime{ 1500 };
  /// Time after a final state from which a worker without a reported version is
  /// assumed to run the remaining version.
  static constexpr std::chrono::seconds kOldWorkersStoppedAfter{ 5 };
  /// Number of earlier orders kept per service.
  static constexpr std::size_t kMaxEarlierTargets = 16;

  enum class Change : std::uint8_t
  {
    None,
    /// The same state with another permit.
    Permit,
    /// A new order, or another state.
    State,
  };

  /// \param aInService version of most workers of the service, if known.
  /// \param aIsRunning whether the store lists the order as running already.
  [[nodiscard]] Change OnOrder(TimePoint aNow,
                               const RolloutOrder& aOrder,
                               const std::string& aInService,
                               bool aIsRunning = false);
  /// \param aState status read from the store.
  [[nodiscard]] Change OnStatus(TimePoint aNow,
                                const std::string& aService,
                                const std::string& aTarget,
                                RolloutState aState);
  /// \brief Applies a record from another daemon or the local leader.
  [[nodiscard]] Change ApplyRecord(TimePoint aNow,
                                   const RolloutRecord& aRecord);

  /// \returns Whether a call is randomly assigned to the canary.
  [[nodiscard]] bool DrawsCanary(TimePoint aNow,
                                 const std::string& aService,
                                 Random& aRandom) const;
  /// \param aIsCanary whether the call is assigned to the canary.
  [[nodiscard]] VersionRules RulesFor(TimePoint aNow,
                                      const std::string& aService,
                                      bool aIsCanary) const;
  [[nodiscard]] bool MayRun(TimePoint aNow,
                            const std::string& aService,
                            std::string_view aVersion) const;

  /// \returns The service's newest order with current ages.
  [[nodiscard]] std::optional<RolloutRecord> Find(
    TimePoint aNow,
    const std::string& aService) const;
  [[nodiscard]] std::vector<RolloutRecord> All(TimePoint aNow) const;
  [[nodiscard]] bool IsEmpty() const noexcept { return m_entries.empty(); }
  /// \returns The number of roll-outs that are not final.
  [[nodiscard]] std::size_t CountOpen() const;
  /// \returns A digest of All() without permits and ages; 0 if there are none.
  [[nodiscard]] std::uint64_t Summary() const noexcept { return m_summary; }
  /// To be called after the process was paused for longer than kPermitTime.
  void RevokePermits();

private:
  struct Entry
  {
    RolloutRecord m_record;
    TimePoint m_orderedAt;
    TimePoint m_permitUntil{};
    /// When the final state became known; unset if the store had it at the
    /// start.
    std::optional<TimePoint> m_finalSince{};
    /// Targets of earlier orders.
    std::deque<std::string> m_earlierTargets{};
  };

  [[nodiscard]] const Entry* FindEntry(const std::string& aService) const;
  [[nodiscard]] static bool Overrides(const RolloutRecord& aNew,
                                      const RolloutRecord& aOld) noexcept;
  [[nodiscard]] static VersionRule InServiceRule(TimePoint aNow,
                                                 const Entry& aEntry);
  void Replace(TimePoint aNow, Entry& aEntry, RolloutRecord aRecord);
  void UpdateSummary();

  std::map<std::string, Entry, std::less<>> m_entries;
  std::uint64_t m_summary{ 0 };
};

}
