#include "greengagehub/workspaces/store_check.hpp"

#include "greengagehub/workspaces/coordinator_role.hpp"

namespace greengagehub {

StoreRequest
MakeStoreCheck(std::string aConfigKey, const StoreCheck& aCheck)
{
  StoreRequest request =
    MakeCheck(std::move(aConfigKey), aCheck.m_config.m_revision);
  if (aCheck.m_term) {
    request.m_secondKey = kCoordinatorKey;
    request.m_secondExpected = *aCheck.m_term;
  }
  return request;
}

namespace {

using Config = StoreCheckResult::Config;
using Role = StoreCheckResult::Role;

/// A restored store assigns the same revisions again.
bool
IsOtherEra(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  const std::uint64_t known = aCheck.m_config.m_era;
  return known != 0 && aReply.m_era != 0 && known != aReply.m_era;
}

Config
ConfigIfUnchanged(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  const StoredConfig& config = aCheck.m_config;
  // Some reports name a version without its revision.
  const bool isRevisionKnown =
    config.m_revision != 0 || config.m_version == Version{};
  return isRevisionKnown && !IsOtherEra(aCheck, aReply) ? Config::Current
                                                        : Config::Unknown;
}

Role
RoleInConflict(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  if (!aCheck.m_term) {
    return Role::Unknown;
  }
  return aReply.m_secondRevision == *aCheck.m_term ? Role::Confirmed
                                                   : Role::Lost;
}

}

StoreCheckResult
InterpretStoreCheck(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  using Status = StoreReply::Status;
  if (aReply.m_status == Status::Ok) {
    return { ConfigIfUnchanged(aCheck, aReply),
             aCheck.m_term ? Role::Confirmed : Role::Unknown };
  }
  if (aReply.m_status != Status::Conflict) {
    return {};
  }
  const bool hasSameRevision = aReply.m_revision == aCheck.m_config.m_revision;
  const Role role = RoleInConflict(aCheck, aReply);
  if (hasSameRevision && role != Role::Lost) {
    return {};
  }
  const bool isChanged = !hasSameRevision || IsOtherEra(aCheck, aReply);
  return { isChanged ? Config::Changed : ConfigIfUnchanged(aCheck, aReply),
           role };
}

}
