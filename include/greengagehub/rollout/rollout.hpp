#pragma once

/// \file
/// \brief Versions of a service tried, judged, and completed or rolled back.

#include "greengagehub/rollout/rollout_holder.hpp"
#include "greengagehub/rollout/rollout_plan.hpp"
#include "greengagehub/rollout/rollout_record.hpp"
#include "greengagehub/rollout/rollout_table.hpp"
#include "greengagehub/rollout/run_counts.hpp"
#include "greengagehub/rollout/status_writer.hpp"
#include "greengagehub/rollout/version_judge.hpp"
