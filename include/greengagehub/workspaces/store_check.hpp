#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/workspaces/coordinator_roles.hpp"
#include "greengagehub/workspaces/quota_message.hpp"

#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief One linearizable call that checks whether a configuration is the
/// newest and whether the keys of the coordinator roles are unchanged.
struct StoreCheck
{
  TimePoint m_sentAt{};
  StoredConfig m_config{};
  /// CoordinatorRoles::OnChecked() takes what the reply shows about them.
  CoordinatorRoles::Check m_roles{};
};

/// \brief What the reply to a StoreCheck shows about the configuration.
enum class ConfigCheckResult : std::uint8_t
{
  Unknown,
  /// The configuration was the newest when the check was sent.
  Current,
  /// The key has another revision; the reply holds its value.
  Changed,
};

/// \param aConfigKey store key of the configuration.
[[nodiscard]] StoreRequest
MakeStoreCheck(std::string aConfigKey, const StoreCheck& aCheck);
[[nodiscard]] ConfigCheckResult
InterpretStoreCheck(const StoreCheck& aCheck,
                    const StoreReply& aReply) noexcept;

}
