#pragma once

/// \file
/// \brief Includes the public headers of the config library.

#include "greengagehub/config/compaction_process.hpp"
#include "greengagehub/config/config_copy.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/content.hpp"
#include "greengagehub/config/decision.hpp"
#include "greengagehub/config/decision_process.hpp"
#include "greengagehub/config/readiness_gate.hpp"
#include "greengagehub/config/reason.hpp"
#include "greengagehub/config/snapshot_reader.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/config/version_times.hpp"
