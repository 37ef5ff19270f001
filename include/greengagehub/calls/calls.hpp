#pragma once

/// \file
/// \brief Includes the public headers of the calls library.

#include "greengagehub/calls/answer_sizes.hpp"
#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/call_age_estimator.hpp"
#include "greengagehub/calls/call_kind.hpp"
#include "greengagehub/calls/call_share.hpp"
#include "greengagehub/calls/decision_settings.hpp"
#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/fair_shares.hpp"
#include "greengagehub/calls/link_booking.hpp"
#include "greengagehub/calls/placement.hpp"
#include "greengagehub/calls/retry_budget.hpp"
#include "greengagehub/calls/route_table.hpp"
#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/send_limiter.hpp"
#include "greengagehub/calls/slowness_detector.hpp"
#include "greengagehub/calls/work_order.hpp"
#include "greengagehub/calls/worker_signal_table.hpp"
#include "greengagehub/calls/worker_signals.hpp"
#include "greengagehub/calls/worker_table.hpp"
