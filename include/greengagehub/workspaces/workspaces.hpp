#pragma once

/// \file
/// \brief Workspaces: keys, proofs of freshness, quotas over the fleet.

#include "greengagehub/workspaces/coordinator_role.hpp"
#include "greengagehub/workspaces/freshness.hpp"
#include "greengagehub/workspaces/quota_client.hpp"
#include "greengagehub/workspaces/quota_coordinator.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "greengagehub/workspaces/quota_terms.hpp"
#include "greengagehub/workspaces/workspace_table.hpp"
