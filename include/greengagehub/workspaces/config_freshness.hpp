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
  /// When the read was sent, on the local clock.
  TimePoint m_provenAt{};
  Version m_version{};
};

/// \brief Tracks how recently the active configuration was proven to be the
/// newest one.
///
/// A linearizable read that was sent at t and returned version v proves that no
/// newer version had been acknowledged before t. The proof counts once v or a
/// later version is active in this daemon. All times are read from one clock
/// that also advances while the process is suspended.
class ConfigFreshness
{
public:
  /// \param aBound maximum age of a proof for API keys to be accepted; 0: keys
  /// are accepted without a proof.
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
  /// \returns When the read of the newest applicable proof was sent, if any.
  [[nodiscard]] std::optional<TimePoint> ProvenAt() const noexcept
  {
    return m_provenAt;
  }

  /// Maximum number of pending proofs; the oldest is dropped first. Several are
  /// pending while the configuration changes faster than it is activated.
  static constexpr std::size_t kMaxPending = 16;

private:
  std::chrono::milliseconds m_bound;
  Version m_activeVersion{};
  std::optional<TimePoint> m_provenAt;
  std::deque<FreshnessProof> m_pending;
};

}
