#pragma once

#include "greengagehub/http/backend_client.hpp"
#include "greengagehub/http/http_message.hpp"

#include <string>

namespace greengagehub {

/// \returns The response as it goes to a client: with its length, without the
/// headers that concern the worker's own connection.
/// \param aHead the request was HEAD, so that no body follows.
/// \param aClose the connection ends with it.
[[nodiscard]] std::string
ResponseText(const HttpResponse& aResponse, bool aHead, bool aClose);

/// \returns The request as it goes to the backend server.
[[nodiscard]] std::string
RequestText(const BackendRequest& aRequest);

}
