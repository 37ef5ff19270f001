#pragma once

/// \file
/// \brief Includes logs, metrics and spans of the observe library.

#include "greengagehub/observe/log.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/observe/span.hpp"
