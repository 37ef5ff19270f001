#pragma once

#include "greengagehub/transport/codec.hpp"

#include "control.pb.h"

#include <algorithm>

// Conversion of roll-out messages to and from protobuf, and helpers shared by
// the codec sources.

namespace greengagehub {

inline Error
Malformed(const char* aWhat)
{
  return Error{ ErrorCode::Corrupt, aWhat };
}

inline std::uint32_t
ToMs(Duration aSpan)
{
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(ms, 0, UINT32_MAX));
}

inline Duration
FromMs(std::uint32_t aMs)
{
  return std::chrono::milliseconds{ aMs };
}

void
ToWire(const RolloutRecord& aRecord, wire::Rollout& aOut);
[[nodiscard]] Outcome<RolloutRecord>
FromWire(const wire::Rollout& aWire);
void
ToWire(const WorkerCounts& aCounts, wire::WorkerCounts& aOut);
[[nodiscard]] Outcome<WorkerCounts>
FromWire(const wire::WorkerCounts& aWire);

}
