#include "greengagehub/transport/codec.hpp"

#include "greengagehub/transport/frame_body.hpp"

#include "link.pb.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace greengagehub {

namespace {

constexpr std::uint32_t kLastClass =
  static_cast<std::uint32_t>(CallClass::Export);
constexpr std::uint32_t kLastOutcome =
  static_cast<std::uint32_t>(CallOutcome::Unknown);
constexpr std::uint32_t kLastReason =
  static_cast<std::uint32_t>(RefusalReason::Busy);
constexpr unsigned kByteBits = 8;
/// Longer than any attempt; a higher value is no time.
constexpr std::chrono::microseconds kMaxTimeAtWorker = std::chrono::hours{ 1 };

constexpr std::size_t kHeadLengthBytes = 4;
/// Top bit of the head length: the head is compressed.
constexpr std::uint32_t kDeflatedFlag = 0x8000'0000U;

void
AppendBigEndian(std::string& aOut, std::uint32_t aNumber)
{
  for (unsigned shift = 3; shift < kFrameLengthBytes; --shift) {
    aOut += static_cast<char>((aNumber >> (shift * kByteBits)) & 0xFFU);
  }
}

/// \returns A reason that older daemons can decode. They close the link on an
/// unknown value, so newer reasons are sent in separate fields.
RefusalReason
CompatibleReason(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::WorkerCrashed:
      return RefusalReason::AnswerLost;
    case RefusalReason::Quarantined:
      return RefusalReason::Cancelled;
    case RefusalReason::RetryBudgetExhausted:
    case RefusalReason::RateLimited:
    case RefusalReason::LinkBusy:
      return RefusalReason::Overloaded;
    case RefusalReason::NotInService:
    case RefusalReason::ConfigBehind:
      // A worker that may not run the call is equivalent to no worker.
      return RefusalReason::NoWorker;
    default:
      return aReason;
  }
}

Error
Malformed(const char* aWhat)
{
  return Error{ ErrorCode::Corrupt, aWhat };
}

/// The fields have the same names in requests and answers.
template<class Message>
void
LimitToWire(const WorkerStatement& aStatement, Message& aOut)
{
  if (aStatement.m_rateLimit) {
    aOut.set_rate_limit(*aStatement.m_rateLimit);
  }
  if (!aStatement.IsEmpty()) {
    aOut.set_worker_start(aStatement.m_incarnation);
  }
}

template<class Message>
WorkerStatement
LimitFromWire(const Message& aWire)
{
  WorkerStatement statement;
  statement.m_incarnation = aWire.worker_start();
  const bool isLimit = aWire.has_rate_limit() &&
                       std::isfinite(aWire.rate_limit()) &&
                       aWire.rate_limit() >= 0.0;
  if (isLimit) {
    statement.m_rateLimit = aWire.rate_limit();
  }
  return statement;
}

template<class Message>
void
HeadersToWire(const std::vector<HttpHeader>& aHeaders, Message& aOut)
{
  for (const HttpHeader& each : aHeaders) {
    wire::Header& header = *aOut.add_headers();
    header.set_name(each.m_name);
    header.set_value(each.m_value);
  }
}

template<class Message>
std::vector<HttpHeader>
HeadersFromWire(const Message& aWire)
{
  std::vector<HttpHeader> headers;
  headers.reserve(static_cast<std::size_t>(aWire.headers_size()));
  for (const auto& each : aWire.headers()) {
    headers.push_back(HttpHeader{ each.name(), each.value() });
  }
  return headers;
}

struct ToWire
{
  wire::Frame& m_out;

  void operator()(const LinkHello& aHello) const
  {
    wire::Hello& out = *m_out.mutable_hello();
    out.set_slot(aHello.m_slot);
    out.set_incarnation(aHello.m_process);
    out.set_epoch(aHello.m_epoch);
    out.set_domain(aHello.m_domain);
    out.set_callee(aHello.m_callee);
    out.set_takes_parts(aHello.m_takesParts);
  }
  void operator()(const CallRequest& aRequest) const
  {
    wire::CallRequest& out = *m_out.mutable_request();
    out.set_call(aRequest.m_call);
    out.set_service(aRequest.m_service);
    out.set_method(aRequest.m_method);
    out.set_target(aRequest.m_target);
    HeadersToWire(aRequest.m_headers, out);
    out.set_deadline_us(
      static_cast<std::uint64_t>(aRequest.m_timeLeft.count()));
    out.set_call_class(static_cast<std::uint32_t>(aRequest.m_class));
    out.set_idempotent(aRequest.m_idempotent);
    out.set_depth(aRequest.m_depth);
    out.set_tries(aRequest.m_retriesLeft);
    out.set_is_repeat(aRequest.m_isRetry);
    out.set_refuse_if_busy(aRequest.m_refuseIfBusy);
    out.set_priority(aRequest.m_priority);
    out.set_kind_target_ms(
      static_cast<std::uint64_t>(aRequest.m_kind.m_target.count()));
    out.set_kind_route(aRequest.m_kind.m_route);
    out.set_target_us(static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, aRequest.m_targetLeft.count())));
    LimitToWire(aRequest.m_knownStatement, out);
    out.set_workspace(aRequest.m_share.m_workspace);
    out.set_workspace_weight(aRequest.m_share.m_weight);
    out.set_answer_transfer_us(
      static_cast<std::uint64_t>(aRequest.m_answerTransfer.count()));
    out.set_answer_bytes(
      static_cast<std::uint64_t>(aRequest.m_answerSize.m_mean));
    out.set_answer_spread_bytes(
      static_cast<std::uint64_t>(aRequest.m_answerSize.m_deviation));
    out.set_body_bytes(aRequest.m_bodyBytesToFollow);
    out.set_version(aRequest.m_routedBy.m_number);
  }
  void operator()(const CallAnswer& aAnswer) const
  {
    wire::CallAnswer& out = *m_out.mutable_answer();
    out.set_call(aAnswer.m_call);
    out.set_outcome(static_cast<std::uint32_t>(aAnswer.m_outcome));
    out.set_reason(
      static_cast<std::uint32_t>(CompatibleReason(aAnswer.m_reason)));
    out.set_held(aAnswer.m_reason == RefusalReason::Quarantined);
    out.set_no_repeats(aAnswer.m_reason == RefusalReason::RetryBudgetExhausted);
    out.set_rate_limited(aAnswer.m_reason == RefusalReason::RateLimited);
    out.set_link_busy(aAnswer.m_reason == RefusalReason::LinkBusy);
    out.set_caller_behind(aAnswer.m_reason == RefusalReason::ConfigBehind);
    out.set_version(aAnswer.m_newerVersion.m_number);
    out.set_link_wait_us(
      static_cast<std::uint64_t>(aAnswer.m_linkWait.count()));
    LimitToWire(aAnswer.m_statement, out);
    out.set_worker_leaving(aAnswer.m_statement.m_isLeaving);
    if (aAnswer.m_reason == RefusalReason::WorkerCrashed) {
      out.set_ends(std::max(1U, aAnswer.m_crashCount));
    }
    out.set_status(aAnswer.m_response.m_status);
    HeadersToWire(aAnswer.m_response.m_headers, out);
    out.set_retry_after_ms(
      static_cast<std::uint64_t>(aAnswer.m_retryAfter.count()));
    out.set_load(aAnswer.m_load);
    out.set_reached_worker(aAnswer.m_reachedWorker);
    out.set_slots(aAnswer.m_slots);
    out.set_wait_us(static_cast<std::uint64_t>(aAnswer.m_wait.count()));
    out.set_service_us(
      static_cast<std::uint64_t>(aAnswer.m_serviceTime.count()));
    out.set_body_bytes(aAnswer.m_bodyBytesToFollow);
    if (aAnswer.m_timeAtWorker) {
      out.set_time_at_worker_us(
        static_cast<std::uint64_t>(aAnswer.m_timeAtWorker->count()));
    }
  }
  void operator()(const LinkCancel& aCancel) const
  {
    m_out.mutable_cancel()->set_call(aCancel.m_call);
    m_out.mutable_cancel()->set_abandon(aCancel.m_abandon);
  }
  void operator()(const LinkCancelResult& aResult) const
  {
    m_out.mutable_cancel_result()->set_call(aResult.m_call);
    m_out.mutable_cancel_result()->set_started(aResult.m_started);
    m_out.mutable_cancel_result()->set_lost(aResult.m_lost);
  }
  void operator()(const LinkPing& aPing) const
  {
    m_out.set_ping(aPing.m_number);
  }
  void operator()(const LinkPong& aPong) const
  {
    m_out.set_pong(aPong.m_number);
  }
  void operator()(const LinkDraining& /*aLeaving*/) const
  {
    m_out.set_leaving(true);
  }
  void operator()(const LinkBodyPart& /*aPart*/) const
  {
    m_out.set_body_part(true);
  }
};

/// Bounds what another daemon may make this one expect.
constexpr std::uint64_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr std::chrono::microseconds kMaxLinkTime = std::chrono::minutes{ 1 };

std::chrono::microseconds
LinkTimeFrom(std::uint64_t aMicroseconds)
{
  const auto longest = static_cast<std::uint64_t>(kMaxLinkTime.count());
  return std::chrono::microseconds{ std::min(aMicroseconds, longest) };
}

Outcome<LinkFrame>
RequestFrom(const wire::CallRequest& aWire, std::string_view aBody)
{
  if (aWire.call_class() > kLastClass) {
    return Malformed("call request: unknown call_class");
  }
  CallRequest request;
  request.m_call = aWire.call();
  request.m_service = aWire.service();
  request.m_method = aWire.method();
  request.m_target = aWire.target();
  request.m_headers = HeadersFromWire(aWire);
  request.m_body = aBody;
  request.m_bodyBytesToFollow = aWire.body_bytes();
  request.m_timeLeft = std::chrono::microseconds{ aWire.deadline_us() };
  request.m_class = static_cast<CallClass>(aWire.call_class());
  request.m_idempotent = aWire.idempotent();
  request.m_depth = aWire.depth();
  request.m_retriesLeft = aWire.tries();
  request.m_isRetry = aWire.is_repeat();
  request.m_refuseIfBusy = aWire.refuse_if_busy();
  request.m_priority = aWire.priority();
  request.m_kind = { std::chrono::milliseconds{ aWire.kind_target_ms() },
                     aWire.kind_route() };
  request.m_targetLeft = std::chrono::microseconds{ aWire.target_us() };
  request.m_knownStatement = LimitFromWire(aWire);
  request.m_share = { aWire.workspace(), aWire.workspace_weight() };
  request.m_answerTransfer = LinkTimeFrom(aWire.answer_transfer_us());
  request.m_answerSize = {
    static_cast<double>(std::min(aWire.answer_bytes(), kMaxAnswerBytes)),
    static_cast<double>(std::min(aWire.answer_spread_bytes(), kMaxAnswerBytes))
  };
  request.m_routedBy = Version{ aWire.version() };
  return LinkFrame{ std::move(request) };
}

bool
IsValidResponse(const HttpResponse& aResponse)
{
  return IsFinalStatus(aResponse.m_status) &&
         std::ranges::all_of(aResponse.m_headers,
                             [](const HttpHeader& aHeader) {
                               return !aHeader.m_name.empty() &&
                                      HasOnlyTokenChars(aHeader.m_name) &&
                                      IsFieldValue(aHeader.m_value);
                             });
}

Outcome<LinkFrame>
AnswerFrom(const wire::CallAnswer& aWire, std::string_view aBody)
{
  const bool isValid = aWire.outcome() <= kLastOutcome &&
                       aWire.reason() <= kLastReason &&
                       aWire.status() <= UINT16_MAX;
  if (!isValid) {
    return Malformed("call answer: outcome, reason or status out of range");
  }
  CallAnswer answer;
  answer.m_call = aWire.call();
  answer.m_outcome = static_cast<CallOutcome>(aWire.outcome());
  answer.m_reason = static_cast<RefusalReason>(aWire.reason());
  if (aWire.held()) {
    answer.m_reason = RefusalReason::Quarantined;
  } else if (aWire.no_repeats()) {
    answer.m_reason = RefusalReason::RetryBudgetExhausted;
  } else if (aWire.rate_limited()) {
    answer.m_reason = RefusalReason::RateLimited;
  } else if (aWire.link_busy()) {
    answer.m_reason = RefusalReason::LinkBusy;
  } else if (aWire.caller_behind()) {
    answer.m_reason = RefusalReason::ConfigBehind;
  } else if (aWire.ends() > 0) {
    answer.m_reason = RefusalReason::WorkerCrashed;
  }
  answer.m_crashCount = aWire.ends();
  answer.m_statement = LimitFromWire(aWire);
  answer.m_statement.m_isLeaving = aWire.worker_leaving();
  answer.m_response.m_status = static_cast<std::uint16_t>(aWire.status());
  answer.m_response.m_headers = HeadersFromWire(aWire);
  answer.m_response.m_body = aBody;
  answer.m_bodyBytesToFollow = aWire.body_bytes();
  if (answer.m_outcome == CallOutcome::Answered &&
      !IsValidResponse(answer.m_response)) {
    answer.m_outcome = CallOutcome::Unknown;
    answer.m_reason = RefusalReason::AnswerLost;
    answer.m_response = {};
  }
  answer.m_retryAfter = std::chrono::milliseconds{ aWire.retry_after_ms() };
  answer.m_load = aWire.load();
  answer.m_reachedWorker = aWire.reached_worker();
  answer.m_slots = aWire.slots();
  answer.m_wait = std::chrono::microseconds{ aWire.wait_us() };
  answer.m_serviceTime = std::chrono::microseconds{ aWire.service_us() };
  constexpr auto kMaxTime =
    static_cast<std::uint64_t>(kMaxTimeAtWorker.count());
  if (aWire.has_time_at_worker_us() && aWire.time_at_worker_us() <= kMaxTime) {
    answer.m_timeAtWorker =
      std::chrono::microseconds{ aWire.time_at_worker_us() };
  }
  answer.m_linkWait = LinkTimeFrom(aWire.link_wait_us());
  answer.m_newerVersion = Version{ aWire.version() };
  return LinkFrame{ std::move(answer) };
}

}

void
AppendFrame(std::string& aOut, const LinkFrame& aFrame, LinkDeflater* aDeflater)
{
  const Body* body = BodyOf(aFrame);
  const auto bytes = body != nullptr ? body->View() : std::string_view{};
  AppendFrameHead(aOut, aFrame, bytes.size(), aDeflater);
  aOut += bytes;
}

void
AppendFrameHead(std::string& aOut,
                const LinkFrame& aFrame,
                std::size_t aBodyBytes,
                LinkDeflater* aDeflater)
{
  wire::Frame frame;
  std::visit(ToWire{ frame }, aFrame);
  std::string head;
  frame.AppendToString(&head);
  std::uint32_t flags = 0;
  if (aDeflater != nullptr) {
    head = aDeflater->Deflate(head);
    flags = kDeflatedFlag;
  }
  const auto headSize = static_cast<std::uint32_t>(head.size());
  AppendBigEndian(
    aOut, static_cast<std::uint32_t>(kHeadLengthBytes + headSize + aBodyBytes));
  AppendBigEndian(aOut, headSize | flags);
  aOut += head;
}

std::size_t
FrameLength(const char* aHeader) noexcept
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    length = (length << kByteBits) | static_cast<unsigned char>(aHeader[i]);
  }
  return length;
}

Outcome<LinkFrame>
DecodeFrame(std::string_view aBytes, LinkInflater* aInflater)
{
  if (aBytes.size() < kHeadLengthBytes) {
    return Malformed("frame: too short for the head length");
  }
  const std::size_t headField = FrameLength(aBytes.data());
  const std::size_t headSize = headField & ~std::size_t{ kDeflatedFlag };
  aBytes.remove_prefix(kHeadLengthBytes);
  if (headSize > aBytes.size()) {
    return Malformed("frame: head length exceeds the frame");
  }
  std::string_view head = aBytes.substr(0, headSize);
  const std::string_view body = aBytes.substr(headSize);
  std::string inflated;
  if ((headField & kDeflatedFlag) != 0) {
    if (aInflater == nullptr) {
      return Malformed("frame: unexpected compressed head");
    }
    auto plain = aInflater->Inflate(head, kMaxFrameBytes);
    if (!plain) {
      return plain.error();
    }
    inflated = std::move(plain.value());
    head = inflated;
  }
  wire::Frame frame;
  if (!frame.ParseFromArray(head.data(), static_cast<int>(head.size()))) {
    return Malformed("frame: invalid encoding of the head");
  }
  switch (frame.kind_case()) {
    case wire::Frame::kHello:
      return LinkFrame{ LinkHello{ frame.hello().slot(),
                                   frame.hello().incarnation(),
                                   frame.hello().epoch(),
                                   frame.hello().domain(),
                                   frame.hello().callee(),
                                   frame.hello().takes_parts() } };
    case wire::Frame::kRequest:
      return RequestFrom(frame.request(), body);
    case wire::Frame::kAnswer:
      return AnswerFrom(frame.answer(), body);
    case wire::Frame::kCancel:
      return LinkFrame{ LinkCancel{ frame.cancel().call(),
                                    frame.cancel().abandon() } };
    case wire::Frame::kCancelResult:
      return LinkFrame{ LinkCancelResult{ frame.cancel_result().call(),
                                          frame.cancel_result().started(),
                                          frame.cancel_result().lost() } };
    case wire::Frame::kPing:
      return LinkFrame{ LinkPing{ frame.ping() } };
    case wire::Frame::kPong:
      return LinkFrame{ LinkPong{ frame.pong() } };
    case wire::Frame::kLeaving:
      return LinkFrame{ LinkDraining{} };
    case wire::Frame::kBodyPart:
      return LinkFrame{ LinkBodyPart{ body } };
    case wire::Frame::KIND_NOT_SET:
      break;
  }
  return Malformed("frame: unknown kind");
}

}
