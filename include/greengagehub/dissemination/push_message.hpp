#pragma once

#include "greengagehub/membership/membership.hpp"

namespace greengagehub {

/// \returns A push from this member without updates.
[[nodiscard]] inline GossipMessage
MakePushMessage(const Membership& aMembership)
{
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Push;
  message.m_sender = aMembership.Self();
  message.m_members = aMembership.Digests().Summary();
  return message;
}

}
