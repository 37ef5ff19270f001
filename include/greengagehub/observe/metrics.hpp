#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Metrics of a daemon, exposed in the Prometheus text format.
///
/// All names start with `greengagehub_`; docs/OPERATIONS.md lists them.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// \brief Counts a final response to a caller.
  void CountCall(std::string_view aOutcome, std::string_view aReason);
  /// \brief Counts an attempt at the local worker that finished or was
  /// rejected.
  void CountRun(std::string_view aResult);
  void CountWorkerCrash();
  /// \brief Counts a request sent to the local worker.
  void CountWorkerRequest();
  /// \brief Counts bytes of the local worker that are no response.
  void CountBrokenAnswer(std::string_view aReason);
  /// \brief Counts the close of a caller's connection.
  void CountClosedConnection(std::string_view aState, std::string_view aCause);
  /// \brief Counts a request whose client disconnected before the answer.
  /// \param aStage that the request had reached, such as "unread".
  void CountAbandoned(std::string_view aStage);
  /// \brief Counts the cancellation of an attempt at another daemon whose
  /// answer is no longer needed.
  void CountCancellation(std::string_view aDelivery);
  void CountRejectedReport(std::string_view aReason);
  /// \brief Sets the total of control traffic, in bytes since start.
  void SetBytes(std::string_view aPurpose,
                std::string_view aDirection,
                std::uint64_t aTotal);
  /// \brief Sets the total of requests to the store since start.
  void SetStoreCalls(std::string_view aKind, std::uint64_t aTotal);
  /// \brief Sets the total of events in the exchange of configuration versions
  /// since start.
  void SetVersionEvents(std::string_view aEvent, std::uint64_t aTotal);
  /// \param aName without the prefix `greengagehub_`.
  void SetGauge(std::string_view aName, std::string_view aHelp, double aValue);
  /// \brief Records the time from a caller's request to its response.
  void ObserveLatency(double aSeconds);

  [[nodiscard]] std::string Expose() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
