#pragma once

#include "greengagehub/config/config.hpp"
#include "greengagehub/core/store.hpp"
#include "greengagehub/dissemination/version_origin.hpp"
#include "greengagehub/membership/watch_schedule.hpp"
#include "greengagehub/workspaces/quota_message.hpp"

#include <functional>
#include <vector>

namespace greengagehub {

/// \brief What a ConfigFeed reports and asks.
struct ConfigFeedHandlers
{
  /// A newer version is in force.
  std::function<void(Version aBefore, VersionChannel)> m_onAdvanced;
  /// The version in force had another content than the store's document.
  std::function<void()> m_onReplaced;
  /// The newest version was read, or a copy of it was confirmed.
  std::function<void(Version aHead)> m_onHead;
  /// A linearizable read sent at `aRequestedAt` returned this configuration;
  /// no newer one was acknowledged before that time.
  std::function<void(TimePoint aRequestedAt, const StoredConfig&)>
    m_onConfirmed{};
  /// Other keys with the watched prefix have changed.
  std::function<void(const std::vector<StoreItem>&)> m_onPrefixChanged{};
  /// Changes of those keys may have been missed.
  std::function<void()> m_onChangesMissed{};
  /// The position among the daemons that watch; by default there is one.
  std::function<ReaderPosition()> m_position{};
};

struct ConfigFeedTimes
{
  WatchSchedule m_watch;
  /// Pause between a change and the next watch, so that one call to the store
  /// covers a burst of changes.
  std::chrono::milliseconds m_coalesceDelay;
  std::chrono::milliseconds m_firstBackoff{ 50 };
  std::chrono::milliseconds m_maxBackoff;
  /// Shortest time between two writes of the copy; the first one is not
  /// delayed.
  std::chrono::milliseconds m_copyInterval{ 500 };
};

}
