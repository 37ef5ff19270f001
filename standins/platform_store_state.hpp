#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"

#include <nlohmann/json.hpp>
#include <string>

/// \file
/// \brief What the stand-in for the platform's store holds.

namespace greengagehub::standin {

using Json = nlohmann::json;

struct Key
{
  std::string m_value;
  std::uint64_t m_revision{ 0 };
  std::uint64_t m_created{ 0 };
  std::uint64_t m_lease{ 0 };
};

/// A change, as watches are told of it.
struct Event
{
  std::uint64_t m_revision{ 0 };
  std::string m_key;
  Json m_body;
};

struct Lease
{
  std::chrono::milliseconds m_time{};
  TimePoint m_expires{};
};

/// A watch that waits for a change after a revision.
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
  std::uint64_t m_loseAnswers{ 0 };
};

struct Counts
{
  std::uint64_t m_reads{ 0 };
  std::uint64_t m_writes{ 0 };
  std::uint64_t m_watches{ 0 };
  std::uint64_t m_lists{ 0 };
  std::uint64_t m_leaseCalls{ 0 };
  std::uint64_t m_conflicts{ 0 };
  std::uint64_t m_turnedAway{ 0 };
  std::uint64_t m_mostWatches{ 0 };
  std::uint64_t m_bytesOut{ 0 };
};

}
