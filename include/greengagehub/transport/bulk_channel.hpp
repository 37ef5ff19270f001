#pragma once

#include "greengagehub/transport/bulk_message.hpp"
#include "greengagehub/transport/gossip_socket.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace greengagehub {

/// \brief Pulls between daemons over ZeroMQ: runs of entries, snapshots and
/// member tables, too large or too rare for datagrams.
class BulkChannel
{
public:
  using Serve = std::function<PullAnswer(const PullRequest&)>;
  /// An answer of so many bytes was sent.
  using Answered = std::function<void(const PullRequest&, std::size_t aBytes)>;
  /// Called with nothing when no whole answer came in time.
  using Done = std::function<void(std::optional<PullAnswer>)>;

  /// \param aPort 0 lets the system choose.
  BulkChannel(asio::io_context& aLoop,
              const std::string& aHost,
              std::uint16_t aPort,
              Serve aServe,
              Answered aAnswered);
  ~BulkChannel();
  BulkChannel(const BulkChannel&) = delete;
  BulkChannel& operator=(const BulkChannel&) = delete;

  [[nodiscard]] std::uint16_t Port() const noexcept;
  [[nodiscard]] const TrafficCounts& Counts() const noexcept;

  /// \returns Bytes of the question.
  std::size_t Pull(const MemberAddress& aPeer,
                   const PullRequest& aRequest,
                   std::chrono::milliseconds aTimeout,
                   Done aDone);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}
