#pragma once

#include "greengagehub/http/backend_client.hpp"
#include "greengagehub/http/http_message.hpp"

#include <string>

namespace greengagehub {

/// \returns The serialized response, with its own Content-Length and without
/// headers that concern the backend server's connection.
/// \param aIsHeadRequest omits the body, as in the answer to a HEAD request.
/// \param aClose adds "Connection: close".
[[nodiscard]] std::string
ResponseText(const HttpResponse& aResponse, bool aIsHeadRequest, bool aClose);

[[nodiscard]] std::string
RequestText(const BackendRequest& aRequest);

}
