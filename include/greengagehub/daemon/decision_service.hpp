#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/observe/log.hpp"

#include <functional>
#include <memory>

namespace greengagehub {

/// \brief Runs decision and packing processes against the store.
template<Store StoreType>
class DecisionService
{
public:
  using Answered = std::function<void(DecisionAnswer)>;
  /// Called with entries that a process read or wrote.
  using Learned = std::function<void(const std::vector<VersionEntry>&)>;

  DecisionService(StoreType& aStore,
                  const ConfigHolder& aHolder,
                  const Log& aLog,
                  PackLimits aLimits,
                  Learned aLearned)
    : m_store(aStore)
    , m_holder(aHolder)
    , m_log(aLog)
    , m_limits(aLimits)
    , m_learned(std::move(aLearned))
  {
  }

  void Submit(Submission aSubmission, Answered aAnswered)
  {
    auto process = std::make_shared<DecisionProcess>(m_holder.Active(),
                                                     std::move(aSubmission));
    Decide(process, process->Start(), std::move(aAnswered));
  }

  void Explain(std::string aId, Answered aAnswered)
  {
    auto process =
      std::make_shared<DecisionProcess>(m_holder.Active(), std::move(aId));
    Decide(process, process->Start(), std::move(aAnswered));
  }

private:
  void Decide(const std::shared_ptr<DecisionProcess>& aProcess,
              DecisionProcess::Step aStep,
              Answered aAnswered)
  {
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      m_store.Carry(
        std::move(*request),
        [this, aProcess, answered = std::move(aAnswered)](StoreReply aReply) {
          Decide(aProcess, aProcess->On(aReply), answered);
        });
      return;
    }
    auto& answer = std::get<DecisionAnswer>(aStep);
    if (answer.m_kind == DecisionAnswer::Kind::Decided) {
      Learn(aProcess->Log());
    }
    aAnswered(std::move(answer));
  }

  void Learn(const DecisionLog& aLog)
  {
    const auto entries = aLog.EntriesAfter(m_holder.GetVersion());
    if (entries && !entries->empty()) {
      m_learned(*entries);
    }
    if (!m_packing && LogToJson(aLog).size() > m_limits.m_highBytes) {
      StartPacking();
    }
  }

  void StartPacking()
  {
    m_packing = true;
    auto process = std::make_shared<PackProcess>(m_holder.Active(), m_limits);
    Pack(process, process->Start());
  }

  void Pack(const std::shared_ptr<PackProcess>& aProcess,
            PackProcess::Step aStep)
  {
    if (auto* request = std::get_if<StoreRequest>(&aStep)) {
      m_store.Carry(std::move(*request), [this, aProcess](StoreReply aReply) {
        Pack(aProcess, aProcess->On(aReply));
      });
      return;
    }
    m_packing = false;
    const auto result = std::get<PackProcess::Result>(aStep);
    m_log.Info("config",
               "log_packed",
               { { "done", result == PackProcess::Result::Packed } });
  }

  StoreType& m_store;
  const ConfigHolder& m_holder;
  const Log& m_log;
  PackLimits m_limits;
  Learned m_learned;
  bool m_packing{ false };
};

}
