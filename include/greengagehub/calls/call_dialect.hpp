#pragma once

#include <string_view>

namespace greengagehub {

/// \brief Names of the HTTP headers that carry call metadata between callers,
/// daemons and backend servers. A header with an empty name is not used.
struct CallDialect
{
  /// Request ID; a backend server echoes it in its response.
  std::string_view m_requestId{};
  /// Remaining time of the call in milliseconds.
  std::string_view m_deadline{ "Greengagehub-Deadline-Ms" };
  std::string_view m_callerService{ "Greengagehub-Caller-Service" };
  /// The caller's API key; removed before the request is forwarded.
  std::string_view m_apiKey{ "Greengagehub-Key" };
  /// Set only by the daemon.
  std::string_view m_workspace{ "Greengagehub-Workspace" };
  /// ID of the only backend server that may execute the request.
  std::string_view m_expectInstance{};
  /// ID of the responding backend server, in health check responses.
  std::string_view m_instance{};
  /// In error responses: the backend server did not execute the request.
  std::string_view m_notExecuted{};
  /// Signature of the backend server, in successful responses.
  std::string_view m_seal{};
  /// In responses: requests per second that the backend server accepts.
  std::string_view m_rateLimit{ "Server-Limit" };
  /// In responses: "1" if the backend server is about to exit.
  std::string_view m_leaving{ "Server-Leaving" };
  /// Whether Retry-After may contain a fraction; the standard allows only whole
  /// seconds.
  bool m_fractionalRetryAfter{ false };
  /// Whether to send depth, remaining retries and trace context as headers.
  bool m_sendsHopHeaders{ true };
};

}
