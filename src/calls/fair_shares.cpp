#include "greengagehub/calls/fair_shares.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

constexpr std::size_t kMinForgetAt = 128;
/// Leaves room for further ones, so that they aren't searched for each call.
constexpr std::size_t kKeptAtMost = FairShares::kMaxWorkspaces / 10 * 9;
/// Uses without calls that are kept at least this long.
constexpr auto kUseLife = std::chrono::minutes{ 1 };
/// Rounding differences of equal tags, relative to the virtual time.
constexpr double kTagPrecision = 1e-9;

double
Seconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

bool
IsActive(const WorkspaceUse& aUse)
{
  return aUse.m_queued + aUse.m_running > 0;
}

bool
IsIdle(const ShareFlow& aFlow)
{
  return aFlow.m_queued == 0 && aFlow.m_running == 0;
}

/// \returns The weight in units. Calls without a workspace are those of an
/// unknown number of workspaces: they weigh as much as all known ones.
double
WeightOf(const ShareFlow& aFlow)
{
  const std::uint64_t weight =
    aFlow.m_workspace == 0
      ? std::max<std::uint64_t>(kUnitWeight, aFlow.m_group->m_activeWeight)
      : aFlow.m_weight;
  return static_cast<double>(weight) / kUnitWeight;
}

double
MeanTag(const ShareGroup& aGroup)
{
  if (aGroup.m_isMeanOutdated) {
    double weights = 0.0;
    double tags = 0.0;
    for (const ShareFlow& each : aGroup.m_queuedFlows) {
      weights += WeightOf(each);
      tags += WeightOf(each) * (each.m_startTag - aGroup.m_virtualTime);
    }
    aGroup.m_meanTag =
      aGroup.m_virtualTime + (weights > 0.0 ? tags / weights : 0.0);
    aGroup.m_isMeanOutdated = false;
  }
  return aGroup.m_meanTag;
}

void
AddActive(ShareFlow& aFlow)
{
  ShareGroup& group = *aFlow.m_group;
  ++group.m_active;
  if (IsIdle(aFlow) && aFlow.m_workspace != 0) {
    group.m_activeWeight += aFlow.m_weight;
  }
}

/// \brief Follows the removal of a call from the flow's counts.
void
RemoveActive(ShareFlow& aFlow)
{
  ShareGroup& group = *aFlow.m_group;
  --group.m_active;
  if (IsIdle(aFlow) && aFlow.m_workspace != 0) {
    group.m_activeWeight -= aFlow.m_weight;
  }
}

double
DecayedTo(const WorkspaceUse& aUse, TimePoint aNow)
{
  const double age = Seconds(aNow - aUse.m_updatedAt);
  return aUse.m_recentSeconds * std::exp(-age / Seconds(FairShares::kUseDecay));
}

std::size_t
NextForgetAt(std::size_t aKept)
{
  return std::max(kMinForgetAt, 2 * aKept);
}

}

std::size_t
FairShares::ActiveCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_uses, [](const auto& aUse) {
      return aUse.first != 0 && IsActive(aUse.second);
    }));
}

ShareGroup&
FairShares::GroupOf(std::uint32_t aRank)
{
  const auto [found, isNew] = m_groups.try_emplace(aRank);
  if (isNew) {
    found->second.m_rank = aRank;
  }
  return found->second;
}

WorkspaceUse&
FairShares::Use(TimePoint aNow, const CallShare& aShare)
{
  if (m_uses.size() >= m_forgetUsesAt) {
    ForgetUses(aNow);
  }
  WorkspaceUse& use = m_uses[aShare.m_workspace];
  use.m_workspace = aShare.m_workspace;
  if (!IsActive(use)) {
    use.m_weight = aShare.m_weight;
  }
  use.m_recentSeconds = DecayedTo(use, aNow);
  use.m_updatedAt = aNow;
  return use;
}

ShareTicket
FairShares::Queue(TimePoint aNow,
                  std::uint32_t aRank,
                  const CallShare& aShare,
                  Duration aCost)
{
  if (m_flowCount >= m_forgetAt) {
    ForgetIdle();
  }
  ShareGroup& group = GroupOf(aRank);
  const auto [found, isNew] = group.m_flows.try_emplace(aShare.m_workspace);
  ShareFlow& flow = found->second;
  m_flowCount += isNew ? 1 : 0;
  if (IsIdle(flow)) {
    // A weight that changes applies to the next busy period.
    flow.m_weight = aShare.m_weight > 0 ? aShare.m_weight : kUnitWeight;
  }
  flow.m_workspace = aShare.m_workspace;
  flow.m_group = &group;
  AddActive(flow);
  if (flow.m_queued == 0) {
    flow.m_startTag = std::max(flow.m_startTag, group.m_virtualTime);
    flow.m_queuedSeconds = 0.0;
    group.m_queuedFlows.push_back(flow);
  }
  ++flow.m_queued;
  flow.m_queuedSeconds += Seconds(aCost);
  group.m_isMeanOutdated = true;
  m_named += aShare.m_workspace != 0 ? 1 : 0;
  WorkspaceUse& use = Use(aNow, { aShare.m_workspace, flow.m_weight });
  m_activeWeight += IsActive(use) ? 0 : use.m_weight;
  ++use.m_queued;
  return { &flow, aCost };
}

void
FairShares::RemoveQueued(ShareTicket& aTicket)
{
  ShareFlow& flow = *aTicket.m_flow;
  --flow.m_queued;
  flow.m_queuedSeconds -= Seconds(aTicket.m_cost);
  if (flow.m_queued == 0) {
    flow.unlink();
  }
  flow.m_group->m_isMeanOutdated = true;
  --m_uses.at(flow.m_workspace).m_queued;
}

void
FairShares::CountEnd(std::uint64_t aWorkspace)
{
  const WorkspaceUse& use = m_uses.at(aWorkspace);
  m_activeWeight -= IsActive(use) ? 0 : use.m_weight;
  m_named -= aWorkspace != 0 ? 1 : 0;
}

void
FairShares::Drop(ShareTicket& aTicket)
{
  if (aTicket.m_flow == nullptr) {
    return;
  }
  ShareFlow& flow = *aTicket.m_flow;
  RemoveQueued(aTicket);
  RemoveActive(flow);
  CountEnd(flow.m_workspace);
  aTicket.m_flow = nullptr;
  RemoveIfIdle(*flow.m_group);
}

void
FairShares::Start(ShareTicket& aTicket, Duration aCost)
{
  if (aTicket.m_flow == nullptr) {
    return;
  }
  ShareFlow& flow = *aTicket.m_flow;
  ShareGroup& group = *flow.m_group;
  // A call may start before others only if a slot is free for those as well.
  group.m_virtualTime =
    std::max(group.m_virtualTime, std::min(flow.m_startTag, MeanTag(group)));
  RemoveQueued(aTicket);
  ++flow.m_running;
  flow.m_startTag += Seconds(aCost) / WeightOf(flow);
  aTicket.m_cost = aCost;
  ++m_uses.at(flow.m_workspace).m_running;
}

void
FairShares::Finish(TimePoint aNow, ShareTicket& aTicket, Duration aTook)
{
  if (aTicket.m_flow == nullptr) {
    return;
  }
  ShareFlow& flow = *aTicket.m_flow;
  ShareGroup& group = *flow.m_group;
  flow.m_startTag += Seconds(aTook - aTicket.m_cost) / WeightOf(flow);
  --flow.m_running;
  RemoveActive(flow);
  group.m_isMeanOutdated = true;
  WorkspaceUse& use = Use(aNow, { flow.m_workspace, flow.m_weight });
  --use.m_running;
  use.m_recentSeconds += Seconds(aTook);
  CountEnd(flow.m_workspace);
  aTicket.m_flow = nullptr;
  RemoveIfIdle(group);
}

void
FairShares::CountRefusal(const ShareTicket& aTicket)
{
  if (LeadOf(aTicket.m_flow) > 0.0) {
    ++m_refused;
    ++m_uses.at(aTicket.m_flow->m_workspace).m_refused;
  }
}

double
FairShares::LeadOf(const ShareFlow* aFlow)
{
  if (aFlow == nullptr) {
    return 0.0;
  }
  const double mean = MeanTag(*aFlow->m_group);
  const double lead = aFlow->m_startTag - mean;
  return lead > kTagPrecision * std::max(1.0, mean) ? lead : 0.0;
}

double
FairShares::FinishTag(const ShareFlow& aFlow)
{
  return aFlow.m_startTag + aFlow.m_queuedSeconds / WeightOf(aFlow);
}

std::vector<WorkspaceUse>
FairShares::Uses(TimePoint aNow) const
{
  std::vector<WorkspaceUse> uses;
  uses.reserve(m_uses.size());
  for (const auto& [workspace, use] : m_uses) {
    uses.push_back(UseOf(aNow, workspace));
  }
  std::ranges::sort(uses,
                    [](const WorkspaceUse& aOne, const WorkspaceUse& aTwo) {
                      return aOne.m_recentSeconds != aTwo.m_recentSeconds
                               ? aOne.m_recentSeconds > aTwo.m_recentSeconds
                               : aOne.m_workspace < aTwo.m_workspace;
                    });
  return uses;
}

WorkspaceUse
FairShares::UseOf(TimePoint aNow, std::uint64_t aWorkspace) const
{
  const auto found = m_uses.find(aWorkspace);
  if (found == m_uses.end()) {
    return { .m_workspace = aWorkspace };
  }
  WorkspaceUse use = found->second;
  use.m_recentSeconds = DecayedTo(use, aNow);
  use.m_updatedAt = aNow;
  return use;
}

double
FairShares::ShareOf(std::uint64_t aWorkspace) const
{
  const auto found = m_uses.find(aWorkspace);
  return found != m_uses.end() && IsActive(found->second)
           ? static_cast<double>(found->second.m_weight) /
               static_cast<double>(m_activeWeight)
           : 0.0;
}

void
FairShares::RemoveIfIdle(ShareGroup& aGroup)
{
  // The end of a busy period: virtual time starts anew, and nobody is ahead.
  if (aGroup.m_active == 0) {
    m_flowCount -= aGroup.m_flows.size();
    m_groups.erase(aGroup.m_rank);
  }
}

void
FairShares::ForgetIdle()
{
  for (const bool keepsAhead : { true, false }) {
    for (auto& [rank, group] : m_groups) {
      m_flowCount -= std::erase_if(group.m_flows, [&](const auto& aEntry) {
        const ShareFlow& flow = aEntry.second;
        return IsIdle(flow) &&
               !(keepsAhead && flow.m_startTag > flow.m_group->m_virtualTime);
      });
    }
    if (m_flowCount <= kKeptAtMost) {
      break;
    }
  }
  m_forgetAt = std::min(NextForgetAt(m_flowCount),
                        std::max(kMaxWorkspaces, m_flowCount + 1));
}

void
FairShares::ForgetUses(TimePoint aNow)
{
  for (const Duration life : { Duration{ kUseLife }, Duration::zero() }) {
    std::erase_if(m_uses, [&](const auto& aEntry) {
      const WorkspaceUse& use = aEntry.second;
      return !IsActive(use) && aNow - use.m_updatedAt >= life;
    });
    if (m_uses.size() <= kKeptAtMost) {
      break;
    }
  }
  m_forgetUsesAt = std::min(NextForgetAt(m_uses.size()),
                            std::max(kMaxWorkspaces, m_uses.size() + 1));
}

ShareCount::ShareCount(const ShareTicket* aOf) noexcept
  : m_flow(aOf != nullptr ? aOf->m_flow : nullptr)
{
  if (m_flow != nullptr) {
    m_limit =
      FairShares::FinishTag(*m_flow) - Seconds(aOf->m_cost) / WeightOf(*m_flow);
    m_pass = ++m_flow->m_group->m_passes;
  }
}

bool
ShareCount::Add(const ShareTicket& aTicket) noexcept
{
  const ShareFlow* other = aTicket.m_flow;
  const bool isLimited = m_flow != nullptr && other != nullptr &&
                         other != m_flow && other->m_group == m_flow->m_group;
  if (!isLimited) {
    return true;
  }
  if (other->m_pass != m_pass) {
    other->m_pass = m_pass;
    other->m_counted = 0.0;
  }
  const double tag = other->m_startTag + other->m_counted / WeightOf(*other);
  other->m_counted += Seconds(aTicket.m_cost);
  return tag <= m_limit;
}

}
