#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/workspaces/quota_message.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace greengagehub {

/// \brief One linearizable call that checks whether a configuration is the
/// newest and, at the coordinator, whether kCoordinatorKey is unchanged.
struct StoreCheck
{
  TimePoint m_sentAt{};
  StoredConfig m_config{};
  /// Revision that kCoordinatorKey must have; empty: not checked.
  std::optional<Revision> m_term{};
};

/// \brief What the reply to a StoreCheck shows about each of its keys.
struct StoreCheckResult
{
  enum class Config : std::uint8_t
  {
    Unknown,
    /// The configuration was the newest when the check was sent.
    Current,
    /// The key has another revision; the reply holds its value.
    Changed,
  };
  enum class Role : std::uint8_t
  {
    Unknown,
    Confirmed,
    /// Another daemon wrote kCoordinatorKey, or it was deleted.
    Lost,
  };

  Config m_config{ Config::Unknown };
  /// Unknown if the check had no m_term.
  Role m_role{ Role::Unknown };
};

/// \param aConfigKey store key of the configuration.
[[nodiscard]] StoreRequest
MakeStoreCheck(std::string aConfigKey, const StoreCheck& aCheck);
[[nodiscard]] StoreCheckResult
InterpretStoreCheck(const StoreCheck& aCheck,
                    const StoreReply& aReply) noexcept;

}
