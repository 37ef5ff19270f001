#pragma once

/// \file
/// \brief Includes the headers of the net library.

#include "greengagehub/net/descriptors.hpp"
#include "greengagehub/net/pending_input.hpp"
#include "greengagehub/net/socket_queues.hpp"
