#pragma once

#include <string_view>

namespace greengagehub {

/// \brief Names of the headers in which callers, daemons and backend servers
/// speak about a call. An empty name is never sent and never found.
struct CallDialect
{
  /// Identifies a request; a backend server echoes it in its answer.
  std::string_view m_requestId{};
  /// Milliseconds that are left for the call.
  std::string_view m_deadline{ "Greengagehub-Deadline-Ms" };
  /// Service beside which the call began.
  std::string_view m_callerService{ "Greengagehub-Caller-Service" };
  /// A caller's API key; removed where the request is taken in.
  std::string_view m_apiKey{ "Greengagehub-Key" };
  /// Name of the workspace that holds the key; set by the daemon alone.
  std::string_view m_workspace{ "Greengagehub-Workspace" };
  /// The only backend server that may run the request.
  std::string_view m_expectInstance{};
  /// On a health check's answer: which backend server gives it.
  std::string_view m_instance{};
  /// On a refusal: the backend server did not run the request.
  std::string_view m_notExecuted{};
  /// On a success: the backend server's signature.
  std::string_view m_seal{};
  /// Retry-After in fractions of a second, so that a caller returns when there
  /// is room and not up to a second later; the standard knows whole ones.
  bool m_fractionalRetryAfter{ false };
  /// Hops, remaining tries and spans travel in headers of our own.
  bool m_tracesHops{ true };
};

}
