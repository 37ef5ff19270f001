#include "quota_wire.hpp"

namespace greengagehub {

void
ToWire(const QuotaQuery& aQuery, wire::QuotaQuery& aOut)
{
  aOut.set_sequence(aQuery.m_sequence);
  aOut.set_shard(aQuery.m_shard);
  aOut.set_knows_shards(aQuery.m_knowsShards);
  for (const QuotaDemand& each : aQuery.m_demands) {
    wire::QuotaDemand& demand = *aOut.add_demands();
    demand.set_workspace(each.m_workspace);
    demand.set_wanted(each.m_wanted);
    demand.set_milli_rate(each.m_milliRate);
  }
}

QuotaQuery
FromWire(const wire::QuotaQuery& aWire)
{
  QuotaQuery query{ .m_sequence = aWire.sequence(),
                    .m_shard = aWire.shard(),
                    .m_knowsShards = aWire.knows_shards() };
  for (const wire::QuotaDemand& each : aWire.demands()) {
    query.m_demands.push_back(
      { each.workspace(), each.wanted(), each.milli_rate() });
  }
  return query;
}

void
ToWire(const QuotaReport& aReport, wire::QuotaReport& aOut)
{
  aOut.set_sequence(aReport.m_sequence);
  aOut.set_shard(aReport.m_shard);
  aOut.set_shards(aReport.m_shards);
  aOut.set_ended_term(aReport.m_endedTerm);
  if (aReport.m_shard == 0) {
    aOut.set_coordinator(aReport.m_coordinator);
    aOut.set_term(aReport.m_term);
    aOut.set_is_granting(aReport.m_isGranting);
  } else {
    aOut.set_coordinator(aReport.m_firstCoordinator);
    aOut.set_shard_coordinator(aReport.m_coordinator);
    aOut.set_shard_term(aReport.m_term);
    aOut.set_shard_is_granting(aReport.m_isGranting);
  }
  if (aReport.m_proofAge) {
    aOut.set_proof_age_ms(
      static_cast<std::uint32_t>(aReport.m_proofAge->count()));
  }
  aOut.set_version(aReport.m_config.m_version.m_number);
  aOut.set_revision(aReport.m_config.m_revision);
  aOut.set_era(aReport.m_config.m_era);
  for (const QuotaGrant& each : aReport.m_grants) {
    wire::QuotaGrant& grant = *aOut.add_grants();
    grant.set_workspace(each.m_workspace);
    grant.set_tokens(each.m_tokens);
    grant.set_retry_after_ms(
      static_cast<std::uint32_t>(each.m_retryAfter.count()));
    grant.set_milli_reserve(each.m_milliReserve);
  }
}

QuotaReport
FromWire(const wire::QuotaReport& aWire)
{
  const bool isFirst = aWire.shard() == 0;
  QuotaReport report{
    .m_sequence = aWire.sequence(),
    .m_coordinator = isFirst ? aWire.coordinator() : aWire.shard_coordinator(),
    .m_term = isFirst ? aWire.term() : aWire.shard_term(),
    .m_isGranting = isFirst ? aWire.is_granting() : aWire.shard_is_granting(),
    .m_shard = aWire.shard(),
    .m_shards = aWire.shards(),
    .m_endedTerm = aWire.ended_term()
  };
  if (aWire.has_proof_age_ms()) {
    report.m_proofAge = std::chrono::milliseconds{ aWire.proof_age_ms() };
  }
  report.m_config = { Version{ aWire.version() },
                      aWire.revision(),
                      aWire.era() };
  for (const wire::QuotaGrant& each : aWire.grants()) {
    report.m_grants.push_back(
      { each.workspace(),
        each.tokens(),
        std::chrono::milliseconds{ each.retry_after_ms() },
        each.milli_reserve() });
  }
  return report;
}

}
