#pragma once

#include "greengagehub/core/byte_budget.hpp"
#include "greengagehub/core/outcome.hpp"
#include "greengagehub/transport/link_frame.hpp"

#include <cstdint>
#include <optional>

namespace greengagehub {

/// \brief Joins the parts of bodies that arrive on one link.
class BodyAssembler
{
public:
  /// \param aBudget holds the bodies; nullptr: they have no common bound.
  void UseBudget(ByteBudget::Pointer aBudget) noexcept
  {
    m_budget = std::move(aBudget);
  }

  /// \returns The frame to handle now: nothing while parts of its body are
  /// missing. A call whose body does not fit the budget is marked
  /// CallRequest::m_isBodyDropped, an answer becomes AnswerLost; both are
  /// returned at once and their parts are discarded. ErrorCode::Corrupt for a
  /// part that was not announced.
  [[nodiscard]] Outcome<std::optional<LinkFrame>> Take(LinkFrame aFrame);

private:
  [[nodiscard]] std::optional<LinkFrame> Begin(LinkFrame aFrame);
  [[nodiscard]] Outcome<std::optional<LinkFrame>> Append(
    const LinkBodyPart& aPart);

  ByteBudget::Pointer m_budget;
  /// Empty while parts are discarded.
  std::optional<LinkFrame> m_frame;
  BodyBuffer m_body;
  std::uint64_t m_bytesLeft{ 0 };
};

}
