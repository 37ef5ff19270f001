#pragma once

/// \file
/// \brief Everything of the observe library: logs, metrics, spans.

#include "greengagehub/observe/log.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/observe/span.hpp"
