#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/worker_signals.hpp"
#include "greengagehub/observe/span.hpp"
#include "greengagehub/quarantine/fingerprint.hpp"

#include <chrono>
#include <string_view>
#include <vector>

namespace greengagehub {

/// W3C trace context.
inline constexpr std::string_view kTraceparentHeader = "traceparent";
/// Number of hops before this call. Workers copy it to the calls they make.
inline constexpr std::string_view kDepthHeader = "Greengagehub-Depth";
/// Number of retries that the call may still use; workers copy it, too.
inline constexpr std::string_view kRetriesHeader = "Greengagehub-Tries";
/// "not-run" or "unknown"; set on answers that a daemon generated.
inline constexpr std::string_view kOutcomeHeader = "Greengagehub-Outcome";
inline constexpr std::string_view kReasonHeader = "Greengagehub-Reason";
inline constexpr std::string_view kRetryAfterHeader =
  "Greengagehub-Retry-After-Ms";

/// \returns The Host header without its port, in lower case.
[[nodiscard]] std::string
HostOf(const std::vector<HttpHeader>& aHeaders);

/// \returns The fingerprint under which quarantine counts the call.
[[nodiscard]] Fingerprint
CallFingerprint(const CallDialect& aDialect, const CallRequest& aCall);

/// \returns The call's headers with the deadline, the expected instance and,
/// where the dialect has them, the hop headers.
/// \param aInstance the backend server that must run the call; empty: any.
[[nodiscard]] std::vector<HttpHeader>
HeadersToWorker(const CallDialect& aDialect,
                const CallRequest& aCall,
                std::chrono::milliseconds aTimeLeft,
                const TraceContext& aSpan,
                const std::string& aInstance);

/// \returns The caller's headers without connection headers and without those
/// that daemons set.
[[nodiscard]] std::vector<HttpHeader>
HeadersFromCaller(const CallDialect& aDialect,
                  std::vector<HttpHeader> aHeaders);

/// \returns The value of a header, or the default if it is missing or not an
/// unsigned decimal number.
[[nodiscard]] std::uint64_t
ParseNumberHeader(const std::vector<HttpHeader>& aHeaders,
                  std::string_view aName,
                  std::uint64_t aDefault);

/// \param aHeaders of a backend server's response.
[[nodiscard]] WorkerSignals
ParseWorkerSignals(const CallDialect& aDialect,
                   const std::vector<HttpHeader>& aHeaders);

[[nodiscard]] std::uint16_t
StatusOf(const CallAnswer& aAnswer);

/// \returns The response to the caller: the worker's own, or a refusal with
/// status, Retry-After, outcome headers and JSON body.
[[nodiscard]] HttpResponse
ResponseFor(const CallDialect& aDialect, CallAnswer aAnswer);

}
