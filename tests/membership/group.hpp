#pragma once

#include "greengagehub/membership/domain_finder.hpp"
#include "greengagehub/membership/member_sync.hpp"
#include "greengagehub/membership/membership.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace greengagehub::test {

using namespace std::chrono_literals;

/// \param aDomain number of its failure domain.
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

/// \brief Members that exchange messages in memory, in virtual time; a filter
/// drops what a cut would drop.
class Group
{
public:
  /// \param aDomains member n is in domain n modulo this.
  explicit Group(std::uint16_t aCount, int aDomains = 1)
    : m_domains(aDomains)
  {
    for (std::uint16_t i = 1; i <= aCount; ++i) {
      Start(i, 1);
    }
    for (std::uint16_t i = 2; i <= aCount; ++i) {
      Carry(i, At(i).Contact({ At(1).Self().m_address }));
    }
    Run(20s);
  }

  /// \brief All lose power and start again, and know only the first member of
  /// their own domain; the first of each domain stands in the store for others.
  void RestartAll(std::uint64_t aStart)
  {
    const auto count = static_cast<std::uint16_t>(m_members.size());
    std::vector<DomainFinder::Seed> seeds;
    for (std::uint16_t i = 1; i <= count; ++i) {
      Start(i, aStart);
      if (i <= m_domains) {
        seeds.push_back({ At(i).Self().m_domain, { At(i).Self().m_address } });
      }
    }
    for (std::uint16_t i = 1; i <= count; ++i) {
      auto others = seeds;
      std::erase_if(others, [&](DomainFinder::Seed& aSeed) {
        aSeed.m_peer.m_isFar = true;
        return aSeed.m_domain == At(i).Self().m_domain;
      });
      m_finders[i].OnSeeds(std::move(others));
      if (i > m_domains) {
        const auto first = static_cast<std::uint16_t>((i - 1) % m_domains + 1);
        Carry(i, At(i).Contact({ At(first).Self().m_address }));
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
  void SetCut(std::function<bool(std::uint16_t, std::uint16_t)> aCut)
  {
    m_cut = std::move(aCut);
  }

  void Carry(std::uint16_t aFrom, const MembershipActions& aActions)
  {
    for (const GossipSend& each : aActions.m_sends) {
      m_farSends += each.m_to.m_isFar ? 1 : 0;
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
          Carry(number, member.OnTick(m_now));
          Find(number, member);
        }
      }
      Deliver();
    }
  }

  [[nodiscard]] MemberState StateOf(std::uint16_t aSeenBy,
                                    std::uint16_t aNumber)
  {
    const auto index =
      At(aSeenBy).Members().Find("m" + std::to_string(aNumber));
    return index ? At(aSeenBy).Members().At(*index).m_record.m_state
                 : MemberState::Left;
  }

  /// \brief A member is gone without a word.
  void Kill(std::uint16_t aNumber) { m_members.erase(aNumber); }
  /// \returns Messages sent to another domain so far.
  [[nodiscard]] std::uint64_t FarSends() const noexcept { return m_farSends; }
  [[nodiscard]] std::uint64_t FarComparisons() const noexcept
  {
    return m_farComparisons;
  }
  /// \returns How many members believe that `aNumber` is in this state.
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

  void Find(std::uint16_t aNumber, Membership& aMember)
  {
    const auto finder = m_finders.find(aNumber);
    if (finder == m_finders.end() || !aMember.SpeaksForDomain()) {
      return;
    }
    for (const MemberPeer& each : finder->second.ToAsk(m_now, aMember)) {
      Carry(aNumber, aMember.Contact(each));
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
        Carry(message.m_to,
              At(message.m_to)
                .OnMessage(m_now,
                           { "127.0.0.1", message.m_from, 0, 0 },
                           message.m_message));
        Compare(message);
      }
    }
  }

  /// What the receiver does where its view differs from the sender's.
  void Compare(const Message& aMessage)
  {
    Membership& here = At(aMessage.m_to);
    MemberSync& sync = m_syncs.at(aMessage.m_to);
    const bool far = here.PeerOf(aMessage.m_message.m_sender).m_isFar;
    const bool differs =
      aMessage.m_message.m_members != here.Digests().Summary();
    const bool there = m_members.contains(aMessage.m_from);
    if (!differs) {
      sync.Joined();
    }
    if (!there ||
        !sync.Begins(m_now, { differs, far }, here.SpeaksForDomain())) {
      return;
    }
    m_farComparisons += far ? 1 : 0;
    const auto records = At(aMessage.m_from).RecordsFor(here.Digests());
    const MembershipActions news = here.OnRecords(m_now, records);
    sync.Ended(news.m_events.size());
    if (!records.empty()) {
      sync.Joined();
    }
    Carry(aMessage.m_to, news);
  }

  int m_domains;
  std::uint64_t m_farSends{ 0 };
  std::uint64_t m_farComparisons{ 0 };
  TimePoint m_now{ 1h };
  std::map<std::uint16_t, Membership> m_members;
  std::map<std::uint16_t, MemberSync> m_syncs;
  std::map<std::uint16_t, DomainFinder> m_finders;
  std::set<std::uint16_t> m_paused;
  std::deque<Message> m_messages;
  std::function<bool(std::uint16_t, std::uint16_t)> m_cut;
};

}
