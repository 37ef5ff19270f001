#include "greengagehub/workspaces/store_check.hpp"

#include <algorithm>

namespace greengagehub {

StoreRequest
MakeStoreCheck(std::string aConfigKey, const StoreCheck& aCheck)
{
  StoreRequest request =
    MakeCheck(std::move(aConfigKey), aCheck.m_config.m_revision);
  request.m_alsoExpected = aCheck.m_roles.m_keys;
  return request;
}

namespace {

using Result = ConfigCheckResult;

/// A restored store assigns the same revisions again.
bool
IsOtherEra(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  const std::uint64_t known = aCheck.m_config.m_era;
  return known != 0 && aReply.m_era != 0 && known != aReply.m_era;
}

Result
ResultIfUnchanged(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  const StoredConfig& config = aCheck.m_config;
  // Some reports name a version without its revision.
  const bool isRevisionKnown =
    config.m_revision != 0 || config.m_version == Version{};
  return isRevisionKnown && !IsOtherEra(aCheck, aReply) ? Result::Current
                                                        : Result::Unknown;
}

/// \returns Whether a conflict shows a change of a coordinator's key.
bool
HasRoleChanged(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  return std::ranges::any_of(
    aCheck.m_roles.m_keys, [&](const ExpectedKey& aKey) {
      const auto found = std::ranges::find(
        aReply.m_items, aKey.m_key, [](const StoreItem& aEach) -> const auto& {
          return aEach.m_key;
        });
      const Revision now =
        found != aReply.m_items.end() ? found->m_revision : 0;
      return now != aKey.m_revision;
    });
}

}

ConfigCheckResult
InterpretStoreCheck(const StoreCheck& aCheck, const StoreReply& aReply) noexcept
{
  using Status = StoreReply::Status;
  if (aReply.m_status == Status::Ok) {
    return ResultIfUnchanged(aCheck, aReply);
  }
  if (aReply.m_status != Status::Conflict) {
    return Result::Unknown;
  }
  const bool hasSameRevision = aReply.m_revision == aCheck.m_config.m_revision;
  if (hasSameRevision && !HasRoleChanged(aCheck, aReply)) {
    // No key that was compared differs.
    return Result::Unknown;
  }
  return hasSameRevision && !IsOtherEra(aCheck, aReply)
           ? ResultIfUnchanged(aCheck, aReply)
           : Result::Changed;
}

}
