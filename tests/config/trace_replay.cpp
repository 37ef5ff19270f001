#include "support/trace_file.hpp"

#include "greengagehub/config/config_holder.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

// Replays recorded traces of decisions and deliveries and compares the outcome
// of each step; tests/traces/README.md describes the format.

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

class Replay
{
public:
  [[nodiscard]] std::string Step(const std::string& aLine)
  {
    std::istringstream words{ aLine };
    std::string verb;
    words >> verb;
    if (verb == "submit") {
      return Submit(words);
    }
    if (verb == "restart") {
      m_holder = ConfigHolder{};
      return FormatActive("empty");
    }
    std::uint64_t version = 0;
    words >> version;
    VersionEntry entry = m_history.at(version - 1).m_entry;
    if (verb == "snapshot") {
      return FormatResult(m_holder.StageSnapshot(
        entry, m_history.at(version - 1).m_content.ToJson()));
    }
    if (verb == "damaged") {
      entry.m_patch = R"({"services":{"intruder":{}}})";
    } else if (verb == "other-history") {
      entry.m_patch = R"({"services":{"intruder":{}}})";
      entry.m_chain = NextChain(Digest{}, entry.m_version, entry.m_patch);
    }
    return FormatResult(m_holder.Stage(entry));
  }

private:
  struct Accepted
  {
    VersionEntry m_entry;
    Content m_content;
  };

  std::string Submit(std::istringstream& aWords)
  {
    Submission submission;
    aWords >> submission.m_id >> submission.m_base.m_number;
    std::getline(aWords >> std::ws, submission.m_patch);
    const Content head =
      m_history.empty() ? Content{} : m_history.back().m_content;
    const Decision decision = Decide(m_log, head, submission);
    m_log = WithDecision(std::move(m_log), decision);
    if (!decision.m_accepted) {
      std::string reasons = "refused";
      for (const Reason& each : decision.m_reasons) {
        reasons += fmt::format(" {}{}{}",
                               NameOf(each.m_code),
                               each.m_place.empty() ? "" : "@",
                               each.m_place);
      }
      return reasons;
    }
    Content next = head;
    static_cast<void>(next.Apply(submission.m_patch));
    m_history.push_back({ decision.m_entry, std::move(next) });
    return fmt::format("accepted {}", decision.m_entry.m_version.m_number);
  }

  [[nodiscard]] std::string FormatActive(const char* aOutcome) const
  {
    return fmt::format(
      "{}, in force {}", aOutcome, m_holder.GetVersion().m_number);
  }

  [[nodiscard]] std::string FormatResult(StageResult aResult) const
  {
    switch (aResult) {
      case StageResult::Applied:
        return FormatActive("applied");
      case StageResult::NotNewer:
        return FormatActive("held");
      case StageResult::Gap:
        return FormatActive("gap");
      case StageResult::Forked:
        return FormatActive("forked");
      case StageResult::Corrupt:
        return FormatActive("corrupt");
      case StageResult::Replaced:
        return FormatActive("replaced");
    }
    return "?";
  }

  DecisionLog m_log;
  std::vector<Accepted> m_history;
  ConfigHolder m_holder;
};

}

TEST_CASE("recorded traces of decisions and deliveries")
{
  ReplayAll<Replay>(std::string{ TRACE_DIRECTORY } + "/config", 3);
}
