#include "greengagehub/dissemination/confirmed_deliveries.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace greengagehub {

namespace {

/// After this time a message counts as unanswered; many times the round trip
/// between domains, with room for a receiver that is short of processor time.
constexpr std::chrono::milliseconds kConfirmTime{ 200 };
/// Unanswered messages to a member are ignored after this time.
constexpr std::chrono::seconds kForgetUnanswered{ 5 };
/// So many datagrams in a row are not lost to one member that runs.
constexpr int kMaxSends = 4;
constexpr std::size_t kWidthFactor = 4;
constexpr std::size_t kMaxWidth = 16;

}

void
ConfirmedDeliveries::Restart(TimePoint aNow, std::vector<Delivery> aDeliveries)
{
  m_deliveries = std::move(aDeliveries);
  std::erase_if(m_unanswered, [aNow](const auto& aEach) {
    return aNow - aEach.second.m_first >= kForgetUnanswered;
  });
}

std::vector<ConfirmedDeliveries::Recipient>
ConfirmedDeliveries::TakeDue(TimePoint aNow)
{
  std::vector<Recipient> recipients;
  for (Delivery& each : m_deliveries) {
    RepeatUnconfirmed(aNow, each, recipients);
    StartRoundIfDue(aNow, each, recipients);
  }
  return recipients;
}

void
ConfirmedDeliveries::Confirm(const std::string& aSlot)
{
  for (Delivery& delivery : m_deliveries) {
    for (std::size_t i = 0; i < delivery.m_tried; ++i) {
      DeliveryTarget& target = delivery.m_targets[i];
      if (!target.m_isConfirmed && target.m_slot == aSlot) {
        target.m_isConfirmed = true;
        ++delivery.m_confirmed;
      }
    }
  }
}

bool
ConfirmedDeliveries::IsUnresponsive(TimePoint aNow,
                                    const std::string& aSlot) const
{
  const auto found = m_unanswered.find(aSlot);
  return found != m_unanswered.end() &&
         aNow - found->second.m_first >= kConfirmTime;
}

void
ConfirmedDeliveries::SendTo(TimePoint aNow,
                            DeliveryTarget& aTarget,
                            std::vector<Recipient>& aOut)
{
  ++aTarget.m_sendCount;
  aTarget.m_lastSent = aNow;
  m_unanswered.try_emplace(aTarget.m_slot, Unanswered{ aNow, aNow })
    .first->second.m_last = aNow;
  aOut.push_back({ aTarget.m_slot, aTarget.m_peer });
}

void
ConfirmedDeliveries::RepeatUnconfirmed(TimePoint aNow,
                                       Delivery& aDelivery,
                                       std::vector<Recipient>& aOut)
{
  if (aDelivery.IsSatisfied() && !aDelivery.m_coversSkipped) {
    return;
  }
  for (std::size_t i = 0; i < aDelivery.m_tried; ++i) {
    DeliveryTarget& target = aDelivery.m_targets[i];
    const bool isDue = !target.m_isConfirmed &&
                       target.m_sendCount < kMaxSends &&
                       aNow - target.m_lastSent >= kConfirmTime;
    if (isDue) {
      SendTo(aNow, target, aOut);
    }
  }
}

void
ConfirmedDeliveries::StartRoundIfDue(TimePoint aNow,
                                     Delivery& aDelivery,
                                     std::vector<Recipient>& aOut)
{
  if (aDelivery.IsSatisfied() || aNow < aDelivery.m_nextRound) {
    return;
  }
  std::size_t started = 0;
  while (started < aDelivery.m_width &&
         aDelivery.m_tried < aDelivery.m_targets.size()) {
    DeliveryTarget& target = aDelivery.m_targets[aDelivery.m_tried++];
    if (target.m_isConfirmed) {
      ++aDelivery.m_confirmed;
      break;
    }
    const bool isUnresponsive = IsUnresponsive(aNow, target.m_slot);
    started += isUnresponsive ? 0 : 1;
    const bool wasJustSent =
      isUnresponsive &&
      aNow - m_unanswered.at(target.m_slot).m_last < kConfirmTime;
    if (!wasJustSent) {
      SendTo(aNow, target, aOut);
    }
  }
  aDelivery.m_width = std::min(kWidthFactor * aDelivery.m_width, kMaxWidth);
  aDelivery.m_nextRound = aNow + kConfirmTime;
}

}
