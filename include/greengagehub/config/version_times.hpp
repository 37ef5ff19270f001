#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace greengagehub {

/// \brief When recent versions came into force at this daemon.
class VersionTimes
{
public:
  void Record(TimePoint aNow, Version aVersion);
  /// \returns When the first version after `aVersion` came into force; at the
  /// earliest, when the oldest one that is remembered did. Nothing if
  /// `aVersion` is not older than the latest.
  [[nodiscard]] std::optional<TimePoint> FirstAfter(Version aVersion) const;

private:
  static constexpr std::size_t kMaxEntries = 64;

  struct Entry
  {
    Version m_version;
    TimePoint m_at;
  };
  /// Oldest first.
  std::deque<Entry> m_entries;
};

}
