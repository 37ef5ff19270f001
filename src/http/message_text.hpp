#pragma once

#include "greengagehub/http/backend_client.hpp"
#include "greengagehub/http/http_message.hpp"

#include <string>

namespace greengagehub {

/// \returns The serialized head of a response, with its own Content-Length and
/// without headers that concern the backend server's connection.
/// \param aClose adds "Connection: close".
[[nodiscard]] std::string
ResponseHead(const HttpResponse& aResponse, bool aClose);

/// \returns The response to a request that there is no room for.
[[nodiscard]] HttpResponse
NoRoomResponse();

[[nodiscard]] std::string
RequestHead(const BackendRequest& aRequest);

}
