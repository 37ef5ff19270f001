#pragma once

#include "greengagehub/quarantine/quarantine_news.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengagehub {

/// \brief A backend server's process has ended, and what ran there.
struct WorkerEnd
{
  /// Counts the ends seen by this daemon.
  std::uint64_t m_number{ 0 };
  std::vector<Witness> m_runs{};
};

/// \brief Tells the end of the backend server beside this daemon from a
/// connection that was just lost.
///
/// A reset, a limit on connections and a faulty answer lose connections too,
/// while the process lives on. It has ended only if nobody listens at its
/// address any more, which is looked at once a connection with a request on it
/// was closed. One that neither accepts nor refuses says nothing.
class CrashDetector
{
public:
  /// \brief The backend server closed a connection on which a request ran.
  /// \returns Whether to look now if it still listens.
  [[nodiscard]] bool OnLost(const Witness& aRun);
  /// \brief What a look has shown.
  /// \returns The end with all that was lost since the look before, if nobody
  /// listens. More lost runs of the same end come with the same number.
  [[nodiscard]] std::optional<WorkerEnd> OnLooked(bool aNobodyListens);
  /// \brief It answered: the next end is another one.
  void OnAlive() noexcept { m_ended = false; }

private:
  std::vector<Witness> m_lost;
  std::uint64_t m_number{ 0 };
  bool m_looking{ false };
  bool m_ended{ false };
};

}
