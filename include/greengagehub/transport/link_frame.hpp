#pragma once

#include "greengagehub/calls/call.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace greengagehub {

/// \brief First frame in each direction of a connection.
struct LinkHello
{
  std::string m_slot;
  /// Identifies the process; a restarted process has no record of earlier
  /// calls.
  std::uint64_t m_process{ 0 };
  /// Increases with each connection that a process opens to the same slot.
  std::uint64_t m_epoch{ 0 };
  /// Failure domain; heads are compressed between daemons of different domains.
  std::string m_domain{};
  /// Slot that the caller means to reach: another instance may have its address
  /// by now. Empty in answers and from daemons of older versions.
  std::string m_callee{};
  /// Whether the sender accepts bodies in parts; older versions do not.
  bool m_takesParts{ true };
};

/// \brief Cancels an attempt that has not started. A started attempt continues
/// and is answered on the newest connection, unless it is abandoned.
struct LinkCancel
{
  /// Number of the attempt, as in CallRequest::m_call.
  std::uint64_t m_call{ 0 };
  /// The answer is no longer needed; no LinkCancelResult is sent.
  bool m_abandon{ false };
};

/// \brief Answer to a LinkCancel without m_abandon.
struct LinkCancelResult
{
  /// Number of the attempt, as in CallRequest::m_call.
  std::uint64_t m_call{ 0 };
  bool m_started{ false };
  /// The attempt has finished and its answer is no longer stored.
  bool m_lost{ false };
};

struct LinkPing
{
  std::uint64_t m_number{ 0 };
};

struct LinkPong
{
  std::uint64_t m_number{ 0 };
};

/// \brief The sending daemon accepts no new calls.
struct LinkDraining
{};

/// \brief The next bytes of the body that the last call or answer with
/// m_bodyBytesToFollow announced.
struct LinkBodyPart
{
  Body m_bytes{};
};

using LinkFrame = std::variant<LinkHello,
                               CallRequest,
                               CallAnswer,
                               LinkCancel,
                               LinkCancelResult,
                               LinkPing,
                               LinkPong,
                               LinkDraining,
                               LinkBodyPart>;

}
