#include "greengagehub/transport/codec.hpp"

#include "quota_wire.hpp"
#include "rollout_wire.hpp"

namespace greengagehub {

namespace {

// Adds the overloads of the other wire files to those defined below.
using greengagehub::FromWire;
using greengagehub::ToWire;

constexpr std::uint32_t kLastState =
  static_cast<std::uint32_t>(MemberState::Left);
constexpr std::uint32_t kLastCause =
  static_cast<std::uint32_t>(VerdictCause::Expired);

void
ToWire(const MemberRecord& aRecord, wire::MemberRecord& aOut)
{
  aOut.set_slot(aRecord.m_slot);
  aOut.set_incarnation(aRecord.m_incarnation);
  aOut.set_state(static_cast<std::uint32_t>(aRecord.m_state));
  aOut.set_service(aRecord.m_service);
  aOut.set_domain(aRecord.m_domain);
  aOut.set_region(aRecord.m_region);
  aOut.set_host(aRecord.m_address.m_host);
  aOut.set_gossip_port(aRecord.m_address.m_gossipPort);
  aOut.set_bulk_port(aRecord.m_address.m_bulkPort);
  aOut.set_link_port(aRecord.m_address.m_linkPort);
  aOut.set_slots(aRecord.m_slots);
  aOut.set_link_mbps(aRecord.m_linkMbps);
  aOut.set_worker_start(aRecord.m_workerIncarnation);
  aOut.set_worker_version(aRecord.m_workerVersion);
  aOut.set_worker_leaving(aRecord.m_isWorkerLeaving);
  aOut.set_worker_id(aRecord.m_workerIdTag);
}

void
ToWire(const WorkerDescription& aWorker, wire::PreviousWorker& aOut)
{
  aOut.set_id(aWorker.m_idTag);
  aOut.set_start(aWorker.m_incarnation);
  aOut.set_version(aWorker.m_version);
  aOut.set_slots(aWorker.m_slots);
  aOut.set_leaving(aWorker.m_isLeaving);
}

WorkerDescription
FromWire(const wire::PreviousWorker& aWire)
{
  return {
    aWire.slots(), aWire.start(), aWire.version(), aWire.leaving(), aWire.id()
  };
}

Outcome<MemberRecord>
FromWire(const wire::MemberRecord& aWire)
{
  const bool isValid = !aWire.slot().empty() && aWire.state() <= kLastState &&
                       aWire.gossip_port() <= UINT16_MAX &&
                       aWire.bulk_port() <= UINT16_MAX &&
                       aWire.link_port() <= UINT16_MAX;
  if (!isValid) {
    return Malformed(
      "member record: empty slot, or state or port out of range");
  }
  MemberRecord record;
  record.m_slot = aWire.slot();
  record.m_incarnation = aWire.incarnation();
  record.m_state = static_cast<MemberState>(aWire.state());
  record.m_service = aWire.service();
  record.m_domain = aWire.domain();
  record.m_region = aWire.region();
  record.m_address = { aWire.host(),
                       static_cast<std::uint16_t>(aWire.gossip_port()),
                       static_cast<std::uint16_t>(aWire.bulk_port()),
                       static_cast<std::uint16_t>(aWire.link_port()) };
  record.m_slots = aWire.slots();
  record.m_linkMbps = aWire.link_mbps();
  record.m_workerIncarnation = aWire.worker_start();
  record.m_workerVersion = aWire.worker_version();
  record.m_isWorkerLeaving = aWire.worker_leaving();
  record.m_workerIdTag = aWire.worker_id();
  return record;
}

void
ToWire(const VersionEntry& aEntry, wire::VersionEntry& aOut)
{
  aOut.set_version(aEntry.m_version.m_number);
  aOut.set_patch(aEntry.m_patch);
  aOut.set_chain(std::string{ aEntry.m_chain.View() });
  aOut.set_content_digest(std::string{ aEntry.m_content.View() });
  if (aEntry.m_base) {
    aOut.set_base(aEntry.m_base->m_number);
  }
}

Outcome<VersionEntry>
FromWire(const wire::VersionEntry& aWire)
{
  const auto chain = DigestFromBytes(aWire.chain());
  const auto content = DigestFromBytes(aWire.content_digest());
  if (!chain || !content) {
    return Malformed("version entry: chain or content_digest is not a digest");
  }
  VersionEntry entry{
    Version{ aWire.version() }, aWire.patch(), chain.value(), content.value()
  };
  if (aWire.has_base()) {
    entry.m_base = Version{ aWire.base() };
  }
  return entry;
}

void
ToWire(const VersionDigest& aHead, wire::VersionDigest& aOut)
{
  aOut.set_version(aHead.m_version.m_number);
  aOut.set_chain(std::string{ aHead.m_chain.View() });
}

Outcome<VersionDigest>
FromWire(const wire::VersionDigest& aWire)
{
  const auto chain = DigestFromBytes(aWire.chain());
  if (!chain) {
    return Malformed("version digest: chain is not a digest");
  }
  return VersionDigest{ Version{ aWire.version() }, chain.value() };
}

void
ToWire(const CrashReport& aReport, wire::EndReport& aOut)
{
  aOut.set_id(aReport.m_id);
  aOut.set_slot(aReport.m_slot);
  aOut.set_service(aReport.m_service);
  aOut.set_age_ms(ToMs(aReport.m_age));
  for (const Witness& each : aReport.m_ran) {
    wire::Witness& ran = *aOut.add_ran();
    ran.set_content_high(each.m_fingerprint.m_high);
    ran.set_content_low(each.m_fingerprint.m_low);
    ran.set_ran_ms(ToMs(each.m_ran));
    if (each.m_lastSuccess) {
      ran.set_last_good_ms(ToMs(*each.m_lastSuccess));
    }
  }
}

Outcome<CrashReport>
FromWire(const wire::EndReport& aWire)
{
  CrashReport report;
  report.m_id = aWire.id();
  report.m_slot = aWire.slot();
  report.m_service = aWire.service();
  report.m_age = FromMs(aWire.age_ms());
  for (const wire::Witness& each : aWire.ran()) {
    Witness ran{ { each.content_high(), each.content_low() },
                 FromMs(each.ran_ms()),
                 std::nullopt };
    if (each.has_last_good_ms()) {
      ran.m_lastSuccess = FromMs(each.last_good_ms());
    }
    report.m_ran.push_back(ran);
  }
  return report;
}

void
ToWire(const QuarantineVerdict& aVerdict, wire::Verdict& aOut)
{
  aOut.set_content_high(aVerdict.m_fingerprint.m_high);
  aOut.set_content_low(aVerdict.m_fingerprint.m_low);
  aOut.set_service(aVerdict.m_service);
  aOut.set_generation(aVerdict.m_generation);
  aOut.set_is_held(aVerdict.m_isQuarantined);
  aOut.set_cause(static_cast<std::uint32_t>(aVerdict.m_cause));
  aOut.set_ends(aVerdict.m_crashCount);
  aOut.set_age_ms(ToMs(aVerdict.m_age));
}

Outcome<QuarantineVerdict>
FromWire(const wire::Verdict& aWire)
{
  if (aWire.cause() > kLastCause) {
    return Malformed("verdict: unknown cause");
  }
  QuarantineVerdict verdict;
  verdict.m_fingerprint = { aWire.content_high(), aWire.content_low() };
  verdict.m_service = aWire.service();
  verdict.m_generation = aWire.generation();
  verdict.m_isQuarantined = aWire.is_held();
  verdict.m_cause = static_cast<VerdictCause>(aWire.cause());
  verdict.m_crashCount = aWire.ends();
  verdict.m_age = FromMs(aWire.age_ms());
  return verdict;
}

template<class Decoded, class Repeated>
Outcome<std::vector<Decoded>>
AllFromWire(const Repeated& aWire)
{
  std::vector<Decoded> all;
  all.reserve(static_cast<std::size_t>(aWire.size()));
  for (const auto& each : aWire) {
    auto one = FromWire(each);
    if (!one) {
      return one.error();
    }
    all.push_back(std::move(one.value()));
  }
  return all;
}

wire::Datagram
ToWire(const GossipMessage& aMessage)
{
  wire::Datagram out;
  out.set_kind(static_cast<wire::Datagram::Kind>(aMessage.m_kind));
  ToWire(aMessage.m_sender, *out.mutable_sender());
  out.set_sequence(aMessage.m_sequence);
  out.set_target(aMessage.m_target);
  ToWire(aMessage.m_head, *out.mutable_head());
  for (const MemberRecord& each : aMessage.m_updates) {
    ToWire(each, *out.add_updates());
  }
  for (const VersionEntry& each : aMessage.m_entries) {
    ToWire(each, *out.add_entries());
  }
  out.set_requests_head(aMessage.m_requestsHead);
  out.set_reports_head(aMessage.m_reportsHead);
  out.set_push_number(aMessage.m_pushNumber);
  out.set_confirmed_push(aMessage.m_confirmedPush);
  out.set_floor(aMessage.m_minimumVersion.m_number);
  if (aMessage.m_previousWorker.m_idTag != 0) {
    ToWire(aMessage.m_previousWorker, *out.mutable_previous_worker());
  }
  out.set_watching(aMessage.m_watching);
  out.set_members(aMessage.m_members);
  for (const CrashReport& each : aMessage.m_quarantine.m_crashes) {
    ToWire(each, *out.add_ends());
  }
  for (const QuarantineVerdict& each : aMessage.m_quarantine.m_verdicts) {
    ToWire(each, *out.add_verdicts());
  }
  out.set_verdicts_digest(aMessage.m_verdicts);
  for (const RolloutRecord& each : aMessage.m_rollouts) {
    ToWire(each, *out.add_rollouts());
  }
  out.set_rollouts_digest(aMessage.m_rolloutsDigest);
  if (aMessage.m_counts) {
    ToWire(*aMessage.m_counts, *out.mutable_counts());
  }
  if (aMessage.m_quotaQuery) {
    ToWire(*aMessage.m_quotaQuery, *out.mutable_quota_query());
  }
  if (aMessage.m_quotaReport) {
    ToWire(*aMessage.m_quotaReport, *out.mutable_quota_report());
  }
  return out;
}

}

std::string
EncodeGossip(const GossipMessage& aMessage, std::size_t aMaxBytes)
{
  wire::Datagram out = ToWire(aMessage);
  while (out.ByteSizeLong() > aMaxBytes && out.updates_size() > 0) {
    out.mutable_updates()->RemoveLast();
  }
  while (out.ByteSizeLong() > aMaxBytes && out.entries_size() > 0) {
    out.mutable_entries()->RemoveLast();
  }
  return out.SerializeAsString();
}

Outcome<GossipMessage>
DecodeGossip(std::string_view aBytes)
{
  wire::Datagram in;
  const bool parsed =
    in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (!parsed || !wire::Datagram::Kind_IsValid(in.kind())) {
    return Malformed("datagram: invalid encoding or unknown kind");
  }
  auto sender = FromWire(in.sender());
  auto head = FromWire(in.head());
  auto updates = AllFromWire<MemberRecord>(in.updates());
  auto entries = AllFromWire<VersionEntry>(in.entries());
  auto ends = AllFromWire<CrashReport>(in.ends());
  auto verdicts = AllFromWire<QuarantineVerdict>(in.verdicts());
  auto rollouts = AllFromWire<RolloutRecord>(in.rollouts());
  auto counts = FromWire(in.counts());
  if (!sender || !head || !updates || !entries || !ends || !verdicts ||
      !rollouts || !counts) {
    return Malformed("datagram: field out of range");
  }
  GossipMessage message;
  message.m_kind = static_cast<GossipMessage::Kind>(in.kind());
  message.m_sender = std::move(sender.value());
  message.m_sequence = in.sequence();
  message.m_target = in.target();
  message.m_head = head.value();
  message.m_updates = std::move(updates.value());
  message.m_entries = std::move(entries.value());
  message.m_requestsHead = in.requests_head();
  message.m_reportsHead = in.reports_head();
  message.m_pushNumber = in.push_number();
  message.m_confirmedPush = in.confirmed_push();
  message.m_minimumVersion = Version{ in.floor() };
  message.m_previousWorker = FromWire(in.previous_worker());
  message.m_watching = in.watching();
  message.m_members = in.members();
  message.m_quarantine = { std::move(ends.value()),
                           std::move(verdicts.value()) };
  message.m_verdicts = in.verdicts_digest();
  message.m_rollouts = std::move(rollouts.value());
  message.m_rolloutsDigest = in.rollouts_digest();
  if (in.has_quota_query()) {
    message.m_quotaQuery = FromWire(in.quota_query());
  }
  if (in.has_quota_report()) {
    message.m_quotaReport = FromWire(in.quota_report());
  }
  if (in.has_counts()) {
    message.m_counts = std::move(counts.value());
    message.m_counts->m_slot = message.m_sender.m_slot;
  }
  return message;
}

std::string
EncodePullRequest(const PullRequest& aRequest)
{
  wire::PullRequest out;
  out.set_slot(aRequest.m_slot);
  out.set_have_version(aRequest.m_knownVersion.m_number);
  out.set_want_members(aRequest.m_includeMembers);
  out.set_want_snapshot(aRequest.m_wantsSnapshot);
  if (aRequest.m_includeMembers) {
    for (const std::uint64_t each : aRequest.m_members.m_sums) {
      out.add_member_digests(each);
    }
  }
  return out.SerializeAsString();
}

Outcome<PullRequest>
DecodePullRequest(std::string_view aBytes)
{
  wire::PullRequest in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Malformed("pull request: invalid encoding");
  }
  PullRequest request;
  request.m_slot = in.slot();
  request.m_knownVersion = Version{ in.have_version() };
  request.m_includeMembers = in.want_members();
  request.m_wantsSnapshot = in.want_snapshot();
  const auto buckets = static_cast<std::size_t>(in.member_digests_size());
  if (request.m_includeMembers && buckets != MemberDigests::kBuckets) {
    return Malformed("pull request: unexpected number of member_digests");
  }
  for (std::size_t i = 0; i < buckets && request.m_includeMembers; ++i) {
    request.m_members.m_sums[i] = in.member_digests(static_cast<int>(i));
  }
  return request;
}

std::string
EncodePullAnswer(const PullAnswer& aAnswer)
{
  wire::PullAnswer out;
  for (const VersionEntry& each : aAnswer.m_entries) {
    ToWire(each, *out.add_entries());
  }
  if (!aAnswer.m_snapshot.empty()) {
    out.set_snapshot(aAnswer.m_snapshot);
    ToWire(aAnswer.m_snapshotHead, *out.mutable_snapshot_head());
  }
  for (const MemberRecord& each : aAnswer.m_members) {
    ToWire(each, *out.add_members());
  }
  for (const RolloutRecord& each : aAnswer.m_rollouts) {
    ToWire(each, *out.add_rollouts());
  }
  out.set_floor(aAnswer.m_minimumVersion.m_number);
  ToWire(aAnswer.m_head, *out.mutable_head());
  return out.SerializeAsString();
}

Outcome<PullAnswer>
DecodePullAnswer(std::string_view aBytes)
{
  wire::PullAnswer in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Malformed("pull answer: invalid encoding");
  }
  auto entries = AllFromWire<VersionEntry>(in.entries());
  auto members = AllFromWire<MemberRecord>(in.members());
  auto head = FromWire(in.head());
  auto rollouts = AllFromWire<RolloutRecord>(in.rollouts());
  if (!entries || !members || !head || !rollouts) {
    return Malformed("pull answer: field out of range");
  }
  PullAnswer answer;
  if (!in.snapshot().empty()) {
    auto snapshotHead = FromWire(in.snapshot_head());
    if (!snapshotHead) {
      return Malformed("pull answer: snapshot without a valid snapshot_head");
    }
    answer.m_snapshot = in.snapshot();
    answer.m_snapshotHead = std::move(snapshotHead.value());
  }
  answer.m_entries = std::move(entries.value());
  answer.m_members = std::move(members.value());
  answer.m_minimumVersion = Version{ in.floor() };
  answer.m_head = head.value();
  answer.m_rollouts = std::move(rollouts.value());
  return answer;
}

}
