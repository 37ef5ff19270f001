#pragma once

#include "greengagehub/calls/call_share.hpp"
#include "greengagehub/core/clock.hpp"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace greengagehub {

struct ShareGroup;

/// \brief A workspace's calls of one rank.
struct ShareFlow
  : boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  std::uint64_t m_workspace{ 0 };
  std::uint32_t m_weight{ kUnitWeight };
  ShareGroup* m_group{ nullptr };
  /// Virtual time at which the next queued call starts, in seconds of a slot
  /// for each unit of weight.
  double m_startTag{ 0.0 };
  /// Expected slot time of the queued calls, in seconds.
  double m_queuedSeconds{ 0.0 };
  std::uint32_t m_queued{ 0 };
  std::uint32_t m_running{ 0 };
  /// Sum and number of a pass of ShareCount.
  mutable double m_counted{ 0.0 };
  mutable std::uint64_t m_pass{ 0 };
};

/// \brief The workspaces that have calls of one rank.
struct ShareGroup
{
  std::uint32_t m_rank{ 0 };
  /// Start tag of the call served last.
  double m_virtualTime{ 0.0 };
  /// Mean start tag of the flows with queued calls, by weight.
  mutable double m_meanTag{ 0.0 };
  mutable bool m_isMeanOutdated{ true };
  /// Calls queued and running.
  std::uint32_t m_active{ 0 };
  /// Weight of all workspaces with calls queued or running.
  std::uint64_t m_activeWeight{ 0 };
  std::unordered_map<std::uint64_t, ShareFlow> m_flows{};
  /// Number of the last pass of ShareCount.
  mutable std::uint64_t m_passes{ 0 };
  boost::intrusive::list<ShareFlow, boost::intrusive::constant_time_size<false>>
    m_queuedFlows{};
};

/// \brief A call's place among the shares; without a flow it has none.
struct ShareTicket
{
  ShareFlow* m_flow{ nullptr };
  Duration m_cost{ 0 };
};

/// \returns Whether both calls share slots by weight; false without a share.
[[nodiscard]] inline bool
IsOfSameRank(const ShareTicket* aOne, const ShareTicket* aTwo) noexcept
{
  return aOne != nullptr && aTwo != nullptr && aOne->m_flow != nullptr &&
         aTwo->m_flow != nullptr &&
         aOne->m_flow->m_group == aTwo->m_flow->m_group;
}

/// \brief Slot time of a worker by workspace, as operators see it.
struct WorkspaceUse
{
  std::uint64_t m_workspace{ 0 };
  std::uint32_t m_weight{ 0 };
  std::uint32_t m_queued{ 0 };
  std::uint32_t m_running{ 0 };
  /// Slot time of ended runs, exponentially decayed.
  double m_recentSeconds{ 0.0 };
  /// Calls refused while the workspace was ahead of its share.
  std::uint64_t m_refused{ 0 };
  TimePoint m_updatedAt{};
};

/// \brief Weighted shares of slot time among the workspaces whose calls have
/// equal rank.
///
/// Start-time fair queueing: each run advances the start tag of its workspace
/// by its slot time over the weight, first as expected, then as measured. A
/// workspace whose queue was empty continues at the virtual time, so that
/// idleness gains no credit. One whose tag exceeds the mean of those with
/// queued calls is ahead of its share and waits; the others may be served in
/// any order.
class FairShares
{
public:
  /// Workspaces remembered, per rank and for operators.
  static constexpr std::size_t kMaxWorkspaces = 10'000;
  /// Decay time of WorkspaceUse::m_recentSeconds.
  static constexpr auto kUseDecay = std::chrono::seconds{ 10 };

  /// \returns Whether a call of any workspace is queued or running.
  [[nodiscard]] bool IsInUse() const noexcept { return m_named > 0; }
  /// \returns Flows remembered.
  [[nodiscard]] std::size_t FlowCount() const noexcept { return m_flowCount; }
  [[nodiscard]] std::uint64_t RefusedCount() const noexcept
  {
    return m_refused;
  }
  /// \returns Workspaces with calls queued or running.
  [[nodiscard]] std::size_t ActiveCount() const;

  /// \brief Adds an arriving call to its workspace's queue.
  [[nodiscard]] ShareTicket Queue(TimePoint aNow,
                                  std::uint32_t aRank,
                                  const CallShare& aShare,
                                  Duration aCost);
  /// \brief Removes a call that will not run.
  void Drop(ShareTicket& aTicket);
  /// \brief Charges a call that starts.
  void Start(ShareTicket& aTicket, Duration aCost);
  /// \brief Replaces the charge by the measured slot time.
  void Finish(TimePoint aNow, ShareTicket& aTicket, Duration aTook);
  /// \brief Counts a refusal if the call's workspace is ahead of its share.
  void CountRefusal(const ShareTicket& aTicket);

  /// \returns Virtual time by which the workspace is ahead of its share; 0
  /// within it.
  [[nodiscard]] static double LeadOf(const ShareFlow* aFlow);
  /// \returns Virtual time at which the workspace's queue would be empty if it
  /// had its share; comparable within a rank.
  [[nodiscard]] static double FinishTag(const ShareFlow& aFlow);

  /// \returns Use by workspace, the most recent slot time first.
  [[nodiscard]] std::vector<WorkspaceUse> Uses(TimePoint aNow) const;
  /// \returns All zero for a workspace that is not known.
  [[nodiscard]] WorkspaceUse UseOf(TimePoint aNow,
                                   std::uint64_t aWorkspace) const;
  /// \returns Part of the weight of all workspaces with calls queued or
  /// running; 0 if the workspace has none.
  [[nodiscard]] double ShareOf(std::uint64_t aWorkspace) const;

private:
  [[nodiscard]] ShareGroup& GroupOf(std::uint32_t aRank);
  [[nodiscard]] WorkspaceUse& Use(TimePoint aNow, const CallShare& aShare);
  void RemoveQueued(ShareTicket& aTicket);
  void CountEnd(std::uint64_t aWorkspace);
  void RemoveIfIdle(ShareGroup& aGroup);
  /// \brief Forgets workspaces that have no calls and are not ahead.
  void ForgetIdle();
  void ForgetUses(TimePoint aNow);

  std::map<std::uint32_t, ShareGroup> m_groups;
  std::unordered_map<std::uint64_t, WorkspaceUse> m_uses;
  std::size_t m_flowCount{ 0 };
  /// Flow counts at which idle flows and uses are looked for next.
  std::size_t m_forgetAt{ 128 };
  std::size_t m_forgetUsesAt{ 128 };
  /// Of the workspaces with calls queued or running.
  std::uint64_t m_activeWeight{ 0 };
  /// Calls of workspaces queued and running.
  std::size_t m_named{ 0 };
  std::uint64_t m_refused{ 0 };
};

/// \brief Decides which queued calls are served before a call of one workspace:
/// of any other workspace of its rank, those that fit that one's share.
class ShareCount
{
public:
  /// \param aOf the last call of its workspace; nullptr or without a flow: all
  /// calls are counted.
  explicit ShareCount(const ShareTicket* aOf) noexcept;

  /// \returns Whether the share of the call's workspace allows it to start
  /// before `aOf`.
  [[nodiscard]] bool Add(const ShareTicket& aTicket) noexcept;

private:
  const ShareFlow* m_flow{ nullptr };
  double m_limit{ 0.0 };
  std::uint64_t m_pass{ 0 };
};

}
