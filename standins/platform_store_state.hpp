#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace greengagehub::standin {

using Json = nlohmann::json;

/// \brief Value of a key, with the revisions of its last write and creation.
struct StoredKey
{
  std::string m_value;
  std::uint64_t m_revision{ 0 };
  std::uint64_t m_createdRevision{ 0 };
  /// Id of its lease; 0 if it has none.
  std::uint64_t m_lease{ 0 };
};

/// \brief A change of a key, with the JSON body that watches receive.
struct Event
{
  std::uint64_t m_revision{ 0 };
  std::string m_key;
  Json m_body;
};

struct Lease
{
  std::chrono::milliseconds m_timeToLive{};
  TimePoint m_expires{};
};

/// \brief A long-polling request for changes after a revision.
struct Watch
{
  std::string m_prefix;
  std::uint64_t m_after{ 0 };
  TimePoint m_until;
  HttpResponder m_responder;
};

struct Faults
{
  std::string m_outage{ "none" };
  std::chrono::milliseconds m_delay{ 0 };
  /// Number of writes to come whose answers are lost.
  std::uint64_t m_lostAnswersLeft{ 0 };
};

struct Counts
{
  std::uint64_t m_reads{ 0 };
  std::uint64_t m_writes{ 0 };
  std::uint64_t m_watches{ 0 };
  std::uint64_t m_lists{ 0 };
  std::uint64_t m_leaseCalls{ 0 };
  std::uint64_t m_conflicts{ 0 };
  std::uint64_t m_rejected{ 0 };
  std::uint64_t m_maxWatches{ 0 };
  std::uint64_t m_bytesOut{ 0 };
};

}
