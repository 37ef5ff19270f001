#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "greengagehub/workspaces/quota_terms.hpp"
#include "greengagehub/workspaces/workspace_table.hpp"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagehub {

/// \brief Deals out the quotas of all workspaces, as the one daemon of the
/// fleet that does so.
///
/// One token bucket for each workspace; tokens go to who asks first, the
/// reserve in proportion to what comes to each daemon.
class QuotaCoordinator
{
public:
  explicit QuotaCoordinator(QuotaRules aRules) noexcept
    : m_rules(aRules)
  {
  }

  /// \brief Starts anew with empty buckets: what a predecessor granted last
  /// may still be in use.
  void Start(TimePoint aNow);
  [[nodiscard]] std::vector<QuotaGrant> OnDemands(
    TimePoint aNow,
    std::string_view aSlot,
    const std::vector<QuotaDemand>& aDemands,
    const WorkspaceTable& aTable);

private:
  /// What comes to one daemon.
  struct Share
  {
    double m_rate{ 0.0 };
    TimePoint m_heardAt{};
  };
  struct Pool
  {
    double m_tokens{ 0.0 };
    TimePoint m_refilledAt{};
    std::unordered_map<std::uint64_t, Share> m_shares{};
    double m_rateOfAll{ 0.0 };
  };

  [[nodiscard]] Pool& PoolOf(WorkspaceId aWorkspace);
  [[nodiscard]] QuotaGrant Grant(TimePoint aNow,
                                 std::uint64_t aSlot,
                                 const QuotaDemand& aDemand,
                                 const QuotaTerms& aTerms);
  static void Refill(TimePoint aNow, Pool& aPool, const QuotaTerms& aTerms);
  static void Note(TimePoint aNow,
                   std::uint64_t aSlot,
                   const QuotaDemand& aDemand,
                   Pool& aPool);
  static void ForgetSilent(TimePoint aNow, Pool& aPool);

  QuotaRules m_rules;
  TimePoint m_started{};
  std::unordered_map<WorkspaceId, Pool> m_pools;
};

}
