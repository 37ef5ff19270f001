#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/quarantine/fingerprint.hpp"

#include <optional>
#include <unordered_map>

namespace greengagehub {

/// The bits of a fingerprint are already uniformly distributed.
struct FingerprintHash
{
  std::size_t operator()(const Fingerprint& aFingerprint) const noexcept
  {
    return aFingerprint.m_low;
  }
};

/// \brief Last success of each request on the local backend server.
///
/// Keeps two generations of entries: a full newer one replaces the older one.
/// Without an entry, fewer crashes lead to a quarantine.
class SuccessLog
{
public:
  /// Covers a minute at 66 requests per second, in 400 KB.
  static constexpr std::size_t kGenerationSize = 4096;

  void Record(TimePoint aNow, Fingerprint aFingerprint)
  {
    m_newer.insert_or_assign(aFingerprint, aNow);
    if (m_newer.size() >= kGenerationSize) {
      m_older = std::move(m_newer);
      m_newer.clear();
    }
  }

  [[nodiscard]] std::optional<TimePoint> Find(Fingerprint aFingerprint) const
  {
    for (const Table* each : { &m_newer, &m_older }) {
      const auto found = each->find(aFingerprint);
      if (found != each->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

private:
  using Table = std::unordered_map<Fingerprint, TimePoint, FingerprintHash>;

  Table m_newer;
  Table m_older;
};

}
