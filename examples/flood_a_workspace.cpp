#include "greengagehub/workspaces/workspaces.hpp"

#include <fmt/format.h>
#include <map>
#include <vector>

/// \file
/// \brief Uses the workspace libraries alone: two workspaces share three
/// daemons for ten seconds; one floods and is held to its quota, the other is
/// served.

namespace {

using namespace greengagehub; // NOLINT: an example in one file
using namespace std::chrono_literals;

constexpr QuotaTolerance kTolerance{};
constexpr std::size_t kDaemons = 3;

struct Totals
{
  std::size_t m_sent{ 0 };
  std::size_t m_admitted{ 0 };
  std::size_t m_overQuota{ 0 };
};

/// \brief The quota decisions of one daemon.
struct Daemon
{
  QuotaClient m_quotas;
  std::vector<WorkspaceId> m_waiting{};

  void Admit(TimePoint aNow, WorkspaceId aWorkspace, bool aIsNew, Totals& aOut)
  {
    switch (m_quotas.TryAdmit(aNow, aWorkspace, aIsNew).m_kind) {
      case QuotaDecision::Kind::Admitted:
        ++aOut.m_admitted;
        break;
      case QuotaDecision::Kind::Waiting:
        m_waiting.push_back(aWorkspace);
        break;
      case QuotaDecision::Kind::OverQuota:
      case QuotaDecision::Kind::NoCoordinator:
        ++aOut.m_overQuota;
        break;
    }
  }
};

/// \brief Three daemons and the coordinator, with messages that take no time.
class Fleet
{
public:
  explicit Fleet(const Content& aContent)
  {
    m_table.Update(aContent);
    m_coordinator.Start(m_now);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      m_daemons.push_back({ QuotaClient{ kTolerance, i + 1 } });
    }
  }

  /// \param aKeys key of a caller, and the interval between its requests.
  void Run(Duration aTime, const std::map<std::string, Duration>& aKeys)
  {
    std::map<std::string, TimePoint> next;
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += 1ms) {
      for (const auto& [key, interval] : aKeys) {
        if (m_now >= next[key]) {
          next[key] = m_now + interval;
          Send(key);
        }
      }
      for (Daemon& each : m_daemons) {
        Exchange(each);
      }
    }
  }

  [[nodiscard]] const Totals& Of(const std::string& aName)
  {
    return m_totals[ShortHash(aName)];
  }

private:
  void Send(const std::string& aKey)
  {
    const WorkspaceRow* workspace = m_table.FindByKey(aKey);
    if (workspace == nullptr) {
      fmt::print("unknown key\n");
      return;
    }
    Totals& totals = m_totals[workspace->m_id];
    Daemon& daemon = m_daemons[totals.m_sent++ % m_daemons.size()];
    daemon.Admit(m_now, workspace->m_id, true, totals);
  }

  /// Sends a daemon's query for tokens, and decides its waiting requests again.
  void Exchange(Daemon& aDaemon)
  {
    const auto query = aDaemon.m_quotas.NextQuery(m_now);
    if (!query) {
      return;
    }
    const auto slot = std::to_string(&aDaemon - m_daemons.data());
    const QuotaReport report{ .m_sequence = query->m_sequence,
                              .m_coordinator = "coordinator",
                              .m_isGranting = true,
                              .m_grants = m_coordinator.OnDemands(
                                m_now, slot, query->m_demands, m_table) };
    static_cast<void>(aDaemon.m_quotas.OnReport(m_now, report));
    for (const WorkspaceId each : std::exchange(aDaemon.m_waiting, {})) {
      aDaemon.m_quotas.CancelWait(each);
      aDaemon.Admit(m_now, each, false, m_totals[each]);
    }
  }

  TimePoint m_now{ 1000s };
  WorkspaceTable m_table{};
  QuotaCoordinator m_coordinator{ kTolerance };
  std::vector<Daemon> m_daemons{};
  std::map<WorkspaceId, Totals> m_totals{};
};

}

int
main()
{
  Content content;
  const std::string patch = fmt::format(
    R"({{"workspaces":{{
         "kiosks":{{"keys":["{}"],"per_second":20,"burst":20}},
         "office":{{"keys":["{}"],"per_second":20,"burst":20}}}}}})",
    ToHex(Sha256("key-of-kiosks")),
    ToHex(Sha256("key-of-office")));
  if (!content.Apply(patch).empty()) {
    return 1;
  }
  Fleet fleet{ content };
  // A new coordinator's buckets are empty.
  fleet.Run(1s, {});
  fleet.Run(10s, { { "key-of-kiosks", 2ms }, { "key-of-office", 100ms } });
  for (const char* name : { "kiosks", "office" }) {
    const Totals& totals = fleet.Of(name);
    fmt::print("{}: {} requests, {} admitted, {} over the quota\n",
               name,
               totals.m_sent,
               totals.m_admitted,
               totals.m_overQuota);
  }
  const bool isHeld = fleet.Of("kiosks").m_overQuota > 0;
  const bool isServed = fleet.Of("office").m_overQuota == 0;
  return isHeld && isServed ? 0 : 1;
}
