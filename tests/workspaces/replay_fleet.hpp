#pragma once

#include "replay_parts.hpp"

#include <algorithm>

// Replays of the decision code of a whole fleet in virtual time: quota clients,
// coordinators and their election, with a store and datagrams that take time.

namespace greengagehub::replay {

struct Fleet
{
  explicit Fleet(std::uint32_t aShards, std::size_t aDaemons = kDaemons)
    : m_shards(aShards)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      m_daemons.push_back(std::make_unique<Daemon>(i, i + 100, aShards));
    }
    m_factors.fill(kUsual);
    m_nextArrival.fill(kStart);
  }

  // Calls and messages.

  /// Executes a call in the middle of its duration; the reply of a store that
  /// is out of reach comes as a failure.
  void Call(Daemon& aDaemon,
            const std::function<StoreReply()>& aExecute,
            const std::function<void(const StoreReply&)>& aReply)
  {
    ++m_storeCalls;
    const bool isCut = aDaemon.m_isCutFromStore;
    m_schedule.At(m_now + kStoreTime / 2, [=, this, &aDaemon] {
      const StoreReply reply = isCut ? StoreReply{} : aExecute();
      Deliver(aDaemon, kStoreTime / 2, [=] { aReply(reply); });
    });
  }
  /// Calls a function of a daemon after a delay, or when its pause ends.
  void Deliver(Daemon& aDaemon, Duration aDelay, std::function<void()> aWhat)
  {
    m_schedule.At(m_now + aDelay, [&aDaemon, what = std::move(aWhat)] {
      if (aDaemon.m_isDead) {
        return;
      }
      if (aDaemon.m_isPaused) {
        aDaemon.m_backlog.push_back(what);
        return;
      }
      what();
    });
  }

  // Election.

  std::size_t RankOf(std::size_t aDaemon, std::uint32_t aShard) const
  {
    const auto keyOf = [&](const Daemon& aEach) {
      return ShortHash(fmt::format("{}/{}", aEach.m_slot, aShard));
    };
    std::size_t rank = 0;
    for (const auto& each : m_daemons) {
      rank += !each->m_isDead && keyOf(*each) < keyOf(*m_daemons[aDaemon]);
    }
    return rank;
  }

  void Advance(std::size_t aIndex)
  {
    Daemon& daemon = *m_daemons[aIndex];
    std::vector<CoordinatorRoles::Candidacy> candidacy;
    for (std::uint32_t i = 0; i < daemon.m_roles.Count(); ++i) {
      const Duration silence =
        std::min(m_now - daemon.m_lastReports[i],
                 daemon.m_client.Link(i).SilentFor(m_now));
      const bool isSilent = silence >= 600ms;
      const bool isCandidate =
        isSilent && daemon.m_client.ShardCount() == daemon.m_roles.Count() &&
        silence >= 600ms + 300ms * RankOf(aIndex, i);
      candidacy.push_back({ isCandidate, isSilent });
    }
    Execute(daemon, aIndex, daemon.m_roles.OnTick(m_now, candidacy));
    const auto check = daemon.m_roles.NextCheck(m_now);
    if (!check.m_keys.empty()) {
      Call(
        daemon,
        [this, check] { return m_store.Compare(check.m_keys); },
        [this, &daemon, check](const StoreReply& aReply) {
          daemon.m_roles.OnChecked(m_now, check, aReply);
          for (const std::uint32_t each : check.m_shards) {
            static_cast<void>(
              daemon.m_roles.Role(each).StandDownIfFailing(m_now));
          }
        });
    }
    for (std::uint32_t i = 0; i < daemon.m_roles.Count(); ++i) {
      AdvanceShard(aIndex, i);
    }
  }

  void AdvanceShard(std::size_t aIndex, std::uint32_t aShard)
  {
    Daemon& daemon = *m_daemons[aIndex];
    if (daemon.m_roles.TakeStarted(m_now, aShard)) {
      ++m_starts;
      daemon.m_coordinators[aShard].Start(m_now);
      daemon.m_queriers[aShard].Start(m_now);
      Announce(aIndex, aShard);
    }
    if (daemon.m_roles.IsLeading(m_now, aShard) &&
        daemon.m_queriers[aShard].IsOutOfReach(m_now, m_daemons.size() - 1)) {
      Execute(daemon, aIndex, daemon.m_roles.Abstain(m_now, aShard));
    }
  }

  void Execute(Daemon& aDaemon,
               std::size_t aIndex,
               const std::vector<CoordinatorRoles::Action>& aActions)
  {
    for (const auto& each : aActions) {
      const bool isWrite = each.m_request.m_kind == StoreRequest::Kind::Put;
      Call(
        aDaemon,
        [this, each, isWrite] {
          return isWrite ? m_store.Put(each.m_request)
                         : m_store.Get(each.m_request.m_key);
        },
        [this, &aDaemon, aIndex, each, sentAt = m_now](
          const StoreReply& aReply) {
          if (each.m_kind == Kind::Read) {
            aDaemon.m_roles.OnRead(m_now, each.m_shard, aReply);
          } else if (each.m_kind == Kind::ReadCondition) {
            Execute(
              aDaemon, aIndex, aDaemon.m_roles.OnConditionRead(m_now, aReply));
          } else if (each.m_kind == Kind::Claim) {
            aDaemon.m_roles.OnClaimed(m_now, sentAt, each.m_shard, aReply);
            if (aDaemon.m_roles.Role(each.m_shard).HoldsKey()) {
              Announce(aIndex, each.m_shard);
            }
          }
        });
    }
  }

  void Announce(std::size_t aIndex, std::uint32_t aShard)
  {
    Daemon& daemon = *m_daemons[aIndex];
    daemon.m_known[aShard] = aIndex;
    QuotaReport report{ .m_coordinator = daemon.m_slot,
                        .m_term =
                          daemon.m_roles.Role(aShard).ExpectedRevision(),
                        .m_isGranting = daemon.m_roles.IsLeading(m_now, aShard),
                        .m_shard = aShard,
                        .m_shards = daemon.m_roles.Count() };
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      if (i != aIndex && IsReachable(aIndex, i)) {
        Deliver(*m_daemons[i], kDatagramTime, [this, aIndex, i, report] {
          OnReport(aIndex, i, report);
        });
      }
    }
  }

  static std::uint32_t StatedBy(const Daemon& aDaemon)
  {
    return aDaemon.m_isFormerVersion ? 0 : aDaemon.m_roles.Count();
  }

  // Queries.

  bool IsReachable(std::size_t aFrom, std::size_t aTo) const
  {
    return aFrom == aTo || (!m_daemons[aFrom]->m_isCutFromPeers &&
                            !m_daemons[aTo]->m_isCutFromPeers);
  }

  void SendQueries(std::size_t aIndex)
  {
    Daemon& daemon = *m_daemons[aIndex];
    while (const auto query = daemon.m_client.NextQuery(m_now)) {
      const bool isOwn = query->m_shard < daemon.m_roles.Count() &&
                         daemon.m_roles.IsLeading(m_now, query->m_shard);
      const std::size_t any = Below(m_random, m_daemons.size());
      const bool isSilent =
        daemon.m_client.Link(query->m_shard).SilentFor(m_now) >= 400ms;
      const std::size_t to = isOwn ? aIndex
                             : isSilent && Below(m_random, 2) == 0
                               ? any
                               : daemon.m_known[query->m_shard].value_or(any);
      ++m_queries;
      QuotaQuery sent = *query;
      sent.m_knowsShards = !daemon.m_isFormerVersion;
      if (!IsReachable(aIndex, to)) {
        continue;
      }
      Deliver(*m_daemons[to],
              isOwn ? Duration::zero() : kDatagramTime,
              [this, aIndex, to, query = sent] { Answer(aIndex, to, query); });
    }
  }

  void Answer(std::size_t aFrom, std::size_t aTo, const QuotaQuery& aQuery)
  {
    Daemon& daemon = *m_daemons[aTo];
    const std::uint32_t shard = aQuery.m_shard;
    QuotaReport report{ .m_sequence = aQuery.m_sequence, .m_shard = shard };
    if (shard < daemon.m_roles.Count() &&
        daemon.m_roles.IsLeading(m_now, shard)) {
      report.m_isGranting = true;
      report.m_coordinator = daemon.m_slot;
      report.m_term = daemon.m_roles.Role(shard).ExpectedRevision();
      report.m_shards = StatedBy(daemon);
      daemon.m_queriers[shard].OnQuery(m_now, aFrom + 1);
      report.m_grants =
        daemon.m_coordinators[shard].OnDemands(m_now,
                                               m_daemons[aFrom]->m_slot,
                                               aQuery.m_demands,
                                               m_table,
                                               aQuery.m_knowsShards);
    } else if (shard < daemon.m_roles.Count() &&
               daemon.m_roles.Role(shard).IsAwaitingPredecessor(m_now)) {
      report.m_coordinator = daemon.m_slot;
      report.m_term = daemon.m_roles.Role(shard).ExpectedRevision();
    } else if (daemon.m_known[shard] && *daemon.m_known[shard] != aTo &&
               daemon.m_client.Link(shard).SilentFor(m_now) < 400ms) {
      report.m_coordinator = m_daemons[*daemon.m_known[shard]]->m_slot;
    }
    if (!IsReachable(aTo, aFrom)) {
      return;
    }
    Deliver(*m_daemons[aFrom],
            aFrom == aTo ? Duration::zero() : kDatagramTime,
            [this, aTo, aFrom, report] { OnReport(aTo, aFrom, report); });
  }

  void OnReport(std::size_t aFrom, std::size_t aTo, const QuotaReport& aReport)
  {
    Daemon& daemon = *m_daemons[aTo];
    if (daemon.m_isFormerVersion && aReport.m_shard > 0) {
      return;
    }
    auto& known = daemon.m_known[aReport.m_shard];
    if (!aReport.m_coordinator.empty()) {
      known = std::stoul(aReport.m_coordinator.substr(1));
    } else if (known == aFrom) {
      known.reset();
    }
    if (aReport.m_coordinator == m_daemons[aFrom]->m_slot &&
        aReport.m_shard < daemon.m_roles.Count()) {
      daemon.m_lastReports[aReport.m_shard] = m_now;
      daemon.m_roles.Role(aReport.m_shard).OnTermReported(aReport.m_term);
    }
    if (aReport.m_shard == 0 && aReport.m_isGranting &&
        !daemon.m_isFormerVersion) {
      daemon.m_client.SetShardCount(aReport.m_shards);
    }
    if (aReport.m_isGranting && aReport.m_sequence == 0) {
      daemon.m_client.OnCoordinatorReady(aReport.m_shard);
    } else if (daemon.m_client.OnReport(m_now, aReport)) {
      Retry(aTo);
    }
    SendQueries(aTo);
  }

  // Requests.

  void Admit(std::size_t aIndex, const Waiting& aRequest, bool aIsNew)
  {
    Daemon& daemon = *m_daemons[aIndex];
    const WorkspaceId id = ShortHash(NameOf(aRequest.m_workspace));
    const auto decision = daemon.m_client.TryAdmit(m_now, id, aIsNew);
    if (decision.m_kind == QuotaDecision::Kind::Admitted) {
      m_admittedAt[aRequest.m_workspace].push_back(m_now);
      ++SecondOf(aRequest).m_admitted;
      m_fromReserve +=
        decision.m_receipt.m_kind == QuotaReceipt::Kind::Reserve ? 1 : 0;
    } else if (decision.m_kind == QuotaDecision::Kind::Waiting) {
      if (m_now - aRequest.m_since >= kMaxWait) {
        daemon.m_client.CancelWait(id);
        ++m_waitedInVain;
      } else {
        daemon.m_waiting.push_back(aRequest);
      }
    }
  }

  void Retry(std::size_t aIndex)
  {
    Daemon& daemon = *m_daemons[aIndex];
    const auto waiting = std::exchange(daemon.m_waiting, {});
    for (const Waiting& each : waiting) {
      daemon.m_client.CancelWait(ShortHash(NameOf(each.m_workspace)));
      Admit(aIndex, each, false);
    }
  }

  Second& SecondOf(const Waiting& aRequest)
  {
    const auto second =
      std::chrono::floor<std::chrono::seconds>(aRequest.m_since - kStart);
    return m_seconds[static_cast<std::size_t>(second.count())];
  }

  /// \returns A daemon that can accept requests.
  std::optional<std::size_t> AnyDaemon()
  {
    for (int i = 0; i < 100; ++i) {
      const std::size_t index = Below(m_random, m_daemons.size());
      const Daemon& daemon = *m_daemons[index];
      if (!daemon.m_isDead && !daemon.m_isPaused) {
        return index;
      }
    }
    return std::nullopt;
  }

  void Arrive(std::size_t aWorkspace)
  {
    std::exponential_distribution<double> interval{ kLimits[aWorkspace] *
                                                    m_factors[aWorkspace] };
    TimePoint& next = m_nextArrival[aWorkspace];
    for (; next <= m_now;
         next += std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>{ interval(m_random) })) {
      if (const auto daemon = AnyDaemon()) {
        const Waiting request{ aWorkspace, m_now };
        SecondOf(request).m_asked += m_factors[aWorkspace] <= 1.0 ? 1 : 0;
        const std::size_t before = SecondOf(request).m_admitted;
        Admit(*daemon, request, true);
        if (m_factors[aWorkspace] > 1.0) {
          SecondOf(request).m_admitted = before;
        }
        SendQueries(*daemon);
      }
    }
  }

  void Run(Duration aDuration)
  {
    for (const TimePoint end = m_now + aDuration; m_now < end; m_now += kStep) {
      m_schedule.Run(m_now);
      for (std::size_t i = 0; i < kLimits.size(); ++i) {
        Arrive(i);
      }
      ++m_tick;
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        Daemon& daemon = *m_daemons[i];
        if (daemon.m_isDead || daemon.m_isPaused) {
          continue;
        }
        // The timers of the daemons: 100 ms for roles, and for overdue answers.
        if (m_tick % 50 == i % 50) {
          Advance(i);
          SendQueries(i);
        }
        if (!daemon.m_waiting.empty() && m_tick % 5 == 0) {
          Retry(i);
          SendQueries(i);
        }
      }
    }
  }

  // Faults.

  std::size_t Holder(std::uint32_t aShard) const
  {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      const Daemon& daemon = *m_daemons[i];
      if (aShard < daemon.m_roles.Count() && !daemon.m_isDead &&
          !daemon.m_isPaused && daemon.m_roles.IsLeading(m_now, aShard)) {
        return i;
      }
    }
    return m_daemons.size();
  }
  Daemon& HolderOf(std::uint32_t aShard)
  {
    const std::size_t index = Holder(aShard);
    REQUIRE(index < m_daemons.size());
    return *m_daemons[index];
  }
  void Resume(Daemon& aDaemon)
  {
    aDaemon.m_isPaused = false;
    for (const auto& each : std::exchange(aDaemon.m_backlog, {})) {
      each();
    }
  }
  /// Starts a new process in the slot, beside the old one, which runs on with
  /// its callers and the store, while peers send to the new one.
  void Restart(std::size_t aIndex)
  {
    m_daemons.push_back(std::move(m_daemons[aIndex]));
    m_daemons[aIndex] =
      std::make_unique<Daemon>(aIndex, 1000 + m_daemons.size(), m_shards);
  }
  /// Replaces the process in the slot by one with other settings.
  void Replace(std::size_t aIndex,
               std::uint32_t aShards,
               bool aIsFormerVersion,
               bool aResigns)
  {
    Daemon& old = *m_daemons[aIndex];
    if (aResigns) {
      for (const auto& each : old.m_roles.Resign()) {
        static_cast<void>(m_store.Put(each.m_request));
      }
    }
    old.m_isDead = true;
    m_former.push_back(std::move(m_daemons[aIndex]));
    m_daemons[aIndex] =
      std::make_unique<Daemon>(aIndex, 1000 + m_former.size(), aShards);
    m_daemons[aIndex]->m_isFormerVersion = aIsFormerVersion;
  }

  // Results.

  /// \returns The highest number in any window, over the allowance, of all
  /// workspaces.
  double HighestUse() const
  {
    double highest = 0;
    for (std::size_t i = 0; i < kLimits.size(); ++i) {
      const auto& times = m_admittedAt[i];
      std::size_t first = 0;
      for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > kTolerance.m_window) {
          ++first;
        }
        highest = std::max(highest,
                           static_cast<double>(last - first + 1) /
                             std::floor(Allowance(kLimits[i])));
      }
    }
    return highest;
  }
  /// \returns The lowest share admitted below the limit in any second from the
  /// given time on.
  double LowestShare(TimePoint aFrom) const
  {
    double lowest = 1.0;
    for (const auto& [second, each] : m_seconds) {
      const bool counts =
        kStart + std::chrono::seconds{ second } >= aFrom &&
        kStart + std::chrono::seconds{ second } < m_now - 1500ms;
      if (counts && each.m_asked > 0) {
        lowest = std::min(lowest,
                          static_cast<double>(each.m_admitted) /
                            static_cast<double>(each.m_asked));
      }
    }
    return lowest;
  }

  std::uint32_t m_shards;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::vector<std::unique_ptr<Daemon>> m_former;
  WorkspaceTable m_table{ MakeTable() };
  Store m_store;
  Schedule m_schedule;
  Random m_random{ 5 };
  TimePoint m_now{ kStart };
  std::size_t m_tick{ 0 };
  std::array<double, kLimits.size()> m_factors{};
  std::array<TimePoint, kLimits.size()> m_nextArrival{};
  std::array<std::vector<TimePoint>, kLimits.size()> m_admittedAt{};
  std::map<std::size_t, Second> m_seconds;
  std::size_t m_storeCalls{ 0 };
  std::size_t m_queries{ 0 };
  std::size_t m_starts{ 0 };
  std::size_t m_fromReserve{ 0 };
  std::size_t m_waitedInVain{ 0 };
};

}
