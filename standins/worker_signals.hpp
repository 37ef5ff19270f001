#pragma once

#include "greengagehub/http/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace greengagehub::standin {

/// \brief The fault "states a limit or that it is leaving" of a stand-in, and a
/// record of what it received meanwhile.
///
/// Set by {"limit": TEXT or null, "leaving": true}; TEXT is sent as it is. The
/// history is a list with one entry for each incarnation, times in Unix
/// milliseconds: "limits" [time, text or null], "arrivals" [time, request id],
/// "statements" [time, request id, with limit, leaving].
class WorkerSignalFault
{
public:
  using Json = nlohmann::json;

  void Set(const Json& aWanted)
  {
    if (aWanted.contains("limit")) {
      m_limit = aWanted["limit"];
      m_current["limits"].push_back({ NowMs(), m_limit });
    }
    m_isLeaving = aWanted.value("leaving", m_isLeaving);
  }

  void RecordArrival(const std::string& aId)
  {
    m_current["arrivals"].push_back({ NowMs(), aId });
  }

  /// Adds the headers to a response, and records it if there are any.
  void AddTo(HttpResponse& aResponse, const std::string& aId)
  {
    if (m_limit.is_string()) {
      aResponse.m_headers.push_back({ "Server-Limit", m_limit });
    }
    if (m_isLeaving) {
      aResponse.m_headers.push_back({ "Server-Leaving", "1" });
    }
    if (m_limit.is_string() || m_isLeaving) {
      m_current["statements"].push_back(
        { NowMs(), aId, m_limit.is_string(), m_isLeaving });
    }
  }

  /// Starts the record of another incarnation, which states nothing.
  void Restart()
  {
    m_past.push_back(std::exchange(m_current, MakeRecord()));
    m_limit = nullptr;
    m_isLeaving = false;
  }

  [[nodiscard]] std::string History() const
  {
    Json history = m_past;
    history.push_back(m_current);
    return history.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

private:
  [[nodiscard]] static std::int64_t NowMs()
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }
  [[nodiscard]] static Json MakeRecord()
  {
    return { { "limits", Json::array() },
             { "arrivals", Json::array() },
             { "statements", Json::array() } };
  }

  Json m_limit{ nullptr };
  bool m_isLeaving{ false };
  Json m_past = Json::array();
  Json m_current = MakeRecord();
};

}
