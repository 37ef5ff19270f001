#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace greengagehub {

/// \brief What a request was admitted with, to be returned if it has not run.
struct QuotaReceipt
{
  enum class Kind : std::uint8_t
  {
    None,
    Token,
    Reserve,
  };
  Kind m_kind{ Kind::None };
  /// Token: when it expires. Reserve: when it was used.
  TimePoint m_time{};
  /// Of the purse; see TokenPurse::Clear().
  std::uint32_t m_generation{ 0 };
};

/// \brief Tokens and shares of the reserve that a daemon holds for one
/// workspace.
class TokenPurse
{
public:
  void AddTokens(std::uint32_t aCount, TimePoint aExpiresAt);
  /// \brief Replaces the share of the reserve from one shard.
  void SetReserve(std::uint32_t aShard,
                  std::uint32_t aShare,
                  TimePoint aExpiresAt) noexcept
  {
    m_reserves.at(aShard) = { aShare, aExpiresAt };
  }

  [[nodiscard]] std::optional<QuotaReceipt> TakeToken(TimePoint aNow);
  /// \param aWindow quota window in which the shares may be used once.
  [[nodiscard]] std::optional<QuotaReceipt> TakeReserve(
    TimePoint aNow,
    std::chrono::milliseconds aWindow);
  /// \brief Takes back what admitted a request that has not run.
  void Return(TimePoint aNow, const QuotaReceipt& aReceipt);
  /// \brief Drops tokens and shares, which were granted under a higher limit.
  void Clear();

  [[nodiscard]] std::uint32_t CountTokens(TimePoint aNow) const;
  /// \returns Requests per window that the valid shares allow.
  [[nodiscard]] std::uint32_t ReserveShare(TimePoint aNow) const;

private:
  struct Batch
  {
    std::uint32_t m_tokens{ 0 };
    TimePoint m_expiresAt{};
  };
  struct Share
  {
    std::uint32_t m_share{ 0 };
    TimePoint m_expiresAt{};
  };

  /// In the order of expiry.
  std::deque<Batch> m_batches;
  std::array<Share, kMaxQuotaShards> m_reserves{};
  std::deque<TimePoint> m_reserveUses;
  std::uint32_t m_generation{ 0 };
};

}
