#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace greengagehub {

/// \brief What bytes between daemons are sent for.
enum class TrafficPurpose : std::uint8_t
{
  /// Probes and their answers, with the news that they carry along.
  Probe,
  /// Members' news on its own, as from a member that leaves.
  News,
  /// Versions of the configuration.
  Versions,
  /// Comparisons of members and the records that come of them.
  Compare,
  /// Calls on their way to a worker.
  Requests,
  /// Answers, and refusals.
  Answers,
  /// Greetings, heartbeats and cancellations of call links.
  Links,
};

inline constexpr std::size_t kTrafficPurposes = 7;

[[nodiscard]] constexpr std::string_view
NameOf(TrafficPurpose aPurpose) noexcept
{
  constexpr std::array<std::string_view, kTrafficPurposes> kNames{
    "probe", "news", "versions", "compare", "requests", "answers", "links"
  };
  return kNames[static_cast<std::size_t>(aPurpose)];
}

/// \brief Bytes that this daemon sent to others, by purpose, and apart for
/// those that stay in its failure domain and those that cross. Payload only;
/// what each sends, the other does not count.
class TrafficMeter
{
public:
  void Add(TrafficPurpose aPurpose, bool aIsFar, std::size_t aBytes) noexcept
  {
    m_bytes[aIsFar ? 1 : 0][static_cast<std::size_t>(aPurpose)] += aBytes;
  }

  [[nodiscard]] std::uint64_t Bytes(TrafficPurpose aPurpose,
                                    bool aIsFar) const noexcept
  {
    return m_bytes[aIsFar ? 1 : 0][static_cast<std::size_t>(aPurpose)];
  }

  /// \brief Calls `aEach(purpose, isFar, bytes)` for every count.
  template<class Each>
  void ForEach(Each aEach) const
  {
    for (const bool far : { false, true }) {
      for (std::size_t i = 0; i < kTrafficPurposes; ++i) {
        const auto purpose = static_cast<TrafficPurpose>(i);
        aEach(purpose, far, Bytes(purpose, far));
      }
    }
  }

private:
  std::array<std::array<std::uint64_t, kTrafficPurposes>, 2> m_bytes{};
};

}
