#pragma once

/// \file
/// \brief Includes the headers of the http library.

#include "greengagehub/http/http_client.hpp"
#include "greengagehub/http/http_message.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/http/response_fault.hpp"
