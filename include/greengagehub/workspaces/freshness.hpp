#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <chrono>
#include <deque>
#include <optional>

namespace greengagehub {

/// \brief A version that was certainly the newest one at a moment.
struct FreshnessProof
{
  /// On the own clock: when the question was asked that the proof answers.
  TimePoint m_provenAt{};
  Version m_version{};
};

/// \brief How old the proof is that the configuration in force here is the
/// newest one.
///
/// A linearizable read that was sent at t and shows version v proves that
/// nothing newer had been acknowledged before t. The proof holds for this
/// daemon once v, or a later version, is in force here. Times are of one clock
/// that goes on while the process is suspended.
class Freshness
{
public:
  /// \param aBound oldest proof on which keys are accepted; 0: any, or none.
  explicit Freshness(std::chrono::milliseconds aBound) noexcept
    : m_bound(aBound)
  {
  }

  [[nodiscard]] bool IsEnforced() const noexcept
  {
    return m_bound > std::chrono::milliseconds::zero();
  }

  void OnProof(FreshnessProof aProof);
  void OnVersion(Version aInForce);
  /// \returns Whether keys may be accepted on the newest proof.
  [[nodiscard]] bool IsFresh(TimePoint aNow) const noexcept;
  /// \returns When the newest usable proof was asked for, if there is one.
  [[nodiscard]] std::optional<TimePoint> ProvenAt() const noexcept
  {
    return m_provenAt;
  }

  /// Proofs of versions that are not in force yet; in a storm of changes each
  /// is behind the next.
  static constexpr std::size_t kMaxPending = 16;

private:
  std::chrono::milliseconds m_bound;
  Version m_inForce{};
  std::optional<TimePoint> m_provenAt;
  std::deque<FreshnessProof> m_pending;
};

}
