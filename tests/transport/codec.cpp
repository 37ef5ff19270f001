#include "greengagehub/transport/codec.hpp"

#include "greengagehub/core/random.hpp"

#include "link.pb.h"

#include <doctest/doctest.h>
#include <limits>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

GossipMessage
TestGossip()
{
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Ack;
  message.m_sender.m_slot = "a";
  message.m_sender.m_workerIncarnation = 4'000'000'000U;
  message.m_sender.m_isWorkerLeaving = true;
  message.m_sender.m_workerIdTag = 3'000'000'000U;
  message.m_previousWorker = { 18, 7, "v2", true, 9 };
  message.m_sender.m_address = { "127.0.0.1", 1, 2, 3 };
  message.m_sequence = 77;
  message.m_head = { Version{ 9 }, Sha256("chain") };
  message.m_minimumVersion = Version{ 8 };
  message.m_requestsHead = true;
  message.m_pushNumber = 7;
  message.m_confirmedPush = 8;
  message.m_reportsHead = true;
  for (int i = 0; i < 6; ++i) {
    MemberRecord record = message.m_sender;
    record.m_slot = "member-" + std::to_string(i);
    record.m_state = MemberState::Suspect;
    message.m_updates.push_back(record);
  }
  message.m_entries.push_back(
    { Version{ 9 }, R"({"services":{}})", Sha256("x"), Sha256("y") });
  CrashReport end{ 5, "lockers-1", "locker-app", 40ms, {} };
  end.m_ran.push_back({ { 1, 2 }, 60ms, std::nullopt });
  end.m_ran.push_back({ { 3, 4 }, 7ms, 900ms });
  message.m_quarantine.m_crashes.push_back(std::move(end));
  QuarantineVerdict verdict;
  verdict.m_fingerprint = { 1, 2 };
  verdict.m_service = "locker-app";
  verdict.m_generation = 2;
  verdict.m_cause = VerdictCause::Operator;
  verdict.m_crashCount = 3;
  verdict.m_age = 20s;
  message.m_quarantine.m_verdicts.push_back(std::move(verdict));
  message.m_verdicts = 99;
  return message;
}

std::string
TestFrame()
{
  CallRequest request;
  request.m_call = 5;
  request.m_method = "POST";
  request.m_target = "/release?x=1";
  request.m_headers = { { "X-Request-Id", "abc" } };
  request.m_body = std::string("\0\1binary", 8);
  request.m_timeLeft = std::chrono::microseconds{ 1500 };
  request.m_class = CallClass::Export;
  std::string bytes;
  AppendFrame(bytes, request);
  return bytes;
}

}

TEST_CASE("a datagram survives encoding and decoding")
{
  const GossipMessage sent = TestGossip();
  const auto got = DecodeGossip(EncodeGossip(sent, 1400));
  REQUIRE(got);
  CHECK(got.value().m_kind == sent.m_kind);
  CHECK(got.value().m_requestsHead);
  CHECK(got.value().m_pushNumber == 7);
  CHECK(got.value().m_confirmedPush == 8);
  CHECK(got.value().m_reportsHead);
  CHECK(got.value().m_sender.m_address == sent.m_sender.m_address);
  CHECK(got.value().m_sender.m_workerIncarnation == 4'000'000'000U);
  CHECK(got.value().m_sender.m_isWorkerLeaving);
  CHECK(got.value().m_sender.m_workerIdTag == 3'000'000'000U);
  CHECK(got.value().m_previousWorker == sent.m_previousWorker);
  CHECK(got.value().m_updates.size() == 6);
  CHECK(got.value().m_updates[3].m_state == MemberState::Suspect);
  CHECK(got.value().m_entries == sent.m_entries);
  CHECK(got.value().m_head.m_chain == sent.m_head.m_chain);
  CHECK(got.value().m_verdicts == 99);
  REQUIRE(got.value().m_quarantine.m_crashes.size() == 1);
  const CrashReport& end = got.value().m_quarantine.m_crashes[0];
  CHECK(end.m_id == 5);
  CHECK(end.m_slot == "lockers-1");
  CHECK(end.m_service == "locker-app");
  CHECK(end.m_age == 40ms);
  REQUIRE(end.m_ran.size() == 2);
  CHECK(end.m_ran[0].m_fingerprint == Fingerprint{ 1, 2 });
  CHECK(end.m_ran[0].m_ran == 60ms);
  CHECK_FALSE(end.m_ran[0].m_lastSuccess);
  CHECK(end.m_ran[1].m_lastSuccess == 900ms);
  REQUIRE(got.value().m_quarantine.m_verdicts.size() == 1);
  const QuarantineVerdict& verdict = got.value().m_quarantine.m_verdicts[0];
  CHECK(verdict.m_fingerprint == Fingerprint{ 1, 2 });
  CHECK(verdict.m_service == "locker-app");
  CHECK(verdict.m_generation == 2);
  CHECK_FALSE(verdict.m_isQuarantined);
  CHECK(verdict.m_cause == VerdictCause::Operator);
  CHECK(verdict.m_crashCount == 3);
  CHECK(verdict.m_age == 20s);
}

TEST_CASE("a roll-out and worker counts survive encoding and decoding")
{
  GossipMessage sent = TestGossip();
  RolloutRecord record;
  record.m_order = { "locker-app", "v2", 12'500ms };
  record.m_generation = 3;
  record.m_base = "v1";
  record.m_state = RolloutState::RolledBack;
  record.m_isWritten = true;
  record.m_cause = RollbackCause::Slowness;
  record.m_evidence = { 120, 30, 2 };
  record.m_step = 17;
  record.m_permit = { 40, 3, 6, 1200ms };
  record.m_age = 4s;
  sent.m_rollouts.push_back(record);
  sent.m_rolloutsDigest = 77;
  RouteCounts route{ 5, 100, 7, 2, {} };
  route.m_times[3] = 80;
  route.m_times[RunTimeHistogram::kBuckets - 1] = 1;
  sent.m_counts = WorkerCounts{ "ignored", 9, "locker-app", "v2", 4, 111, {} };
  sent.m_counts->m_routes.push_back(route);
  sent.m_sender.m_workerVersion = "v2";

  const auto got = DecodeGossip(EncodeGossip(sent, 1400));
  REQUIRE(got);
  CHECK(got.value().m_sender.m_workerVersion == "v2");
  CHECK(got.value().m_rolloutsDigest == 77);
  REQUIRE(got.value().m_rollouts.size() == 1);
  const RolloutRecord& decodedRecord = got.value().m_rollouts[0];
  CHECK(decodedRecord.m_order.m_service == "locker-app");
  CHECK(decodedRecord.m_order.m_target == "v2");
  CHECK(decodedRecord.m_order.m_duration == 12'500ms);
  CHECK(decodedRecord.m_generation == 3);
  CHECK(decodedRecord.m_base == "v1");
  CHECK(decodedRecord.m_state == RolloutState::RolledBack);
  CHECK(decodedRecord.m_isWritten);
  CHECK(decodedRecord.m_cause == RollbackCause::Slowness);
  CHECK(decodedRecord.m_evidence.m_runs == 120);
  CHECK(decodedRecord.m_evidence.m_badRuns == 30);
  CHECK(decodedRecord.m_evidence.m_expected == 2);
  CHECK(decodedRecord.m_step == 17);
  CHECK(decodedRecord.m_permit.m_permille == 40);
  CHECK(decodedRecord.m_permit.m_workers == 3);
  CHECK(decodedRecord.m_permit.m_first == 6);
  CHECK(decodedRecord.m_permit.m_remainingTime == 1200ms);
  CHECK(decodedRecord.m_age == 4s);
  REQUIRE(got.value().m_counts);
  const WorkerCounts& counts = *got.value().m_counts;
  // A daemon may report counts of its own worker only.
  CHECK(counts.m_slot == got.value().m_sender.m_slot);
  CHECK(counts.m_process == 9);
  CHECK(counts.m_version == "v2");
  CHECK(counts.m_pendingCalls == 4);
  CHECK(counts.m_arrived == 111);
  REQUIRE(counts.m_routes.size() == 1);
  CHECK(counts.m_routes[0].m_failed == 7);
  CHECK(counts.m_routes[0].m_times == route.m_times);
}

TEST_CASE(
  "newer refusal reasons are sent as values that older daemons can decode")
{
  // Older daemons close the link, with all calls on it, on an unknown reason.
  const auto lastKnown = RefusalReason::Busy;
  for (const RefusalReason reason : { RefusalReason::WorkerCrashed,
                                      RefusalReason::Quarantined,
                                      RefusalReason::RetryBudgetExhausted }) {
    CallAnswer sent = Refuse(3, CallOutcome::NotRun, reason, 5min);
    sent.m_crashCount = reason == RefusalReason::WorkerCrashed ? 2 : 0;
    std::string bytes;
    AppendFrame(bytes, sent);
    const auto frame =
      DecodeFrame(std::string_view{ bytes }.substr(kFrameLengthBytes));
    REQUIRE(frame);
    const auto& got = std::get<CallAnswer>(frame.value());
    CHECK(got.m_reason == reason);
    CHECK(got.m_crashCount == sent.m_crashCount);
    CHECK(got.m_retryAfter == 5min);

    wire::Frame headFrame;
    const std::string_view head =
      std::string_view{ bytes }.substr(2 * kFrameLengthBytes);
    REQUIRE(
      headFrame.ParseFromArray(head.data(), static_cast<int>(head.size())));
    CHECK(headFrame.answer().reason() <= static_cast<std::uint32_t>(lastKnown));
  }
}

TEST_CASE(
  "a datagram is truncated to the size limit: records first, then entries")
{
  const std::string bytes = EncodeGossip(TestGossip(), 300);
  CHECK(bytes.size() <= 300);
  const auto got = DecodeGossip(bytes);
  REQUIRE(got);
  CHECK(got.value().m_updates.size() < 6);
  CHECK(got.value().m_sequence == 77);
}

TEST_CASE("a frame survives encoding and decoding")
{
  const std::string bytes = TestFrame();
  REQUIRE(FrameLength(bytes.data()) == bytes.size() - kFrameLengthBytes);
  const auto frame =
    DecodeFrame(std::string_view{ bytes }.substr(kFrameLengthBytes));
  REQUIRE(frame);
  const auto& request = std::get<CallRequest>(frame.value());
  CHECK(request.m_body.Size() == 8);
  CHECK(request.m_class == CallClass::Export);
  CHECK(request.m_timeLeft.count() == 1500);
  CHECK(request.m_headers.at(0).m_value == "abc");
}

TEST_CASE("invalid and corrupted messages are errors and do not crash")
{
  Random random{ 11 };
  const std::string gossip = EncodeGossip(TestGossip(), 1400);
  const std::string frame = TestFrame().substr(kFrameLengthBytes);
  PullAnswer answer;
  answer.m_head = { Version{ 1 }, Sha256("x") };
  const std::string pull = EncodePullAnswer(answer);
  for (int i = 0; i < 100'000; ++i) {
    for (const std::string* original : { &gossip, &frame, &pull }) {
      std::string bytes = *original;
      for (std::uint64_t flips = 1 + Below(random, 4); flips > 0; --flips) {
        bytes[Below(random, bytes.size())] = static_cast<char>(random());
      }
      if (Below(random, 3) == 0) {
        bytes.resize(Below(random, bytes.size()));
      }
      const auto message = DecodeGossip(bytes);
      if (message) {
        CHECK(message.value().m_sender.m_state <= MemberState::Left);
      }
      static_cast<void>(DecodeFrame(bytes));
      static_cast<void>(DecodePullRequest(bytes));
      static_cast<void>(DecodePullAnswer(bytes));
    }
  }
}

TEST_CASE("a header that is not UTF-8 does not close the link")
{
  // HTTP allows other encodings; a frame that cannot be decoded closes the link
  // with all calls on it.
  CallRequest request;
  request.m_headers = { { "X-Name", "Bj\xf6rn" } };
  request.m_target = "/\xff";
  std::string bytes;
  AppendFrame(bytes, request);
  const auto frame =
    DecodeFrame(std::string_view{ bytes }.substr(kFrameLengthBytes));
  REQUIRE(frame);
  CHECK(std::get<CallRequest>(frame.value()).m_headers.at(0).m_value ==
        "Bj\xf6rn");
}

namespace {

LinkFrame
RoundTrip(const LinkFrame& aFrame)
{
  std::string bytes;
  AppendFrame(bytes, aFrame);
  auto decoded =
    DecodeFrame(std::string_view{ bytes }.substr(kFrameLengthBytes));
  REQUIRE(decoded);
  return std::move(decoded.value());
}

}

TEST_CASE("what a worker states survives encoding and decoding")
{
  CallRequest request;
  request.m_knownStatement = { 9, 0.0 };
  const auto gotRequest = std::get<CallRequest>(RoundTrip(request));
  CHECK(gotRequest.m_knownStatement.m_incarnation == 9);
  CHECK(gotRequest.m_knownStatement.m_rateLimit == 0.0);

  CallAnswer answer;
  answer.m_reason = RefusalReason::RateLimited;
  answer.m_statement = { 9, 37.6, true };
  const auto gotAnswer = std::get<CallAnswer>(RoundTrip(answer));
  CHECK(gotAnswer.m_reason == RefusalReason::RateLimited);
  CHECK(gotAnswer.m_statement.m_rateLimit == 37.6);
  CHECK(gotAnswer.m_statement.m_isLeaving);
  CHECK(gotAnswer.m_statement.m_incarnation == 9);

  const auto gotNone = std::get<CallAnswer>(RoundTrip(CallAnswer{}));
  CHECK(gotNone.m_statement.IsEmpty());
}

TEST_CASE("a limit from another daemon that is no rate is ignored")
{
  for (const double limit : { -1.0,
                              std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity() }) {
    CAPTURE(limit);
    CallRequest request;
    request.m_knownStatement = { 9, limit };
    const auto got = std::get<CallRequest>(RoundTrip(request));
    CHECK_FALSE(got.m_knownStatement.m_rateLimit);
  }
}

TEST_CASE("a broken response from another daemon is a lost answer")
{
  // Guards against a response that a daemon of an earlier version passes on.
  const auto roundTrip = [](HttpResponse aResponse) {
    CallAnswer answer;
    answer.m_call = 7;
    answer.m_outcome = CallOutcome::Answered;
    answer.m_reachedWorker = true;
    answer.m_response = std::move(aResponse);
    answer.m_response.m_body = std::string{ "ok" };
    return std::get<CallAnswer>(RoundTrip(answer));
  };
  const std::vector<HttpResponse> broken = {
    { .m_status = 0 },
    { .m_status = 101 },
    { .m_status = 600 },
    { .m_status = 200, .m_headers = { { "X Foo", "a" } } },
    { .m_status = 200, .m_headers = { { "", "a" } } },
    { .m_status = 200, .m_headers = { { "X-Foo", "a\r\nX-Bar: b" } } },
    { .m_status = 200, .m_headers = { { "X-Foo", std::string(1, '\0') } } },
  };
  for (const HttpResponse& each : broken) {
    const CallAnswer got = roundTrip(each);
    CHECK(got.m_call == 7);
    CHECK(got.m_outcome == CallOutcome::Unknown);
    CHECK(got.m_reason == RefusalReason::AnswerLost);
    CHECK(got.m_reachedWorker);
    CHECK(got.m_response.m_headers.empty());
    CHECK(got.m_response.m_body.Size() == 0);
  }
  const CallAnswer sound =
    roundTrip({ .m_status = 599, .m_headers = { { "X-Name", "Bj\xf6rn\t" } } });
  CHECK(sound.m_outcome == CallOutcome::Answered);
  CHECK(sound.m_response.m_headers.size() == 1);
  CHECK(sound.m_response.m_body.View() == "ok");
}

TEST_CASE("a call's workspace and weight survive encoding and decoding")
{
  CallRequest request;
  request.m_share = { 0xFEDCBA9876543210U, 2500 };
  CHECK(std::get<CallRequest>(RoundTrip(request)).m_share == request.m_share);
  CHECK(std::get<CallRequest>(RoundTrip(CallRequest{})).m_share == CallShare{});
}

TEST_CASE("a call without workspace is encoded as by earlier versions")
{
  // Guards against bytes on links for deployments without workspaces.
  CallRequest request;
  request.m_call = 5;
  request.m_service = "board";
  request.m_method = "POST";
  request.m_target = "/release?x=1";
  request.m_headers = { { "X-Request-Id", "abc" } };
  request.m_body = "body";
  request.m_timeLeft = 1500us;
  request.m_targetLeft = 400us;
  request.m_priority = 3;
  request.m_kind = { 400ms, 77 };
  request.m_idempotent = true;
  request.m_depth = 2;
  request.m_retriesLeft = 1;
  request.m_isRetry = true;
  request.m_refuseIfBusy = true;
  request.m_knownStatement = { 9, 2.5 };
  std::string bytes;
  AppendFrame(bytes, request);
  // Digest of the frame of the version before workspaces were sent.
  CHECK(ToHex(Sha256(bytes)) ==
        "35dc57b2873bf50f5ecb9cb24a6cee0fed4760e574ed51aa6da5df344617ca97");
}

TEST_CASE("the version that a call was routed by survives encoding")
{
  CallRequest request;
  request.m_routedBy = Version{ 41 };
  CHECK(std::get<CallRequest>(RoundTrip(request)).m_routedBy == Version{ 41 });
  CallAnswer answer;
  answer.m_reason = RefusalReason::ConfigBehind;
  answer.m_newerVersion = Version{ 42 };
  const auto got = std::get<CallAnswer>(RoundTrip(answer));
  CHECK(got.m_reason == RefusalReason::ConfigBehind);
  CHECK(got.m_newerVersion == Version{ 42 });
}

TEST_CASE("the time at the worker is optional, and bounded")
{
  CallAnswer answer;
  answer.m_timeAtWorker = 0us;
  CHECK(std::get<CallAnswer>(RoundTrip(answer)).m_timeAtWorker == 0us);
  answer.m_timeAtWorker = 12'345us;
  CHECK(std::get<CallAnswer>(RoundTrip(answer)).m_timeAtWorker == 12'345us);
  // As from a daemon that does not know the field.
  answer.m_timeAtWorker.reset();
  CHECK_FALSE(std::get<CallAnswer>(RoundTrip(answer)).m_timeAtWorker);
  // Guards against an overflow in the arithmetic with a damaged value.
  for (const auto each : { std::chrono::microseconds{ -1 },
                           std::chrono::microseconds::max(),
                           std::chrono::microseconds{ 2h } }) {
    answer.m_timeAtWorker = each;
    CHECK_FALSE(std::get<CallAnswer>(RoundTrip(answer)).m_timeAtWorker);
  }
}

TEST_CASE("what daemons tell each other about links survives encoding")
{
  CallRequest request;
  request.m_answerTransfer = std::chrono::milliseconds{ 250 };
  request.m_answerSize = { 90'000.0, 54'000.0 };
  const auto gotRequest = std::get<CallRequest>(RoundTrip(request));
  CHECK(gotRequest.m_answerTransfer == std::chrono::milliseconds{ 250 });
  CHECK(gotRequest.m_answerSize.m_mean == 90'000.0);
  CHECK(gotRequest.m_answerSize.m_deviation == 54'000.0);

  CallAnswer answer;
  answer.m_reason = RefusalReason::LinkBusy;
  answer.m_linkWait = std::chrono::milliseconds{ 800 };
  const auto gotAnswer = std::get<CallAnswer>(RoundTrip(answer));
  CHECK(gotAnswer.m_reason == RefusalReason::LinkBusy);
  CHECK(gotAnswer.m_linkWait == std::chrono::milliseconds{ 800 });
}

TEST_CASE("what another daemon states about its link is bounded")
{
  // Guards against overflows from another daemon's numbers.
  CallRequest request;
  request.m_answerTransfer = std::chrono::hours{ 1'000'000 };
  request.m_answerSize = { 1e18, 1e18 };
  const auto got = std::get<CallRequest>(RoundTrip(request));
  CHECK(got.m_answerTransfer <= std::chrono::minutes{ 1 });
  CHECK(got.m_answerSize.m_mean <= 16.0 * 1024 * 1024);
  CHECK(got.m_answerSize.m_deviation <= 16.0 * 1024 * 1024);
}
