#pragma once

/// \file
/// \brief Everything of the http library.

#include "greengagehub/http/http_client.hpp"
#include "greengagehub/http/http_message.hpp"
#include "greengagehub/http/http_server.hpp"
