#include "greengagehub/quarantine/verdict_writer.hpp"

#include "greengagehub/core/field_reader.hpp"
#include "greengagehub/core/parse_json.hpp"
#include "greengagehub/quarantine/quarantine.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace greengagehub {

namespace {

using Json = nlohmann::json;
using Status = StoreReply::Status;

constexpr std::chrono::milliseconds kRetryDelay{ 1000 };
constexpr std::uint64_t kFormatVersion = 1;

std::string
KeyOf(Fingerprint aFingerprint)
{
  return std::string{ kVerdictPrefix } + ToHex(aFingerprint);
}

}

std::string
VerdictToJson(const QuarantineVerdict& aVerdict)
{
  return Json{
    { "format", kFormatVersion },
    { "service", aVerdict.m_service },
    { "generation", aVerdict.m_generation },
    { "ends", aVerdict.m_crashCount }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Outcome<QuarantineVerdict>
ParseVerdict(std::string_view aKey, std::string_view aValue)
{
  const bool hasPrefix = aKey.starts_with(kVerdictPrefix);
  const auto fingerprint =
    ParseFingerprint(hasPrefix ? aKey.substr(kVerdictPrefix.size()) : "");
  if (!fingerprint) {
    return fingerprint.error();
  }
  const Json json = ParseJson(aValue);
  FieldReader fields{ json };
  QuarantineVerdict verdict;
  verdict.m_fingerprint = fingerprint.value();
  verdict.m_isQuarantined = true;
  verdict.m_service = fields.Text("service");
  verdict.m_generation =
    static_cast<std::uint32_t>(fields.Unsigned("generation", UINT32_MAX));
  verdict.m_crashCount =
    static_cast<std::uint32_t>(fields.Unsigned("ends", UINT32_MAX));
  if (fields.Unsigned("format") != kFormatVersion ||
      verdict.m_generation == 0) {
    fields.AddError("format", "a supported format with a generation above 0");
  }
  if (!fields.FirstError().empty()) {
    return Error{ ErrorCode::Corrupt, fields.FirstError() };
  }
  return verdict;
}

void
VerdictWriter::DropJobs(Fingerprint aFingerprint)
{
  const auto isSame = [aFingerprint](const Job& aJob) {
    return aJob.m_verdict.m_fingerprint == aFingerprint;
  };
  const auto first = m_jobs.begin() + (m_step ? 1 : 0);
  m_isStale = m_isStale || (m_step && isSame(m_jobs.front()));
  m_jobs.erase(std::remove_if(first, m_jobs.end(), isSame), m_jobs.end());
}

void
VerdictWriter::QueueWrite(QuarantineVerdict aVerdict,
                          TimePoint aNotBefore,
                          bool aChecksFirst)
{
  DropJobs(aVerdict.m_fingerprint);
  m_jobs.push_back({ std::move(aVerdict),
                     aNotBefore,
                     aChecksFirst ? Step::Check : Step::Lease });
}

void
VerdictWriter::Lift(Fingerprint aFingerprint, TimePoint aNow)
{
  DropJobs(aFingerprint);
  QuarantineVerdict verdict;
  verdict.m_fingerprint = aFingerprint;
  m_jobs.push_back({ std::move(verdict), aNow, Step::Delete });
}

StoreRequest
VerdictWriter::Begin(Step aStep)
{
  m_step = aStep;
  const std::string key = KeyOf(m_jobs.front().m_verdict.m_fingerprint);
  switch (aStep) {
    case Step::Check:
      return MakeGet(key);
    case Step::Delete:
      return MakeDelete(key);
    default:
      return { .m_kind = StoreRequest::Kind::LeaseGrant,
               .m_wait = Quarantine::kQuarantineTime };
  }
}

StoreRequest
VerdictWriter::PutIfRevision(Revision aExpected)
{
  m_step = Step::Put;
  const QuarantineVerdict& verdict = m_jobs.front().m_verdict;
  StoreRequest request =
    MakePut(KeyOf(verdict.m_fingerprint), VerdictToJson(verdict), aExpected);
  request.m_lease = m_lease;
  return request;
}

std::optional<StoreRequest>
VerdictWriter::OnTick(TimePoint aNow)
{
  if (m_step) {
    return std::nullopt;
  }
  const auto due = std::ranges::find_if(
    m_jobs, [aNow](const Job& aJob) { return aJob.m_due <= aNow; });
  if (due == m_jobs.end()) {
    return std::nullopt;
  }
  std::rotate(m_jobs.begin(), due, due + 1);
  m_isStale = false;
  return Begin(m_jobs.front().m_firstStep);
}

void
VerdictWriter::FinishJob()
{
  m_jobs.pop_front();
  m_step.reset();
}

void
VerdictWriter::RetryLater(TimePoint aNow)
{
  m_jobs.front().m_due = aNow + kRetryDelay;
  m_step.reset();
}

std::optional<StoreRequest>
VerdictWriter::OnReply(TimePoint aNow, const StoreReply& aReply)
{
  if (!m_step) {
    return std::nullopt;
  }
  if (m_isStale) {
    FinishJob();
    return std::nullopt;
  }
  const bool ok = aReply.m_status == Status::Ok;
  const bool isMissing = aReply.m_status == Status::NotFound;
  switch (*m_step) {
    case Step::Check:
      if (isMissing) {
        return Begin(Step::Lease);
      }
      break;
    case Step::Lease:
      if (ok) {
        m_lease = aReply.m_lease;
        return PutIfRevision(0);
      }
      RetryLater(aNow);
      return std::nullopt;
    case Step::Put:
      return OnPutReply(aNow, aReply);
    case Step::Delete:
      break;
  }
  if (ok || isMissing) {
    FinishJob();
  } else {
    RetryLater(aNow);
  }
  return std::nullopt;
}

std::optional<StoreRequest>
VerdictWriter::OnPutReply(TimePoint aNow, const StoreReply& aReply)
{
  if (aReply.m_status == Status::Conflict) {
    const bool isStored =
      aReply.m_value == VerdictToJson(m_jobs.front().m_verdict);
    if (!isStored) {
      // The stored verdict is from an earlier generation, whose lease expires
      // sooner.
      return PutIfRevision(aReply.m_revision);
    }
    FinishJob();
  } else if (aReply.m_status == Status::Ok) {
    FinishJob();
  } else {
    RetryLater(aNow);
  }
  return std::nullopt;
}

}
