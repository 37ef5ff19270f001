#pragma once

/// \file
/// \brief Includes the public headers of the core library.

#include "greengagehub/core/body.hpp"
#include "greengagehub/core/byte_budget.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/compression.hpp"
#include "greengagehub/core/digest.hpp"
#include "greengagehub/core/error.hpp"
#include "greengagehub/core/field_reader.hpp"
#include "greengagehub/core/link_pacer.hpp"
#include "greengagehub/core/outcome.hpp"
#include "greengagehub/core/parse_json.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/core/table.hpp"
#include "greengagehub/core/version.hpp"
