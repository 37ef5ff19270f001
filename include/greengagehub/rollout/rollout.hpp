#pragma once

/// \file
/// \brief Roll-outs of a new version of a service: canary analysis, completion
/// and rollback.

#include "greengagehub/rollout/canary_analyzer.hpp"
#include "greengagehub/rollout/rollout_leader.hpp"
#include "greengagehub/rollout/rollout_plan.hpp"
#include "greengagehub/rollout/rollout_record.hpp"
#include "greengagehub/rollout/rollout_table.hpp"
#include "greengagehub/rollout/run_counts.hpp"
#include "greengagehub/rollout/status_writer.hpp"
