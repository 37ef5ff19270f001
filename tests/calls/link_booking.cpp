#include "greengagehub/calls/link_booking.hpp"

#include "link_replay.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::test;
using namespace std::chrono_literals;

namespace {

void
Report(const std::string& aName, const LinkReplayResult& aResult)
{
  MESSAGE(
    aName
    << ": " << aResult.m_calls << " calls, " << aResult.m_runs
    << " run, arrived before the deadline " << aResult.ArrivedShare()
    << " of them, before the target " << aResult.InTargetShare() << ", used "
    << aResult.m_used << ", attempts " << aResult.m_attempts << ", small delay "
    << std::chrono::duration<double, std::milli>(aResult.m_smallDelay).count()
    << " ms, held at most " << aResult.m_peakHeldBytes << " bytes");
}

constexpr double kRate = 1'600'000.0;
constexpr AnswerSize kDownload{ 90'000.0, 54'000.0 };

LinkDemand
DownloadOf(WorkspaceId aWorkspace = 0, double aWeight = 1.0)
{
  return { .m_size = kDownload,
           .m_readyIn = 160ms,
           .m_targetLeft = 1500ms,
           .m_deadlineLeft = 4s,
           .m_target = 1500ms,
           .m_workspace = aWorkspace,
           .m_weight = aWeight };
}

struct Asker
{
  WorkspaceId m_workspace{ 0 };
  double m_weight{ 1.0 };
  double m_perSecond{ 0.0 };
  std::size_t m_asked{ 0 };
  std::size_t m_accepted{ 0 };
  std::size_t m_refusedWithinShare{ 0 };
};

/// \returns The share of what can leave before the target for certain.
double
ShareOf(const Asker& aAsker,
        const std::vector<Asker>& aAskers,
        std::size_t aBooked)
{
  double weights = 0.0;
  for (const Asker& each : aAskers) {
    weights += each.m_weight;
  }
  const double certain = std::min(kRate * 1.34, LinkBooking::kMaxHeldBytes) -
                         2.0 * kDownload.m_deviation * std::sqrt(1.0 + aBooked);
  return certain * aAsker.m_weight / weights;
}

/// Downloads of several workspaces through one link for 20 s.
/// \returns Used share of the link.
double
ShareLink(std::vector<Asker>& aAskers)
{
  LinkBooking booking{ kRate };
  Random random{ 1 };
  std::multimap<TimePoint, std::size_t> arrivals;
  for (std::size_t i = 0; i < aAskers.size(); ++i) {
    std::exponential_distribution<double> gap{ aAskers[i].m_perSecond };
    for (double at = gap(random); at < 20.0; at += gap(random)) {
      arrivals.emplace(TimePoint{} + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(at)),
                       i);
    }
  }
  const auto transfer = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(kDownload.m_mean / kRate));
  std::multimap<TimePoint, LinkReservation> runs;
  TimePoint free{};
  Duration busy{ 0 };
  for (const auto& [now, index] : arrivals) {
    while (!runs.empty() && runs.begin()->first <= now) {
      const TimePoint ended = runs.begin()->first;
      free = std::max(free, ended) + transfer;
      busy += transfer;
      booking.HandOver(ended,
                       free - ended,
                       std::move(runs.begin()->second),
                       static_cast<std::size_t>(kDownload.m_mean));
      runs.erase(runs.begin());
    }
    Asker& asker = aAskers[index];
    ++asker.m_asked;
    const LinkDemand demand = DownloadOf(asker.m_workspace, asker.m_weight);
    const Duration backlog = std::max(Duration::zero(), free - now);
    const double bytes =
      kDownload.m_mean +
      static_cast<double>(booking.BytesOf(now, asker.m_workspace));
    const bool isWithin =
      bytes <= ShareOf(asker, aAskers, booking.BookedCalls());
    const bool isAccepted = booking.Check(now, backlog, demand).IsAccepted();
    asker.m_refusedWithinShare += isWithin && !isAccepted ? 1 : 0;
    if (isAccepted) {
      ++asker.m_accepted;
      runs.emplace(now + demand.m_readyIn, booking.Book(now, demand));
    }
  }
  return std::chrono::duration<double>(busy) /
         std::chrono::duration<double>(std::max(free, TimePoint{ 20s }) -
                                       TimePoint{});
}

}

TEST_CASE("downloads beyond what the links carry: what is accepted arrives")
{
  // Guards against runs whose answers wait on the link until after their
  // deadline.
  for (const double load : { 0.8, 1.4, 2.4 }) {
    LinkReplay booked{ { .m_load = load } };
    const LinkReplayResult result = booked.Run();
    Report("booked", result);
    CHECK(result.ArrivedShare() >= 0.98);
    CHECK(booked.BookedBytes() == 0);
    if (load >= 1.4) {
      CHECK(result.m_used >= 0.9);
    }
    LinkReplay meanSizes{ { .m_booksLinks = false, .m_load = load } };
    Report("mean sizes", meanSizes.Run());
  }
}

TEST_CASE("callers' daemons beside the workers: what is accepted arrives")
{
  // Guards against answers to clients that are not counted on the link.
  LinkReplaySetup setup{ .m_callers = 4, .m_callersBesideWorkers = 8 };
  LinkReplay booked{ setup };
  const LinkReplayResult result = booked.Run();
  Report("booked", result);
  CHECK(result.ArrivedShare() >= 0.98);
  CHECK(result.m_used >= 0.9);
  // One part of 16 KiB takes 8.8 ms at 15 Mbit/s.
  CHECK(result.m_smallDelay <= 9ms);
  setup.m_booksLinks = false;
  LinkReplay meanSizes{ setup };
  Report("mean sizes", meanSizes.Run());
}

TEST_CASE("a daemon holds few bytes of answers also on a faster link")
{
  // Guards against memory that grows with the rate of the link under a burst.
  LinkReplaySetup setup{ .m_workerMbps = 50, .m_span = 8s };
  LinkReplay booked{ setup };
  const LinkReplayResult result = booked.Run();
  Report("booked", result);
  CHECK(result.ArrivedShare() >= 0.98);
  CHECK(result.m_used >= 0.9);
  CHECK(result.m_peakHeldBytes <= 3'000'000);
  setup.m_booksLinks = false;
  LinkReplay meanSizes{ setup };
  Report("mean sizes", meanSizes.Run());
}

TEST_CASE("a workspace within its share of the link is not refused")
{
  // Guards against one workspace's downloads that take the link from others.
  std::vector<Asker> askers{ { 1, 1.0, 80.0 }, { 2, 1.0, 5.0 } };
  const double used = ShareLink(askers);
  MESSAGE("used " << used << ", accepted " << askers[0].m_accepted << " of "
                  << askers[0].m_asked << " and " << askers[1].m_accepted
                  << " of " << askers[1].m_asked);
  CHECK(askers[0].m_refusedWithinShare == 0);
  CHECK(askers[1].m_refusedWithinShare == 0);
  // Its bursts exceed its share at times.
  CHECK(askers[1].m_accepted * 100 >= askers[1].m_asked * 98);
  CHECK(used >= 0.9);
}

TEST_CASE("workspaces beyond their shares get the link by weight")
{
  // Guards against shares by number of requests instead of by weight.
  std::vector<Asker> askers{ { 1, 2.0, 40.0 }, { 2, 1.0, 80.0 } };
  const double used = ShareLink(askers);
  const double ratio = static_cast<double>(askers[0].m_accepted) /
                       static_cast<double>(askers[1].m_accepted);
  MESSAGE("used " << used << ", ratio " << ratio);
  CHECK(ratio >= 1.8);
  CHECK(ratio <= 2.2);
  CHECK(used >= 0.9);
}

TEST_CASE("a workspace alone may use the whole link")
{
  // Guards against a link that stays idle for workspaces that do not ask.
  std::vector<Asker> askers{ { 1, 1.0, 80.0 } };
  const double used = ShareLink(askers);
  MESSAGE("used " << used);
  CHECK(used >= 0.9);
}

TEST_CASE("a booking ends with its reservation")
{
  // Guards against bookings that outlive a run without an answer or a caller
  // that has left, and would refuse later calls.
  LinkBooking booking{ kRate };
  const TimePoint now{ 100s };
  {
    std::vector<LinkReservation> held;
    while (booking.Check(now, {}, DownloadOf()).IsAccepted()) {
      held.push_back(booking.Book(now, DownloadOf()));
    }
    CHECK(held.size() > 10);
    CHECK(booking.BookedBytes() == held.size() * 90'000);
    CHECK(booking.BytesOf(now, 0) == held.size() * 90'000);
    held.pop_back();
    CHECK(booking.Check(now, {}, DownloadOf()).IsAccepted());
    LinkReservation moved = std::move(held.back());
    held.pop_back();
    held.push_back(std::move(moved));
    CHECK(booking.BookedCalls() == held.size());
  }
  CHECK(booking.BookedBytes() == 0);
  CHECK(booking.BookedCalls() == 0);
  CHECK(booking.BytesOf(now, 0) == 0);
}

TEST_CASE("a workspace is charged until its bytes have left the link")
{
  // Guards against a workspace that fills the link's backlog free of charge.
  LinkBooking booking{ kRate };
  const TimePoint now{ 100s };
  booking.HandOver(now, 500ms, booking.Book(now, DownloadOf(1)), 120'000);
  CHECK(booking.BookedBytes() == 0);
  CHECK(booking.BytesOf(now + 499ms, 1) == 120'000);
  CHECK(booking.BytesOf(now + 500ms, 1) == 0);
}

TEST_CASE("a refusal for the link states when there is room")
{
  // Guards against callers that retry before the link has room.
  LinkBooking booking{ kRate };
  const TimePoint now{ 100s };
  const LinkDecision refused = booking.Check(now, 2s, DownloadOf());
  CHECK(refused.m_kind == LinkDecision::Kind::NoRoom);
  CHECK(refused.m_departure > 2s);
  const Duration left = 2s - refused.m_retryAfter;
  CHECK(
    booking.Check(now + refused.m_retryAfter, left, DownloadOf()).IsAccepted());
  CHECK_FALSE(booking.Check(now, left + 100ms, DownloadOf()).IsAccepted());
}

TEST_CASE("a late download leaves the link to those that are in time")
{
  // Guards against retries after the target that fill the link up to their
  // deadlines, so that no fresh call finds room.
  LinkBooking booking{ kRate };
  LinkDemand late = DownloadOf();
  late.m_targetLeft = 0s;
  late.m_deadlineLeft = 2500ms;
  const TimePoint now{ 100s };
  CHECK(booking.Check(now, 500ms, late).IsAccepted());
  CHECK_FALSE(booking.Check(now, 1s, late).IsAccepted());
  CHECK(booking.Check(now, 1s, DownloadOf()).IsAccepted());
  late.m_deadlineLeft = 100ms;
  CHECK_FALSE(booking.Check(now, 0s, late).IsAccepted());
}

TEST_CASE("an answer that takes longer than its target runs on an idle link")
{
  // Guards against a kind of calls that is refused whatever the load.
  LinkBooking booking{ kRate };
  LinkDemand huge = DownloadOf();
  huge.m_size = { 2'000'000.0, 1'000'000.0 };
  const TimePoint now{ 100s };
  CHECK(booking.Check(now, {}, huge).IsAccepted());
  const LinkReservation first = booking.Book(now, huge);
  CHECK_FALSE(booking.Check(now, {}, huge).IsAccepted());
  LinkDemand large = DownloadOf();
  large.m_size = { 600'000.0, 300'000.0 };
  large.m_targetLeft = 4s;
  LinkBooking other{ kRate };
  const LinkReservation second = other.Book(now, large);
  CHECK(other.Check(now, {}, large).IsAccepted());
}

TEST_CASE("a link of unknown rate and small answers are not booked")
{
  // Guards against changed decisions where no large answers or no rates are
  // known.
  const TimePoint now{ 100s };
  LinkBooking unknown{ 0.0 };
  CHECK(unknown.Check(now, 10s, DownloadOf()).IsAccepted());
  const LinkReservation first = unknown.Book(now, DownloadOf());
  CHECK(unknown.BookedBytes() == 0);
  CHECK(unknown.WaitOf(now, 10s, DownloadOf()) == Duration::zero());
  LinkBooking known{ kRate };
  LinkDemand small = DownloadOf();
  small.m_size = { 16'000.0, 9'000.0 };
  CHECK(known.Check(now, 10s, small).IsAccepted());
  const LinkReservation second = known.Book(now, small);
  CHECK(known.BookedBytes() == 0);
  CHECK(known.WaitOf(now, 10s, small) == Duration::zero());
  small.m_size = {};
  CHECK(known.Check(now, 10s, small).IsAccepted());
}

TEST_CASE("sizes of answers are learnt with their spread")
{
  // Guards against margins from a spread that is not that of the answers.
  AnswerSizes sizes;
  CHECK(sizes.SizeOf(1500ms).m_mean == 0.0);
  std::lognormal_distribution<double> size{ std::log(90'000.0) - 0.18, 0.6 };
  Random random{ 1 };
  double meanDeviation = 0.0;
  for (int i = 0; i < 1000; ++i) {
    sizes.Record(1500ms, static_cast<std::size_t>(size(random)));
    meanDeviation += sizes.SizeOf(1500ms).m_deviation / 1000;
  }
  // A lognormal spread of 0.6 is 0.66 of the mean.
  CHECK(meanDeviation == doctest::Approx(59'000.0).epsilon(0.2));
  CHECK(sizes.SizeOf(1500ms).m_mean == doctest::Approx(90'000.0).epsilon(0.4));
}

TEST_CASE("a call refused for a link goes on only where there is room")
{
  // Guards against refused downloads that ask one busy link after another.
  Dispatcher dispatcher{ 1 };
  for (const char* slot : { "a", "b" }) {
    WorkerRow row;
    row.m_slot = slot;
    row.m_service = "archive";
    row.m_slots = 20;
    dispatcher.Workers().Put(std::move(row));
  }
  const TimePoint now{ 100s };
  CallPlan plan;
  plan.m_service = "archive";
  plan.m_deadline = now + 4s;
  plan.m_target = now + 1500ms;
  plan.m_kind = CallKind{ 1500ms };
  const auto begin = [&](std::uint64_t aCall) {
    return std::get<SendAttempt>(dispatcher.Begin(now, aCall, plan).at(0));
  };
  const auto refuse = [&](const SendAttempt& aAttempt, Duration aWait) {
    CallAnswer answer = Refuse(
      aAttempt.m_attempt, CallOutcome::NotRun, RefusalReason::LinkBusy, 300ms);
    answer.m_slots = 20;
    answer.m_serviceTime = 160ms;
    answer.m_linkWait =
      std::chrono::duration_cast<std::chrono::microseconds>(aWait);
    return dispatcher.OnAnswer(now, answer);
  };
  SUBCASE("no other worker is known to have room")
  {
    const DispatchActions actions = refuse(begin(1), 2s);
    REQUIRE(actions.size() == 1);
    const auto& finish = std::get<FinishCall>(actions[0]);
    CHECK(finish.m_answer.m_outcome == CallOutcome::NotRun);
    CHECK(finish.m_answer.m_reason == RefusalReason::LinkBusy);
    CHECK(finish.m_answer.m_retryAfter == 300ms);
  }
  SUBCASE("another worker has just reported room")
  {
    const SendAttempt first = begin(1);
    const SendAttempt second = begin(2);
    REQUIRE(first.m_slot != second.m_slot);
    CallAnswer answer;
    answer.m_call = first.m_attempt;
    answer.m_outcome = CallOutcome::Answered;
    answer.m_response.m_status = 200;
    answer.m_slots = 20;
    answer.m_serviceTime = 160ms;
    answer.m_linkWait = 100ms;
    static_cast<void>(dispatcher.OnAnswer(now, answer));
    const DispatchActions actions = refuse(second, 2s);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<SendAttempt>(actions[0]).m_slot == first.m_slot);
  }
}

TEST_CASE("an answer's way over the own link counts in the choice of a worker")
{
  // Guards against downloads that cross the caller's link although the worker
  // beside its daemon is as good.
  LowestExpectedLoss policy;
  policy.m_ownSlot = "own";
  WorkerRow own;
  own.m_slot = "own";
  WorkerRow other;
  other.m_slot = "other";
  const TimePoint now{ 100s };
  for (WorkerRow* each : { &own, &other }) {
    each->m_kindStats.push_back({ CallKind{ 1500ms }, 160ms, 0ms, now });
  }
  RoutingContext context{ now, CallKind{ 1500ms }, 1500ms, 0.0, 4s, 800ms };
  Random random{ 1 };
  const std::vector<const WorkerRow*> rows{ &other, &own };
  for (int i = 0; i < 20; ++i) {
    CHECK(policy.Choose(rows, context, random) == 1);
  }
  // A wait for the own worker's link of more than that outweighs it.
  own.m_kindStats[0].m_wait = 1200ms;
  CHECK(policy.Choose(rows, context, random) == 0);
}
