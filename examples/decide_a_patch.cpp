#include "greengagehub/config/config.hpp"

#include <fmt/format.h>

/// \file
/// \brief Uses the decision library alone: of two patches against the same
/// version, one is accepted and the other rejected with a reason.

int
main()
{
  using namespace greengagehub; // NOLINT: an example in one file
  DecisionLog log;
  ConfigHolder holder;
  const char* patches[] = { R"({"services":{"locker-app":{"slots":20}}})",
                            R"({"services":{"ledger":{}}})" };
  for (const char* patch : patches) {
    const Submission submission{ fmt::format("patch-{}", log.m_nextSequence),
                                 Version{ 0 },
                                 "anna",
                                 patch,
                                 WallTime{} };
    const Decision decision =
      Decide(log, holder.Active()->m_content, submission);
    log = WithDecision(std::move(log), decision);
    if (decision.m_accepted) {
      static_cast<void>(holder.Stage(decision.m_entry));
    }
    fmt::print("{}\n", DecisionToJson(decision));
  }
  fmt::print("in force: version {}, {}\n",
             holder.GetVersion().m_number,
             holder.Active()->m_content.ToJson());
  return holder.GetVersion() == Version{ 1 } ? 0 : 1;
}
