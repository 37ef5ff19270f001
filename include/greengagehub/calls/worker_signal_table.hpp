#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/core/clock.hpp"

#include <map>
#include <string>

namespace greengagehub {

/// \brief What callers' calls have shown of workers that state a limit or that
/// they are leaving, by slot.
///
/// It outlasts the member records of a worker's daemon, which may restart and
/// know neither.
class WorkerSignalTable
{
public:
  struct Entry
  {
    WorkerStatement m_statement;
    TimePoint m_updatedAt{};
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  /// \brief Applies an answer of a worker's daemon.
  void OnAnswer(TimePoint aNow,
                const std::string& aSlot,
                const CallAnswer& aAnswer);
  /// \param aIncarnation the worker that is leaving; 0 is ignored, as it would
  /// match any later one.
  void MarkLeaving(TimePoint aNow,
                   const std::string& aSlot,
                   IncarnationTag aIncarnation);
  /// \param aIncarnation 0: not known, matches any.
  [[nodiscard]] bool IsLeaving(std::string_view aSlot,
                               IncarnationTag aIncarnation) const;
  /// \returns The limit to send along with a request; empty: none is known.
  [[nodiscard]] WorkerStatement KnownLimit(std::string_view aSlot) const;
  [[nodiscard]] const Entries& All() const noexcept { return m_entries; }

private:
  Entry& Update(TimePoint aNow, const std::string& aSlot);

  Entries m_entries;
};

}
