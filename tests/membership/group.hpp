#pragma once

#include "greengagehub/membership/domain_discovery.hpp"
#include "greengagehub/membership/member_sync.hpp"
#include "greengagehub/membership/membership.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace greengagehub::test {

using namespace std::chrono_literals;

/// \param aStart incarnation of the process, without refutations.
inline MemberRecord
Record(std::uint16_t aNumber, std::uint64_t aStart = 1, int aDomain = 0)
{
  MemberRecord record;
  record.m_slot = "m" + std::to_string(aNumber);
  record.m_incarnation = aStart << 16U;
  record.m_domain = "domain-" + std::to_string(aDomain);
  record.m_address = { "127.0.0.1", aNumber, 0, 0 };
  return record;
}

/// \brief Members that exchange messages in memory, in virtual time.
class Group
{
public:
  /// \param aDomains number of domains; member n is in domain n % aDomains.
  explicit Group(std::uint16_t aCount, int aDomains = 1)
    : m_domains(aDomains)
  {
    for (std::uint16_t i = 1; i <= aCount; ++i) {
      Start(i, 1);
    }
    for (std::uint16_t i = 2; i <= aCount; ++i) {
      Send(i, At(i).Contact({ At(1).Self().m_address }));
    }
    Run(20s);
  }

  /// \brief Restarts all members. Each knows the first member of its own domain
  /// and, as seeds, the first members of the other domains.
  void RestartAll(std::uint64_t aStart)
  {
    const auto count = static_cast<std::uint16_t>(m_members.size());
    std::vector<DomainDiscovery::Seed> seeds;
    for (std::uint16_t i = 1; i <= count; ++i) {
      Start(i, aStart);
      if (i <= m_domains) {
        seeds.push_back({ At(i).Self().m_domain, { At(i).Self().m_address } });
      }
    }
    for (std::uint16_t i = 1; i <= count; ++i) {
      auto others = seeds;
      std::erase_if(others, [&](DomainDiscovery::Seed& aSeed) {
        aSeed.m_peer.m_crossesDomains = true;
        return aSeed.m_domain == At(i).Self().m_domain;
      });
      m_discoveries[i].OnSeeds(std::move(others));
      if (i > m_domains) {
        const auto first = static_cast<std::uint16_t>((i - 1) % m_domains + 1);
        Send(i, At(i).Contact({ At(first).Self().m_address }));
      }
    }
  }

  [[nodiscard]] Membership& At(std::uint16_t aNumber)
  {
    return m_members.at(aNumber);
  }

  void Start(std::uint16_t aNumber, std::uint64_t aStart)
  {
    m_members.erase(aNumber);
    m_members.emplace(
      aNumber,
      Membership{ Record(aNumber, aStart, aNumber % m_domains), {}, aNumber });
    m_syncs.insert_or_assign(aNumber, MemberSync{ m_now, aNumber });
    m_paused.erase(aNumber);
  }
  void Pause(std::uint16_t aNumber) { m_paused.insert(aNumber); }
  void Resume(std::uint16_t aNumber) { m_paused.erase(aNumber); }
  /// \param aCut returns whether messages from one member to another are lost.
  void SetCut(std::function<bool(std::uint16_t, std::uint16_t)> aCut)
  {
    m_cut = std::move(aCut);
  }

  void Send(std::uint16_t aFrom, const MembershipActions& aActions)
  {
    for (const GossipSend& each : aActions.m_sends) {
      m_crossDomainSends += each.m_to.m_crossesDomains ? 1 : 0;
      m_messages.push_back(
        { aFrom, each.m_to.m_address.m_gossipPort, each.m_message });
    }
  }

  void Run(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now += 100ms;
      for (auto& [number, member] : m_members) {
        if (!m_paused.contains(number)) {
          Send(number, member.OnTick(m_now));
          DiscoverDomains(number, member);
        }
      }
      Deliver();
    }
  }

  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }
  [[nodiscard]] MemberState StateOf(std::uint16_t aSeenBy,
                                    std::uint16_t aNumber)
  {
    const auto index =
      At(aSeenBy).Members().Find("m" + std::to_string(aNumber));
    return index ? At(aSeenBy).Members().At(*index).m_record.m_state
                 : MemberState::Left;
  }

  /// Removes a member without an announcement.
  void Kill(std::uint16_t aNumber) { m_members.erase(aNumber); }
  [[nodiscard]] std::uint64_t CrossDomainSends() const noexcept
  {
    return m_crossDomainSends;
  }
  [[nodiscard]] std::uint64_t CrossDomainExchanges() const noexcept
  {
    return m_crossDomainExchanges;
  }
  /// \returns The number of members that see `aNumber` in this state.
  [[nodiscard]] std::size_t CountSeeing(std::uint16_t aNumber,
                                        MemberState aState)
  {
    std::size_t count = 0;
    for (const auto& [number, member] : m_members) {
      count += number != aNumber && StateOf(number, aNumber) == aState ? 1 : 0;
    }
    return count;
  }

private:
  struct Message
  {
    std::uint16_t m_from;
    std::uint16_t m_to;
    GossipMessage m_message;
  };

  void DiscoverDomains(std::uint16_t aNumber, Membership& aMember)
  {
    const auto discovery = m_discoveries.find(aNumber);
    if (discovery == m_discoveries.end() || !aMember.IsDomainRelay()) {
      return;
    }
    for (const MemberPeer& each :
         discovery->second.PeersToContact(m_now, aMember)) {
      Send(aNumber, aMember.Contact(each));
    }
  }

  void Deliver()
  {
    while (!m_messages.empty()) {
      const Message message = m_messages.front();
      m_messages.pop_front();
      const bool lost = (m_cut && m_cut(message.m_from, message.m_to)) ||
                        !m_members.contains(message.m_to) ||
                        m_paused.contains(message.m_to);
      if (!lost) {
        Send(message.m_to,
             At(message.m_to)
               .OnMessage(m_now,
                          { "127.0.0.1", message.m_from, 0, 0 },
                          message.m_message));
        SyncMembers(message);
      }
    }
  }

  /// Fetches records from the sender if the receiver's view differs from it.
  void SyncMembers(const Message& aMessage)
  {
    Membership& here = At(aMessage.m_to);
    MemberSync& sync = m_syncs.at(aMessage.m_to);
    const bool crossesDomains =
      here.PeerOf(aMessage.m_message.m_sender).m_crossesDomains;
    const bool differs =
      aMessage.m_message.m_members != here.Digests().Summary();
    const bool isRunning = m_members.contains(aMessage.m_from);
    if (!differs) {
      sync.Joined();
    }
    if (!isRunning || !sync.TryBegin(m_now,
                                     { differs, crossesDomains },
                                     here.IsDomainRelay())) {
      return;
    }
    m_crossDomainExchanges += crossesDomains ? 1 : 0;
    const auto records = At(aMessage.m_from).DifferingRecords(here.Digests());
    const MembershipActions actions = here.OnRecords(m_now, records);
    sync.OnExchangeSucceeded(actions.m_events.size());
    if (!records.empty()) {
      sync.Joined();
    }
    Send(aMessage.m_to, actions);
  }

  int m_domains;
  std::uint64_t m_crossDomainSends{ 0 };
  std::uint64_t m_crossDomainExchanges{ 0 };
  TimePoint m_now{ 1h };
  std::map<std::uint16_t, Membership> m_members;
  std::map<std::uint16_t, MemberSync> m_syncs;
  std::map<std::uint16_t, DomainDiscovery> m_discoveries;
  std::set<std::uint16_t> m_paused;
  std::deque<Message> m_messages;
  std::function<bool(std::uint16_t, std::uint16_t)> m_cut;
};

}
