#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <chrono>
#include <deque>
#include <optional>

namespace greengagehub {

/// \brief Proof that no version newer than m_version had been acknowledged
/// before m_provenAt.
struct FreshnessProof
{
  TimePoint m_provenAt{};
  Version m_version{};
};

/// \brief Tracks when the active configuration was last proven to be the
/// newest.
///
/// A linearizable read that was sent at t and returned version v proves that no
/// newer version had been acknowledged before t. The proof counts once v or a
/// later version is active here. The clock must advance during suspension.
class ConfigFreshness
{
public:
  /// \param aBound maximum age of a proof; 0: API keys need no proof.
  explicit ConfigFreshness(std::chrono::milliseconds aBound) noexcept
    : m_bound(aBound)
  {
  }

  [[nodiscard]] bool IsEnforced() const noexcept
  {
    return m_bound > std::chrono::milliseconds::zero();
  }

  /// \brief Adds a proof; it stays pending until its version is active.
  void OnProof(FreshnessProof aProof);
  void OnVersion(Version aActiveVersion);
  /// \returns Whether the newest proof is recent enough to accept API keys.
  [[nodiscard]] bool IsFresh(TimePoint aNow) const noexcept;
  /// \returns Time of the newest proof that counts, if any.
  [[nodiscard]] std::optional<TimePoint> ProvenAt() const noexcept
  {
    return m_provenAt;
  }

  /// Maximum number of pending proofs; the oldest is dropped first.
  static constexpr std::size_t kMaxPending = 16;

private:
  std::chrono::milliseconds m_bound;
  Version m_activeVersion{};
  std::optional<TimePoint> m_provenAt;
  std::deque<FreshnessProof> m_pending;
};

}
