#pragma once

#include "greengagehub/dissemination/quarantine_gossip.hpp"
#include "greengagehub/dissemination/version_pusher.hpp"

#include <fmt/format.h>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace greengagehub::test {

using namespace std::chrono_literals;

struct FleetOptions
{
  int m_members{ 60 };
  int m_domains{ 4 };
  std::uint64_t m_seed{ 1 };
  /// Datagrams lost, of 1,000.
  std::uint64_t m_lostPerMille{ 10 };
};

/// \brief Daemons that exchange versions and verdicts in memory, in virtual
/// time. The two members of each domain that rank first read the store.
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
    std::vector<MemberRecord> records;
    records.reserve(static_cast<std::size_t>(aOptions.m_members));
    for (int i = 0; i < aOptions.m_members; ++i) {
      records.push_back(Record(i, aOptions.m_domains));
    }
    for (int i = 0; i < aOptions.m_members; ++i) {
      Daemon& daemon =
        m_daemons.emplace(i, Daemon{ records[i], m_random() }).first->second;
      static_cast<void>(daemon.m_membership.OnRecords(m_now, records));
      ScheduleTick(i, m_now + 1ms * Below(m_random, 100));
    }
  }

  [[nodiscard]] int Size() const noexcept { return m_options.m_members; }
  [[nodiscard]] int DomainOf(int aNumber) const noexcept
  {
    return aNumber % m_options.m_domains;
  }
  [[nodiscard]] bool IsRunning(int aNumber) const
  {
    return !m_paused.contains(aNumber);
  }
  void Pause(int aNumber) { m_paused.insert(aNumber); }
  /// \returns Members of a domain that read the store.
  [[nodiscard]] std::vector<int> Readers(int aDomain)
  {
    std::vector<int> readers;
    for (int i = aDomain; i < Size(); i += m_options.m_domains) {
      if (IsReader(i)) {
        readers.push_back(i);
      }
    }
    return readers;
  }

  /// \brief Stores a change.
  /// \param aPatchBytes size of the patch.
  void Publish(std::size_t aPatchBytes)
  {
    m_head = m_head.Next();
    m_patchBytes[m_head] = aPatchBytes;
    m_publishedAt[m_head] = m_now;
  }

  /// \brief A request is quarantined by the daemon beside the worker that it
  /// has crashed.
  void Quarantine(int aNumber, std::uint64_t aRequest)
  {
    const QuarantineUpdate update{ {}, { Verdict(aRequest) } };
    m_quarantinedAt[aRequest] = m_now;
    ApplyUpdate(aNumber, update, QuarantineGossip::Scope::AllDomains);
  }

  void Run(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      const auto first = m_events.begin();
      m_now = first->first;
      const auto action = std::move(first->second);
      m_events.erase(first);
      action();
    }
    m_now = end;
  }

  /// \returns The longest time from a change to its version or a newer one
  /// being in force, over all running daemons and changes.
  [[nodiscard]] std::chrono::milliseconds Latest() const
  {
    return Longest(m_publishedAt, [](const Daemon& aDaemon, Version aVersion) {
      const auto found = aDaemon.m_appliedAt.lower_bound(aVersion);
      return found != aDaemon.m_appliedAt.end() ? std::optional{ found->second }
                                                : std::nullopt;
    });
  }

  /// \returns The longest time from a verdict to its being in force, over all
  /// running daemons and verdicts.
  [[nodiscard]] std::chrono::milliseconds LatestVerdict() const
  {
    return Longest(m_quarantinedAt,
                   [](const Daemon& aDaemon, std::uint64_t aRequest) {
                     const auto found = aDaemon.m_verdictsAt.find(aRequest);
                     return found != aDaemon.m_verdictsAt.end()
                              ? std::optional{ found->second }
                              : std::nullopt;
                   });
  }

  [[nodiscard]] std::uint64_t Datagrams() const noexcept { return m_datagrams; }
  [[nodiscard]] std::uint64_t CrossDomainDatagrams() const noexcept
  {
    return m_crossDomainDatagrams;
  }

private:
  struct Daemon
  {
    Daemon(const MemberRecord& aSelf, std::uint64_t aSeed)
      : m_membership(aSelf, {}, aSeed)
      , m_disseminator({ .m_otherDomainDelay = 400ms }, aSeed + 1)
      , m_pusher({}, aSeed + 2)
      , m_quarantineGossip(aSeed + 3)
    {
    }
    Membership m_membership;
    Disseminator m_disseminator;
    VersionPusher m_pusher;
    QuarantineGossip m_quarantineGossip;
    ConfigHolder m_holder{};
    greengagehub::Quarantine m_quarantine{};
    std::map<Version, TimePoint> m_appliedAt{};
    /// By request.
    std::map<std::uint64_t, TimePoint> m_verdictsAt{};
    TimePoint m_nextRead{};
    TimePoint m_nextRank{};
    bool m_isReader{ false };
  };

  /// From a change to the answer of a reader's watch.
  static constexpr std::chrono::milliseconds kStoreDelay{ 100 };
  /// As in ControlPlane.
  static constexpr std::chrono::milliseconds kRankInterval{ 500 };
  /// Between two reads of one reader.
  static constexpr std::chrono::milliseconds kCoalesceDelay{ 312 };
  static constexpr std::chrono::milliseconds kTick{ 100 };
  static constexpr std::chrono::milliseconds kEntriesTime{ 20 };
  /// On a slow link, with the processor time on both sides.
  static constexpr std::chrono::milliseconds kSnapshotTime{ 300 };
  static constexpr std::chrono::milliseconds kPullTimeout{ 3000 };

  /// \param aArrival when a message was in force at a daemon, if it is.
  template<class Key, class Arrival>
  [[nodiscard]] std::chrono::milliseconds Longest(
    const std::map<Key, TimePoint>& aSent,
    const Arrival& aArrival) const
  {
    Duration longest{};
    for (const auto& [number, daemon] : m_daemons) {
      if (!IsRunning(number)) {
        continue;
      }
      for (const auto& [key, at] : aSent) {
        longest = std::max(longest, aArrival(daemon, key).value_or(m_now) - at);
      }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
  }

  static MemberRecord Record(int aNumber, int aDomains)
  {
    MemberRecord record;
    record.m_slot = fmt::format("m{}", aNumber);
    record.m_incarnation = 1U << 16U;
    record.m_domain = fmt::format("domain-{}", aNumber % aDomains);
    const auto port = static_cast<std::uint16_t>(aNumber + 1);
    record.m_address = { "127.0.0.1", port, port, 0 };
    return record;
  }

  static QuarantineVerdict Verdict(std::uint64_t aRequest)
  {
    QuarantineVerdict verdict;
    verdict.m_fingerprint = { 0, aRequest };
    verdict.m_service = "lockers";
    verdict.m_generation = 1;
    verdict.m_isQuarantined = true;
    verdict.m_crashCount = greengagehub::Quarantine::kCrashLimit;
    return verdict;
  }

  void ApplyUpdate(int aNumber,
                   const QuarantineUpdate& aUpdate,
                   QuarantineGossip::Scope aScope)
  {
    Daemon& daemon = m_daemons.at(aNumber);
    const QuarantineChanges changes =
      daemon.m_quarantine.OnUpdate(m_now, aUpdate);
    for (const QuarantineVerdict& each : changes.m_verdicts) {
      daemon.m_verdictsAt.emplace(each.m_fingerprint.m_low, m_now);
    }
    if (!changes.m_update.IsEmpty()) {
      Send(aNumber,
           daemon.m_quarantineGossip.OnChanged(m_now,
                                               daemon.m_membership,
                                               daemon.m_quarantine,
                                               changes.m_update,
                                               aScope));
    }
  }

  void At(TimePoint aWhen, std::function<void()> aAction)
  {
    m_events.emplace(aWhen, std::move(aAction));
  }
  void ScheduleTick(int aNumber, TimePoint aWhen)
  {
    At(aWhen, [this, aNumber] {
      if (IsRunning(aNumber)) {
        Tick(aNumber, m_daemons.at(aNumber));
      }
      ScheduleTick(aNumber, m_now + kTick);
    });
  }

  [[nodiscard]] bool IsReader(int aNumber)
  {
    Daemon& daemon = m_daemons.at(aNumber);
    if (m_now >= daemon.m_nextRank) {
      daemon.m_nextRank = m_now + kRankInterval;
      daemon.m_isReader = daemon.m_membership.RankInDomain() < 2;
    }
    return daemon.m_isReader;
  }

  void Tick(int aNumber, Daemon& aDaemon)
  {
    Send(aNumber, aDaemon.m_membership.OnTick(m_now).m_sends);
    Send(
      aNumber,
      aDaemon.m_pusher.OnTick(m_now, aDaemon.m_holder, aDaemon.m_membership));
    Send(aNumber,
         aDaemon.m_quarantineGossip.OnTick(
           m_now, aDaemon.m_membership, aDaemon.m_quarantine));
    if (const auto peer =
          aDaemon.m_disseminator.NextPull(m_now, aDaemon.m_holder)) {
      Pull(aNumber, *peer);
    }
    if (IsReader(aNumber)) {
      ReadStore(aNumber);
    }
  }

  void ReadStore(int aNumber)
  {
    Daemon& daemon = m_daemons.at(aNumber);
    const Version before = daemon.m_holder.GetVersion();
    Version newest = before;
    for (const auto& [version, at] : m_publishedAt) {
      newest = m_now >= at + kStoreDelay ? std::max(newest, version) : newest;
    }
    if (newest == before || m_now < daemon.m_nextRead) {
      return;
    }
    daemon.m_nextRead = m_now + Jittered(m_random, kCoalesceDelay);
    // One patch for all versions that were missed, as for a read document.
    std::string services;
    for (Version each = before.Next(); each <= newest; each = each.Next()) {
      services += fmt::format(
        R"({}"s{}":{{}})", services.empty() ? "" : ",", each.m_number);
    }
    const std::string patch =
      fmt::format(R"({{"services":{{{}}}{}}})",
                  services,
                  std::string(m_patchBytes.at(newest), ' '));
    Content content = daemon.m_holder.Active()->m_content;
    static_cast<void>(content.Apply(patch));
    const Digest& digest = content.GetDigest();
    const VersionEntry entry{ newest, patch, digest, digest, before };
    if (daemon.m_holder.Stage(entry) == StageResult::Applied) {
      OnAdvanced(aNumber, before);
    }
  }

  void OnAdvanced(int aNumber, Version aBefore)
  {
    Daemon& daemon = m_daemons.at(aNumber);
    daemon.m_appliedAt.emplace(daemon.m_holder.GetVersion(), m_now);
    Send(aNumber,
         daemon.m_pusher.OnAdvanced(
           m_now, daemon.m_holder, daemon.m_membership, aBefore));
  }

  void StageAll(int aNumber, const std::vector<VersionEntry>& aEntries)
  {
    ConfigHolder& holder = m_daemons.at(aNumber).m_holder;
    const Version before = holder.GetVersion();
    for (const VersionEntry& each : aEntries) {
      static_cast<void>(holder.Stage(each));
    }
    if (holder.GetVersion() > before) {
      OnAdvanced(aNumber, before);
    }
  }

  void Send(int aFrom, std::vector<GossipSend> aSends)
  {
    const ConfigHolder& holder = m_daemons.at(aFrom).m_holder;
    for (GossipSend& each : aSends) {
      each.m_message.m_head = { holder.GetVersion(), holder.Active()->m_chain };
      each.m_message.m_verdicts = m_daemons.at(aFrom).m_quarantine.Summary();
      ++m_datagrams;
      m_crossDomainDatagrams += each.m_to.m_crossesDomains ? 1 : 0;
      if (Below(m_random, 1000) < m_options.m_lostPerMille) {
        continue;
      }
      const int to = each.m_to.m_address.m_gossipPort - 1;
      At(m_now + 1ms + 1ms * Below(m_random, 4),
         [this, aFrom, to, message = std::move(each.m_message)] {
           if (IsRunning(to)) {
             Receive(aFrom, to, message);
           }
         });
    }
  }

  /// As ControlPlane::OnGossip().
  void Receive(int aFrom, int aTo, const GossipMessage& aMessage)
  {
    Daemon& daemon = m_daemons.at(aTo);
    StageAll(aTo, aMessage.m_entries);
    ApplyUpdate(aTo, aMessage.m_quarantine, QuarantineGossip::Scope::OwnDomain);
    Send(aTo,
         daemon.m_quarantineGossip.OnMessage(
           m_now, daemon.m_membership, daemon.m_quarantine, aMessage));
    const auto port = static_cast<std::uint16_t>(aFrom + 1);
    MembershipActions actions = daemon.m_membership.OnMessage(
      m_now, { "127.0.0.1", port, port, 0 }, aMessage);
    const Version theirs = aMessage.m_head.m_version;
    if (theirs < daemon.m_holder.GetVersion()) {
      for (GossipSend& each : actions.m_sends) {
        if (each.m_message.m_kind == GossipMessage::Kind::Ack) {
          each.m_message.m_entries =
            daemon.m_disseminator.EntriesToRepair(daemon.m_holder, theirs);
        }
      }
    }
    Send(aTo, std::move(actions.m_sends));
    Send(aTo,
         daemon.m_pusher.OnMessage(
           daemon.m_holder, daemon.m_membership, aMessage));
    daemon.m_disseminator.OnDigest(
      m_now,
      daemon.m_holder,
      aMessage.m_head,
      daemon.m_membership.PeerOf(aMessage.m_sender));
  }

  void Pull(int aNumber, const MemberPeer& aPeer)
  {
    const int peer = aPeer.m_address.m_bulkPort - 1;
    const Version known = m_daemons.at(aNumber).m_holder.GetVersion();
    if (!IsRunning(peer)) {
      At(m_now + kPullTimeout, [this, aNumber, aPeer] {
        m_daemons.at(aNumber).m_disseminator.OnPullEnded(aPeer);
      });
      return;
    }
    const ConfigHolder& source = m_daemons.at(peer).m_holder;
    bool isComplete = false;
    auto entries = source.EntriesAfter(known, isComplete);
    At(m_now + (isComplete ? kEntriesTime : kSnapshotTime),
       [this,
        aNumber,
        aPeer,
        isComplete,
        entries = std::move(entries),
        active = source.Active()] {
         m_daemons.at(aNumber).m_disseminator.OnPullEnded(aPeer);
         if (isComplete) {
           StageAll(aNumber, entries);
         } else {
           StageSnapshot(aNumber, *active);
         }
       });
  }

  void StageSnapshot(int aNumber, const ActiveConfig& aActive)
  {
    ConfigHolder& holder = m_daemons.at(aNumber).m_holder;
    const Version before = holder.GetVersion();
    const StageResult result = holder.StageSnapshot(
      { aActive.m_version, {}, aActive.m_chain, aActive.m_content.GetDigest() },
      aActive.m_content.ToJson());
    if (result == StageResult::Applied) {
      OnAdvanced(aNumber, before);
    }
  }

  FleetOptions m_options;
  Random m_random;
  TimePoint m_now{ 1h };
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::map<int, Daemon> m_daemons;
  std::set<int> m_paused;
  Version m_head;
  std::map<Version, std::size_t> m_patchBytes;
  std::map<Version, TimePoint> m_publishedAt;
  std::map<std::uint64_t, TimePoint> m_quarantinedAt;
  std::uint64_t m_datagrams{ 0 };
  std::uint64_t m_crossDomainDatagrams{ 0 };
};

}
