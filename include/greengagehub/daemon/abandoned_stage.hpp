#pragma once

#include <cstdint>
#include <string_view>

namespace greengagehub {

/// \brief What a request had reached when its client's disconnect was noticed.
enum class AbandonedStage : std::uint8_t
{
  /// Not read yet, or read together with the disconnect.
  Unread,
  /// In the StartBuffer.
  Buffered,
  /// In the TokenQueue.
  Queued,
  /// An attempt was sent.
  InFlight,
};

/// \returns The name used in logs and metrics, such as "in-flight".
[[nodiscard]] constexpr std::string_view
NameOf(AbandonedStage aStage) noexcept
{
  switch (aStage) {
    case AbandonedStage::Unread:
      return "unread";
    case AbandonedStage::Buffered:
      return "buffered";
    case AbandonedStage::Queued:
      return "queued";
    case AbandonedStage::InFlight:
      return "in-flight";
  }
  return "unread";
}

}
