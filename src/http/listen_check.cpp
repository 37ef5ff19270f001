#include "greengagehub/http/listen_check.hpp"

#include <asio/steady_timer.hpp>
#include <memory>

namespace greengagehub {

namespace {

struct Check
{
  explicit Check(asio::io_context& aLoop)
    : m_socket(aLoop)
    , m_timer(aLoop)
  {
  }

  void Complete(ListenStatus aResult)
  {
    if (!m_done) {
      return;
    }
    const auto done = std::move(m_done);
    m_done = nullptr;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    done(aResult);
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::function<void(ListenStatus)> m_done;
};

ListenStatus
ResultOf(const asio::error_code& aError)
{
  if (!aError) {
    return ListenStatus::Yes;
  }
  return aError == asio::error::connection_refused ? ListenStatus::No
                                                   : ListenStatus::Unknown;
}

}

void
CheckListening(asio::io_context& aLoop,
               const asio::ip::tcp::endpoint& aAddress,
               std::chrono::milliseconds aTimeout,
               std::function<void(ListenStatus)> aDone)
{
  const auto check = std::make_shared<Check>(aLoop);
  check->m_done = std::move(aDone);
  check->m_timer.expires_after(aTimeout);
  check->m_timer.async_wait([check](const asio::error_code& aError) {
    if (!aError) {
      check->Complete(ListenStatus::Unknown);
    }
  });
  check->m_socket.async_connect(aAddress,
                                [check](const asio::error_code& aError) {
                                  check->Complete(ResultOf(aError));
                                });
}

}
