#include "greengagehub/calls/link_booking.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace greengagehub {

namespace {

/// Margin for the spread of sizes, in standard deviations of the sum.
constexpr double kSpreadMargin = 2.0;
/// A workspace counts for the shares for this long after it asked.
constexpr auto kActiveTime = std::chrono::seconds{ 2 };
constexpr auto kMinRetryAfter = std::chrono::milliseconds{ 50 };
/// A late call is accepted behind bytes for at most the target divided by this.
constexpr int kLateTargetDivisor = 2;

/// \returns Latest acceptable departure.
Duration
LimitOf(const LinkDemand& aDemand)
{
  if (aDemand.m_targetLeft > Duration::zero()) {
    return std::min(aDemand.m_targetLeft, aDemand.m_deadlineLeft);
  }
  const Duration lateWait = aDemand.m_target / kLateTargetDivisor;
  return lateWait > Duration::zero()
           ? std::min(aDemand.m_deadlineLeft, aDemand.m_readyIn + lateWait)
           : aDemand.m_deadlineLeft;
}

}

LinkReservation::LinkReservation(LinkReservation&& aOther) noexcept
  : m_booking(std::exchange(aOther.m_booking, nullptr))
  , m_id(aOther.m_id)
{
}

LinkReservation&
LinkReservation::operator=(LinkReservation&& aOther) noexcept
{
  std::swap(m_booking, aOther.m_booking);
  std::swap(m_id, aOther.m_id);
  return *this;
}

LinkReservation::~LinkReservation()
{
  if (m_booking != nullptr) {
    m_booking->Free(m_id);
  }
}

Duration
LinkBooking::TimeFor(double aBytes) const noexcept
{
  return m_bytesPerSecond <= 0.0
           ? Duration::zero()
           : std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>{ aBytes / m_bytesPerSecond });
}

Duration
LinkBooking::TransferTime(const AnswerSize& aSize) const noexcept
{
  return TimeFor(aSize.m_mean + kSpreadMargin * aSize.m_deviation);
}

Duration
LinkBooking::DepartureOf(TimePoint aNow,
                         Duration aBacklog,
                         const LinkDemand& aDemand) const
{
  const TimePoint readyAt = aNow + aDemand.m_readyIn;
  std::vector<const Entry*> before;
  before.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_readyAt <= readyAt) {
      before.push_back(&entry);
    }
  }
  std::ranges::sort(before, {}, &Entry::m_readyAt);
  TimePoint freeAt = aNow + aBacklog;
  const double own = aDemand.m_size.m_deviation * aDemand.m_size.m_deviation;
  double variance = own;
  for (const Entry* each : before) {
    // Answers that left before a pause of the link delay no later one.
    variance = freeAt <= each->m_readyAt ? own : variance;
    freeAt = std::max(freeAt, each->m_readyAt) + TimeFor(each->m_size.m_mean);
    variance += each->m_size.m_deviation * each->m_size.m_deviation;
  }
  variance = freeAt <= readyAt ? own : variance;
  return std::max(freeAt, readyAt) - aNow + TimeFor(aDemand.m_size.m_mean) +
         TimeFor(kSpreadMargin * std::sqrt(variance));
}

Duration
LinkBooking::WaitOf(TimePoint aNow,
                    Duration aBacklog,
                    const LinkDemand& aDemand) const
{
  if (!Books(aDemand.m_size)) {
    return Duration::zero();
  }
  const Duration departure = DepartureOf(aNow, aBacklog, aDemand);
  const Duration wait = departure - aDemand.m_readyIn;
  return departure > HeldLimit(aDemand) ? std::max(wait, aDemand.m_target)
                                        : wait;
}

bool
LinkBooking::IsBeyondShare(TimePoint aNow,
                           Duration aLimit,
                           Duration aBacklog,
                           const LinkDemand& aDemand)
{
  DischargeLeft(aNow);
  Share& own = m_shares[aDemand.m_workspace];
  own.m_weight = aDemand.m_weight;
  own.m_lastAskedAt = aNow;
  std::erase_if(m_shares, [aNow](const auto& aEach) {
    return aEach.second.m_bytes <= 0.0 &&
           aNow - aEach.second.m_lastAskedAt > kActiveTime;
  });
  const bool isAlone = m_shares.size() == 1 && aDemand.m_workspace == 0;
  const bool isLinkFree = DepartureOf(aNow, aBacklog, aDemand) <=
                          aDemand.m_readyIn + TransferTime(aDemand.m_size);
  if (isAlone || own.m_bytes <= 0.0 || isLinkFree) {
    return false;
  }
  double weights = 0.0;
  for (const auto& [id, share] : m_shares) {
    weights += share.m_weight;
  }
  double variance = aDemand.m_size.m_deviation * aDemand.m_size.m_deviation;
  for (const auto& [id, entry] : m_entries) {
    variance += entry.m_size.m_deviation * entry.m_size.m_deviation;
  }
  // What can leave in time for certain, also if the link is idle until then.
  const double room =
    m_bytesPerSecond *
      std::chrono::duration<double>(aLimit - aDemand.m_readyIn).count() -
    kSpreadMargin * std::sqrt(variance);
  const double held =
    m_bookedBytes +
    m_bytesPerSecond * std::chrono::duration<double>(aBacklog).count();
  const double after = own.m_bytes + aDemand.m_size.m_mean;
  if (after <= room * own.m_weight / weights) {
    return false;
  }
  const double meanWeight = weights / static_cast<double>(m_shares.size());
  return after > (room - held) * own.m_weight / meanWeight;
}

LinkDecision
LinkBooking::Check(TimePoint aNow, Duration aBacklog, const LinkDemand& aDemand)
{
  LinkDecision decision;
  if (!Books(aDemand.m_size)) {
    return decision;
  }
  const bool isIdle = m_entries.empty() && aBacklog == Duration::zero();
  const Duration limit = isIdle
                           ? aDemand.m_deadlineLeft
                           : std::min(LimitOf(aDemand), HeldLimit(aDemand));
  decision.m_departure = DepartureOf(aNow, aBacklog, aDemand);
  const bool isBeyond = IsBeyondShare(aNow, limit, aBacklog, aDemand);
  Duration wait{ 0 };
  if (decision.m_departure > limit) {
    decision.m_kind = LinkDecision::Kind::NoRoom;
    wait = decision.m_departure - std::max(limit, Duration::zero());
  } else if (isBeyond) {
    decision.m_kind = LinkDecision::Kind::BeyondShare;
    wait = TransferTime(aDemand.m_size);
  } else {
    return decision;
  }
  ++m_refused;
  decision.m_retryAfter = std::max(
    kMinRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(wait));
  return decision;
}

LinkReservation
LinkBooking::Book(TimePoint aNow, const LinkDemand& aDemand)
{
  if (!Books(aDemand.m_size)) {
    return {};
  }
  m_entries.emplace(
    ++m_lastId,
    Entry{ aNow + aDemand.m_readyIn, aDemand.m_size, aDemand.m_workspace });
  m_bookedBytes += aDemand.m_size.m_mean;
  Share& share = m_shares[aDemand.m_workspace];
  share.m_weight = aDemand.m_weight;
  share.m_bytes += aDemand.m_size.m_mean;
  share.m_lastAskedAt = aNow;
  return { *this, m_lastId };
}

void
LinkBooking::Free(std::uint64_t aId)
{
  const auto found = m_entries.find(aId);
  const Entry entry = found->second;
  m_entries.erase(found);
  m_bookedBytes = m_entries.empty() ? 0.0 : m_bookedBytes - entry.m_size.m_mean;
  Discharge(entry.m_workspace, entry.m_size.m_mean);
}

void
LinkBooking::Discharge(WorkspaceId aWorkspace, double aBytes)
{
  Share& share = m_shares[aWorkspace];
  share.m_bytes -= aBytes;
  if (share.m_bytes < 1.0) {
    // A rounding error of the sum.
    share.m_bytes = 0.0;
  }
}

void
LinkBooking::DischargeLeft(TimePoint aNow)
{
  while (!m_leaving.empty() && m_leaving.begin()->first <= aNow) {
    const LeavingAnswer& answer = m_leaving.begin()->second;
    Discharge(answer.m_workspace, answer.m_bytes);
    m_leaving.erase(m_leaving.begin());
  }
}

void
LinkBooking::HandOver(TimePoint aNow,
                      Duration aBacklog,
                      LinkReservation aReservation,
                      std::size_t aBytes)
{
  if (aReservation.m_booking != this || aBytes <= kMinBytes) {
    return;
  }
  const WorkspaceId workspace = m_entries.at(aReservation.m_id).m_workspace;
  const auto bytes = static_cast<double>(aBytes);
  m_shares[workspace].m_bytes += bytes;
  m_leaving.emplace(aNow + aBacklog, LeavingAnswer{ workspace, bytes });
}

std::size_t
LinkBooking::BytesOf(TimePoint aNow, WorkspaceId aWorkspace)
{
  DischargeLeft(aNow);
  const auto found = m_shares.find(aWorkspace);
  return found == m_shares.end()
           ? 0
           : static_cast<std::size_t>(found->second.m_bytes);
}

}
