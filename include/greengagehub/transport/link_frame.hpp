#pragma once

#include "greengagehub/calls/call.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace greengagehub {

/// \brief First frame of a connection, in both directions.
struct LinkHello
{
  std::string m_slot;
  /// Process part of the incarnation: another one knows nothing of the calls
  /// before it.
  std::uint64_t m_process{ 0 };
  /// Grows with each connection that a process opens to the same slot.
  std::uint64_t m_epoch{ 0 };
  /// Failure domain; heads are deflated between two of them.
  std::string m_domain{};
};

/// \brief Cancels an attempt that has not started. One that has started goes
/// on, and its answer comes on the newest connection, unless m_abandon is set.
struct LinkCancel
{
  std::uint64_t m_call{ 0 };
  bool m_abandon{ false };
};

struct LinkCancelResult
{
  std::uint64_t m_call{ 0 };
  bool m_started{ false };
  /// It has ended and its answer is not kept any more.
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

/// \brief The daemon takes no new calls.
struct LinkLeaving
{};

using LinkFrame = std::variant<LinkHello,
                               CallRequest,
                               CallAnswer,
                               LinkCancel,
                               LinkCancelResult,
                               LinkPing,
                               LinkPong,
                               LinkLeaving>;

}
