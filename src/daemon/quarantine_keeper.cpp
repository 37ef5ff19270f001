#include "greengagehub/daemon/quarantine_keeper.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "quarantine";
/// Between two tries to read the store while it is away.
constexpr auto kReadAgain = std::chrono::milliseconds{ 1000 };
/// A daemon beside a worker that ended writes the verdict within a call's time;
/// after this it is taken for lost.
constexpr auto kWriteForOthersAfter = std::chrono::milliseconds{ 1500 };

}

QuarantineKeeper::QuarantineKeeper(Parts aParts)
  : m_parts(std::move(aParts))
{
}

void
QuarantineKeeper::Start()
{
  Read(true);
}

void
QuarantineKeeper::OnTick(TimePoint aNow, bool aReads)
{
  if (aReads && !m_hasRead && !m_isReading && aNow >= m_nextRead) {
    m_nextRead = aNow + kReadAgain;
    Read(false);
  }
  Carry(aNow, m_quarantine.OnTick(aNow), Reach::Domain);
  Write(m_writer.OnTick(aNow));
}

void
QuarantineKeeper::OnOwnEnd(EndReport aReport)
{
  const TimePoint now = Clock::now();
  Carry(now, m_quarantine.OnOwnEnd(now, std::move(aReport)), Reach::All);
}

void
QuarantineKeeper::OnRanWell(Fingerprint aContent)
{
  const TimePoint now = Clock::now();
  Carry(now, m_quarantine.OnRanWell(now, aContent), Reach::All);
}

void
QuarantineKeeper::OnNews(const QuarantineNews& aNews)
{
  const TimePoint now = Clock::now();
  Carry(now, m_quarantine.OnNews(now, aNews), Reach::Domain);
}

void
QuarantineKeeper::OnStoreRestored()
{
  if (!m_parts.m_writesForOthers()) {
    return;
  }
  const TimePoint now = Clock::now();
  for (const ContentVerdict& each : m_quarantine.Verdicts(now)) {
    if (each.m_isHeld) {
      m_writer.Hold(each, now, true);
    }
  }
  Write(m_writer.OnTick(now));
}

bool
QuarantineKeeper::Lift(Fingerprint aContent)
{
  const TimePoint now = Clock::now();
  const auto changes = m_quarantine.Lift(now, aContent);
  if (changes) {
    Carry(now, *changes, Reach::All);
  }
  return changes.has_value();
}

void
QuarantineKeeper::Carry(TimePoint aNow,
                        const QuarantineChanges& aChanges,
                        Reach aReach)
{
  for (const ContentVerdict& each : aChanges.m_verdicts) {
    LogVerdict(each, aReach);
    const bool isOwn =
      std::ranges::any_of(aChanges.m_own, [&](const ContentVerdict& aOwn) {
        return aOwn.m_content == each.m_content;
      });
    if (!each.m_isHeld) {
      // Whoever lets it go deletes the key; when its time is over the store
      // has done so itself.
      if (aReach == Reach::All) {
        m_writer.Lift(each.m_content, aNow);
      }
    } else if (isOwn) {
      m_writer.Hold(each, aNow, false);
    } else if (m_parts.m_writesForOthers()) {
      m_writer.Hold(each, aNow + kWriteForOthersAfter, true);
    }
  }
  if (!aChanges.m_news.IsEmpty()) {
    m_parts.m_spread(aChanges.m_news, aReach);
  }
  if (!aChanges.m_verdicts.empty()) {
    Write(m_writer.OnTick(aNow));
  }
}

void
QuarantineKeeper::LogVerdict(const ContentVerdict& aVerdict, Reach aReach) const
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  m_parts.m_log.Warning(
    kComponent,
    aVerdict.m_isHeld ? "content_held" : "content_lifted",
    { { "content", ToHex(aVerdict.m_content) },
      { "cause", NameOf(aVerdict.m_cause) },
      { "service", aVerdict.m_service },
      { "ends", std::uint64_t{ aVerdict.m_ends } },
      { "generation", std::uint64_t{ aVerdict.m_generation } },
      { "age_ms", duration_cast<milliseconds>(aVerdict.m_age).count() },
      { "decided", aReach == Reach::All ? "here" : "elsewhere" } });
}

// ---------------------------------------------------------------------------
// Store

void
QuarantineKeeper::Read(bool aMayBeOld)
{
  m_isReading = true;
  const std::string prefix{ kVerdictPrefix };
  m_parts.m_store.Carry(
    aMayBeOld ? MakeOldList(prefix) : MakeList(prefix),
    [this, aMayBeOld](const StoreReply& aReply) { OnRead(aReply, aMayBeOld); });
}

void
QuarantineKeeper::OnRead(const StoreReply& aReply, bool aMayBeOld)
{
  m_isReading = false;
  if (aReply.m_status != StoreReply::Status::Ok) {
    // Others that know tell it, too; a speaker tries again.
    m_parts.m_log.Info(kComponent, "store_not_read", { { "old", aMayBeOld } });
    return;
  }
  m_hasRead = m_hasRead || !aMayBeOld;
  QuarantineNews news;
  for (const StoreItem& each : aReply.m_items) {
    const auto verdict = ParseVerdict(each.m_key, each.m_value);
    if (verdict) {
      news.m_verdicts.push_back(verdict.value());
    } else {
      m_parts.m_log.Warning(
        kComponent,
        "entry_not_read",
        { { "key", each.m_key }, { "detail", verdict.error().m_message } });
    }
  }
  OnNews(news);
}

void
QuarantineKeeper::Write(std::optional<StoreRequest> aRequest)
{
  if (!aRequest) {
    return;
  }
  m_parts.m_store.Carry(std::move(*aRequest), [this](const StoreReply& aReply) {
    Write(m_writer.OnReply(Clock::now(), aReply));
  });
}

}
