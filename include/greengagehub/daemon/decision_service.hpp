#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/observe/log.hpp"

#include <functional>
#include <memory>

namespace greengagehub {

/// \brief Runs decision processes, and compaction of the decision log, against
/// the store.
template<Store StoreType>
class DecisionService
{
public:
  using AnswerCallback = std::function<void(DecisionAnswer)>;
  /// Receives entries of the decision log that are newer than the version in
  /// force.
  using EntriesCallback = std::function<void(const std::vector<VersionEntry>&)>;

  DecisionService(StoreType& aStore,
                  const ConfigHolder& aHolder,
                  const Log& aLog,
                  CompactionLimits aLimits,
                  EntriesCallback aOnEntries)
    : m_store(aStore)
    , m_holder(aHolder)
    , m_log(aLog)
    , m_limits(aLimits)
    , m_onEntries(std::move(aOnEntries))
  {
  }

  void Submit(Submission aSubmission, AnswerCallback aOnAnswer)
  {
    auto process = std::make_shared<DecisionProcess>(m_holder.Active(),
                                                     std::move(aSubmission));
    Decide(process, process->Start(), std::move(aOnAnswer));
  }

  void FindDecision(std::string aId, AnswerCallback aOnAnswer)
  {
    auto process =
      std::make_shared<DecisionProcess>(m_holder.Active(), std::move(aId));
    Decide(process, process->Start(), std::move(aOnAnswer));
  }

private:
  void Decide(const std::shared_ptr<DecisionProcess>& aProcess,
              DecisionProcess::Step aStep,
              AnswerCallback aOnAnswer)
  {
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      m_store.Execute(
        std::move(*request),
        [this, aProcess, onAnswer = std::move(aOnAnswer)](StoreReply aReply) {
          Decide(aProcess, aProcess->OnReply(aReply), onAnswer);
        });
      return;
    }
    auto& answer = std::get<DecisionAnswer>(aStep);
    if (answer.m_kind == DecisionAnswer::Kind::Decided) {
      OnDecided(aProcess->Log());
    }
    aOnAnswer(std::move(answer));
  }

  void OnDecided(const DecisionLog& aLog)
  {
    const auto entries = aLog.EntriesAfter(m_holder.GetVersion());
    if (entries && !entries->empty()) {
      m_onEntries(*entries);
    }
    if (!m_isCompacting && LogToJson(aLog).size() > m_limits.m_highBytes) {
      StartCompaction();
    }
  }

  void StartCompaction()
  {
    m_isCompacting = true;
    auto process =
      std::make_shared<CompactionProcess>(m_holder.Active(), m_limits);
    Compact(process, process->Start());
  }

  void Compact(const std::shared_ptr<CompactionProcess>& aProcess,
               CompactionProcess::Step aStep)
  {
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      m_store.Execute(std::move(*request), [this, aProcess](StoreReply aReply) {
        Compact(aProcess, aProcess->OnReply(aReply));
      });
      return;
    }
    m_isCompacting = false;
    const auto result = std::get<CompactionProcess::Result>(aStep);
    m_log.Info("config",
               "log_packed",
               { { "done", result == CompactionProcess::Result::Compacted } });
  }

  StoreType& m_store;
  const ConfigHolder& m_holder;
  const Log& m_log;
  CompactionLimits m_limits;
  EntriesCallback m_onEntries;
  bool m_isCompacting{ false };
};

}
