#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace greengagehub {

enum class TrafficPurpose : std::uint8_t
{
  /// Datagrams other than pushes: probes, their answers and quota messages.
  Probe,
  /// Pushed datagrams without version entries.
  MemberUpdates,
  /// Pushed and pulled versions of the configuration.
  Versions,
  /// Comparisons of member tables and the records exchanged as a result.
  Reconciliation,
  Requests,
  /// Call answers, including rejections.
  Answers,
  /// Control frames of call links, such as hellos and heartbeats.
  Links,
};

inline constexpr std::size_t kTrafficPurposes = 7;

/// \returns Label of the purpose in metrics.
[[nodiscard]] constexpr std::string_view
NameOf(TrafficPurpose aPurpose) noexcept
{
  constexpr std::array<std::string_view, kTrafficPurposes> kNames{
    "probe", "news", "versions", "compare", "requests", "answers", "links"
  };
  return kNames[static_cast<std::size_t>(aPurpose)];
}

/// \brief Counts payload bytes sent by this daemon, by purpose and by whether
/// they cross failure domains. Received bytes are not counted.
class TrafficMeter
{
public:
  void Add(TrafficPurpose aPurpose,
           bool aCrossesDomains,
           std::size_t aBytes) noexcept
  {
    m_bytes[aCrossesDomains ? 1 : 0][static_cast<std::size_t>(aPurpose)] +=
      aBytes;
  }

  [[nodiscard]] std::uint64_t Bytes(TrafficPurpose aPurpose,
                                    bool aCrossesDomains) const noexcept
  {
    return m_bytes[aCrossesDomains ? 1 : 0][static_cast<std::size_t>(aPurpose)];
  }

  /// \brief Calls `aEach(purpose, crossesDomains, bytes)` for every count.
  template<class Each>
  void ForEach(Each aEach) const
  {
    for (const bool crossesDomains : { false, true }) {
      for (std::size_t i = 0; i < kTrafficPurposes; ++i) {
        const auto purpose = static_cast<TrafficPurpose>(i);
        aEach(purpose, crossesDomains, Bytes(purpose, crossesDomains));
      }
    }
  }

private:
  std::array<std::array<std::uint64_t, kTrafficPurposes>, 2> m_bytes{};
};

}
