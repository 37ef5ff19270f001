#pragma once

/// \file
/// \brief Workspaces: API keys, freshness proofs and fleet-wide quotas.

#include "greengagehub/workspaces/config_freshness.hpp"
#include "greengagehub/workspaces/coordinator_role.hpp"
#include "greengagehub/workspaces/coordinator_roles.hpp"
#include "greengagehub/workspaces/querier_monitor.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"
#include "greengagehub/workspaces/quota_client.hpp"
#include "greengagehub/workspaces/quota_coordinator.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "greengagehub/workspaces/reserve_book.hpp"
#include "greengagehub/workspaces/shard_condition.hpp"
#include "greengagehub/workspaces/shard_link.hpp"
#include "greengagehub/workspaces/store_check.hpp"
#include "greengagehub/workspaces/token_purse.hpp"
#include "greengagehub/workspaces/workspace_table.hpp"
