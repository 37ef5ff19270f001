#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/quarantine/fingerprint.hpp"

#include <optional>
#include <unordered_map>

namespace greengagehub {

/// For tables by content: a fingerprint's bits are even already.
struct FingerprintHash
{
  std::size_t operator()(const Fingerprint& aContent) const noexcept
  {
    return aContent.m_low;
  }
};

/// \brief When requests last ended well at the backend server beside this
/// daemon.
///
/// Two tables, of which the newer one becomes the older one when it is full:
/// the last kEach contents at least are remembered, and at most twice as many.
/// Whoever floods it with others has a content forgotten, which then needs
/// fewer ends to be held, never more.
class SuccessLog
{
public:
  /// A worker that runs 66 requests a second is remembered for a minute, in
  /// 400 KB.
  static constexpr std::size_t kEach = 4096;

  void Note(TimePoint aNow, Fingerprint aContent)
  {
    m_newer.insert_or_assign(aContent, aNow);
    if (m_newer.size() >= kEach) {
      m_older = std::move(m_newer);
      m_newer.clear();
    }
  }

  [[nodiscard]] std::optional<TimePoint> LastOf(Fingerprint aContent) const
  {
    for (const Table* each : { &m_newer, &m_older }) {
      const auto found = each->find(aContent);
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
