#pragma once

/// \file
/// \brief Includes all headers of the membership library.

#include "greengagehub/membership/domain_discovery.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/membership/member.hpp"
#include "greengagehub/membership/member_sync.hpp"
#include "greengagehub/membership/member_table.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/membership/seed_publisher.hpp"
#include "greengagehub/membership/watch_lease.hpp"
#include "greengagehub/membership/watch_schedule.hpp"
