#pragma once

#include "greengagehub/http/http_client.hpp"

namespace greengagehub {

/// \brief Sends a request and blocks until its result; for command-line tools.
[[nodiscard]] HttpClientResult
SendAndWait(HttpClientRequest aRequest);

}
