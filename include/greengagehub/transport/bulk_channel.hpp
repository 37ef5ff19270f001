#pragma once

#include "greengagehub/transport/bulk_message.hpp"
#include "greengagehub/transport/gossip_socket.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace greengagehub {

/// \brief Request and reply between daemons over ZeroMQ, for data too large for
/// datagrams: sequences of version entries, snapshots and member tables.
class BulkChannel
{
public:
  using RequestHandler = std::function<PullAnswer(const PullRequest&)>;
  /// Called after an answer was sent, with its compressed size in bytes.
  using AnswerSentHandler =
    std::function<void(const PullRequest&, std::size_t aBytes)>;
  /// Called once per pull; std::nullopt if no valid answer arrived in time.
  using PullCallback = std::function<void(std::optional<PullAnswer>)>;

  /// \param aPort TCP port to listen on; 0 picks a free port.
  BulkChannel(asio::io_context& aLoop,
              const std::string& aHost,
              std::uint16_t aPort,
              RequestHandler aOnRequest,
              AnswerSentHandler aOnAnswerSent);
  ~BulkChannel();
  BulkChannel(const BulkChannel&) = delete;
  BulkChannel& operator=(const BulkChannel&) = delete;

  [[nodiscard]] std::uint16_t Port() const noexcept;
  [[nodiscard]] const TrafficCounts& Counts() const noexcept;

  /// \returns Size of the encoded request in bytes.
  std::size_t Pull(const MemberAddress& aPeer,
                   const PullRequest& aRequest,
                   std::chrono::milliseconds aTimeout,
                   PullCallback aCallback);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}
