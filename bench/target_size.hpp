#pragma once

#include "greengagehub/membership/member.hpp"

#include <cstdint>
#include <fmt/format.h>

/// \file
/// \brief Member records of the size that docs/CAPACITY.md plans for.

namespace greengagehub {

/// \returns A member of a fleet with 6,800 services, 7 domains and 3 regions.
[[nodiscard]] inline MemberRecord
MakeMemberRecord(std::int64_t aNumber)
{
  MemberRecord record;
  record.m_slot = fmt::format("stockholm-solna-{:05}", aNumber);
  record.m_incarnation = 123456789ULL << 16U;
  record.m_service = fmt::format("service-{}", aNumber % 6800);
  record.m_domain = fmt::format("domain-{}", aNumber % 7);
  record.m_region = fmt::format("region-{}", aNumber % 3);
  record.m_address = { "10.123.231.17", 7001, 7002, 7003 };
  record.m_slots = 20;
  return record;
}

}
