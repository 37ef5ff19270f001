#pragma once

#include <optional>
#include <string>

namespace greengagehub {

/// \brief What a backend server states about itself in the headers of a
/// response.
struct WorkerSignals
{
  /// Requests per second that it accepts from all daemons together, 0 or more;
  /// empty: it names no limit.
  std::optional<double> m_rateLimit{};
  /// Text of a limit that is not a decimal number, or named twice; it states
  /// nothing.
  std::string m_invalidRateLimit{};
  /// It is about to exit and accepts no new requests.
  bool m_isLeaving{ false };
};

}
