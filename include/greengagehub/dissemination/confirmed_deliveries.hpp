#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/membership/member.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief A member to which a message is to be delivered.
struct DeliveryTarget
{
  std::string m_slot;
  MemberPeer m_peer;
  TimePoint m_lastSent{};
  int m_sendCount{ 0 };
  bool m_isConfirmed{ false };
};

/// \brief Delivery of a message to some of the targets, which are tried in
/// order.
struct Delivery
{
  /// Bounds the datagrams of one delivery.
  static constexpr std::size_t kMaxTargets = 64;

  [[nodiscard]] bool IsSatisfied() const noexcept
  {
    return m_confirmed >= m_wanted;
  }

  std::vector<DeliveryTarget> m_targets{};
  std::size_t m_tried{ 0 };
  std::size_t m_wanted{ 1 };
  std::size_t m_confirmed{ 0 };
  /// Candidates of the next round, beside those known not to answer.
  std::size_t m_width{ 1 };
  TimePoint m_nextRound{};
  /// Whether all members up to the first that confirms must get the message.
  bool m_coversSkipped{ false };
};

/// \brief Sends a message until enough members have confirmed it. Does no I/O.
///
/// Where a member does not confirm, the message is repeated, and further
/// members are tried, four times as many each round.
class ConfirmedDeliveries
{
public:
  struct Recipient
  {
    std::string m_slot;
    MemberPeer m_peer;
  };

  /// \brief Replaces all deliveries by those of a new message.
  void Restart(TimePoint aNow, std::vector<Delivery> aDeliveries);
  /// \returns Members to send to now.
  [[nodiscard]] std::vector<Recipient> TakeDue(TimePoint aNow);
  /// \brief Records that a member has the message.
  void Confirm(const std::string& aSlot);
  /// \brief Records that a member has sent something.
  void RecordAlive(const std::string& aSlot) { m_unanswered.erase(aSlot); }

private:
  struct Unanswered
  {
    TimePoint m_first;
    TimePoint m_last;
  };

  [[nodiscard]] bool IsUnresponsive(TimePoint aNow,
                                    const std::string& aSlot) const;
  void RepeatUnconfirmed(TimePoint aNow,
                         Delivery& aDelivery,
                         std::vector<Recipient>& aOut);
  /// Sends to further candidates.
  void StartRoundIfDue(TimePoint aNow,
                       Delivery& aDelivery,
                       std::vector<Recipient>& aOut);
  void SendTo(TimePoint aNow,
              DeliveryTarget& aTarget,
              std::vector<Recipient>& aOut);

  std::vector<Delivery> m_deliveries;
  /// Members that have sent nothing since a message, across restarts.
  std::map<std::string, Unanswered, std::less<>> m_unanswered;
};

}
