#include "listen.hpp"

namespace greengagehub {

using asio::ip::tcp;

asio::error_code
Listen(tcp::acceptor& aAcceptor, const std::string& aHost, std::uint16_t aPort)
{
  asio::error_code error;
  const tcp::endpoint endpoint{ asio::ip::make_address(aHost, error), aPort };
  if (!error) {
    aAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address{ true }, error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

}
