#include "greengagehub/http/blocking_client.hpp"

namespace greengagehub {

HttpClientResult
SendAndWait(HttpClientRequest aRequest)
{
  asio::io_context loop;
  HttpClient client{ loop };
  HttpClientResult result;
  bool done = false;
  client.Send(std::move(aRequest), [&](HttpClientResult aResult) {
    result = std::move(aResult);
    done = true;
  });
  while (!done) {
    loop.run_one();
  }
  return result;
}

}
