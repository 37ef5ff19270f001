#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_message.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief Clients that keep their connections: each sends its next request when
/// the previous one is answered, and opens another connection when its own was
/// closed, until the load is stopped.
struct KeptConnectionsPlan
{
  std::uint16_t m_port{ 0 };
  std::size_t m_clients{ 20 };
  std::string m_method{ "GET" };
  std::string m_target{ "/" };
  std::vector<HttpHeader> m_headers{};
  /// A request's id is this prefix and its number.
  std::string m_prefix{ "kept-" };
  std::string m_idHeader{ "X-Greengagehub-Request-Id" };
};

/// \brief One request and what came back on its connection.
struct KeptRequest
{
  std::string m_id{};
  TimePoint m_sentAt{};
  /// Of the whole answer, or of the end of the connection.
  TimePoint m_endedAt{};
  std::size_t m_receivedBytes{ 0 };
  /// 0 without a whole answer.
  std::uint16_t m_status{ 0 };
  /// Whether the answer bears a worker's signature.
  bool m_isSigned{ false };
  bool m_wasReset{ false };

  [[nodiscard]] bool IsAnswered() const noexcept { return m_status != 0; }
  [[nodiscard]] Duration Time() const noexcept { return m_endedAt - m_sentAt; }
};

/// \brief Requests that a daemon has lost, described one a line: without a
/// whole answer although they had run, or although they were sent before the
/// close of the connection could cross them; or answered in the place of a
/// worker that was running them, long before their deadline. \param aRuns
/// Number of runs of each request. \param aDeadline Of each request.
[[nodiscard]] std::vector<std::string>
DescribeLost(const std::vector<KeptRequest>& aRequests,
             const std::map<std::string, std::uint32_t>& aRuns,
             Duration aDeadline);

/// Runs on a thread of its own.
class KeptConnections
{
public:
  explicit KeptConnections(KeptConnectionsPlan aPlan);
  ~KeptConnections();
  KeptConnections(const KeptConnections&) = delete;
  KeptConnections& operator=(const KeptConnections&) = delete;

  /// \returns Requests answered so far, from any thread.
  [[nodiscard]] std::size_t Answered() const noexcept;
  /// \brief Lets open requests end and returns all of them.
  [[nodiscard]] std::vector<KeptRequest> Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
