#pragma once

#include "greengagehub/http/http_client.hpp"

namespace greengagehub {

/// \brief Sends one request and waits for what becomes of it; for tools that
/// have nothing else to do meanwhile.
[[nodiscard]] HttpClientResult
SendAndWait(HttpClientRequest aRequest);

}
