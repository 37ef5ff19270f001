#include "greengagehub/daemon/daemon.hpp"

#include "greengagehub/daemon/leaving.hpp"
#include "greengagehub/daemon/wall_clock.hpp"
#include "platform/dialect.hpp"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <random>

namespace greengagehub {

namespace {

constexpr auto kTick = std::chrono::milliseconds{ 100 };
/// A tick this late means that the process was paused.
constexpr auto kPause = std::chrono::milliseconds{ 1000 };
constexpr int kUncleanDrain = 1;
/// Between two tellings of what crossed between failure domains, a line for
/// each purpose.
constexpr auto kTrafficLineEvery = std::chrono::seconds{ 10 };
/// Left of the grace time when a drain that is not done gives up.
constexpr auto kKillMargin = std::chrono::milliseconds{ 400 };
/// A daemon asks its worker for its id so often, at most, and so long apart,
/// while no report has come. Workers report every second or two.
constexpr int kMaxProbes = 3;
constexpr auto kProbeEvery = std::chrono::milliseconds{ 500 };

LogLevel
LevelFrom(std::string_view aName)
{
  for (const LogLevel each : { LogLevel::Debug,
                               LogLevel::Info,
                               LogLevel::Warning,
                               LogLevel::Error }) {
    if (NameOf(each) == aName) {
      return each;
    }
  }
  return LogLevel::Info;
}

std::map<std::string, LogLevel, std::less<>>
ComponentLevels(const LogSettings& aSettings)
{
  std::map<std::string, LogLevel, std::less<>> components;
  for (const LogSettings::Component& each : aSettings.m_components) {
    components.emplace(each.m_name, LevelFrom(each.m_level));
  }
  return components;
}

Log
MakeLog(const Settings& aSettings)
{
  return { LevelFrom(aSettings.m_log.m_level),
           ComponentLevels(aSettings.m_log),
           aSettings.m_slot };
}

/// Milliseconds at start, so that a restart is later than what it replaces.
std::uint64_t
ProcessNumber()
{
  return static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
}

void
PrintSpan(const Span& aSpan)
{
  // Apart from the log, which has standard output to itself.
  fmt::print(stderr, "{}\n", SpanToOtlp(aSpan));
}

}

Daemon::Daemon(Settings aSettings, std::string aFile)
  : m_file(std::move(aFile))
  , m_settings(std::move(aSettings))
  , m_log(MakeLog(m_settings))
  , m_requests(m_log)
  , m_process(ProcessNumber())
  , m_random(std::random_device{}())
  , m_control(
      m_loop,
      m_settings,
      m_log,
      m_process,
      m_random(),
      m_traffic,
      { .m_onMember =
          [this](const MemberEvent& aEvent) { m_calls.OnMember(aEvent); },
        .m_onVersion = [this] { m_calls.OnVersion(); },
        .m_ownCounts = [this] { return m_calls.Counts(); },
        .m_countAnew = [this] { m_calls.CountAnew(); } })
  , m_calls({ .m_loop = m_loop,
              .m_settings = m_settings,
              .m_dialect = Dialect(),
              .m_holder = m_control.Holder(),
              .m_metrics = m_metrics,
              .m_requests = m_requests,
              .m_traffic = m_traffic,
              .m_quarantine = m_control.GetQuarantine(),
              .m_rollouts = m_control.GetRollouts(),
              .m_workspaces = m_control.GetWorkspaces(),
              .m_process = m_process ^ m_random(),
              .m_trace = PrintSpan,
              .m_isReady = [this] { return m_control.IsReady(); },
              .m_members = [this]() -> const MemberTable& {
                return m_control.Members().Members();
              } },
            m_random())
  , m_operators({ .m_loop = m_loop,
                  .m_settings = m_settings,
                  .m_control = m_control,
                  .m_calls = m_calls,
                  .m_metrics = m_metrics,
                  .m_traffic = m_traffic,
                  .m_drain = [this] { StartDrain(); } })
  , m_signals(m_loop, SIGTERM, SIGINT)
  , m_reloads(m_loop, SIGHUP)
  , m_tick(m_loop)
  , m_spin(SpinSettings{ m_settings.m_calls.m_spin,
                         m_settings.m_calls.m_spinPercent })
{
}

int
Daemon::Run()
{
  const auto opened = Open();
  if (!opened) {
    m_log.Error(
      "daemon", "cannot_listen", { { "detail", opened.error().m_message } });
    m_log.Flush();
    return kUncleanDrain;
  }
  m_signals.async_wait([this](const asio::error_code& aError, int) {
    if (!aError) {
      StartDrain();
    }
  });
  AwaitReload();
  m_control.Start(m_calls.LinkPort());
  LogListening();
  m_log.Flush();
  Tick();
  RunLoop();
  return m_exitCode;
}

Outcome<std::uint16_t>
Daemon::Open()
{
  auto opened = m_calls.Open();
  if (opened) {
    opened = m_operators.Open();
  }
  if (opened && m_settings.m_platform.m_enabled) {
    m_platform.emplace(PlatformEndpoints::Parts{
      .m_loop = m_loop,
      .m_settings = m_settings,
      .m_log = m_log,
      .m_metrics = m_metrics,
      .m_isReady = [this] { return m_control.IsReady() && !m_draining; },
      .m_typicalSlots = [this] { return m_control.LeastSlotsOfOwnService(); },
      .m_onWorker =
        [this](const WorkerPresence& aPresence) { OnWorker(aPresence); } });
    opened = m_platform->Open();
  }
  return opened;
}

const CallDialect&
Daemon::Dialect() const noexcept
{
  static constexpr CallDialect kOwn{};
  return m_settings.m_platform.m_enabled ? platform::kDialect : kOwn;
}

void
Daemon::OnWorker(const WorkerPresence& aPresence)
{
  m_calls.OnWorker(aPresence);
  const bool leaves = m_workerLeft || !aPresence.TakesCalls();
  const WorkerReport& worker = *aPresence.Current();
  m_control.Announce(
    leaves ? MemberState::Leaving : MemberState::Alive,
    { worker.m_slots, TagOf(worker.m_start), worker.m_version });
}

void
Daemon::RunLoop()
{
  if (!m_spin.IsOn()) {
    m_loop.run();
    return;
  }
  while (!m_loop.stopped()) {
    m_loop.run_one();
    Spin();
  }
}

void
Daemon::Spin()
{
  bool found = true;
  while (found && (m_calls.InFlight() > 0 || m_calls.Runs().Running() > 0)) {
    const TimePoint start = Clock::now();
    const TimePoint until = start + m_spin.Allowed(start);
    TimePoint now = start;
    found = false;
    while (now < until && !found) {
      found = m_loop.poll() > 0;
      now = Clock::now();
    }
    m_spin.Spent(now - start);
  }
}

void
Daemon::LogListening()
{
  const auto port = [](std::uint16_t aPort) {
    return static_cast<std::uint64_t>(aPort);
  };
  m_log.Info(
    "daemon",
    "listening",
    { { "calls_port", port(m_calls.CallsPort()) },
      { "operators_port", port(m_operators.Port()) },
      { "gossip_port", port(m_control.Gossip().Port()) },
      { "bulk_port", port(m_control.Bulk().Port()) },
      { "link_port", port(m_calls.LinkPort()) },
      { "readiness_port", port(m_platform ? m_platform->ReadinessPort() : 0) },
      { "heartbeats_port",
        port(m_platform ? m_platform->HeartbeatsPort() : 0) } });
}

void
Daemon::LogTrafficWhenDue(TimePoint aNow)
{
  if (aNow < m_nextTrafficLine) {
    return;
  }
  m_nextTrafficLine = aNow + kTrafficLineEvery;
  const platform::StoreCounts& store = m_control.GetStore().Counts();
  m_log.Info("traffic",
             "store_calls",
             { { "reads", store.m_reads },
               { "old_reads", store.m_oldReads },
               { "writes", store.m_writes },
               { "watches", store.m_watches },
               { "failed", store.m_failures } });
  m_traffic.ForEach(
    [this](TrafficPurpose aPurpose, bool aIsFar, std::uint64_t aBytes) {
      if (aIsFar && aBytes > 0) {
        m_log.Info("traffic",
                   "bytes_between_domains",
                   { { "purpose", NameOf(aPurpose) }, { "bytes", aBytes } });
      }
    });
}

void
Daemon::Tick()
{
  const TimePoint now = Clock::now();
  const std::chrono::nanoseconds bootTime = BootTime();
  const auto since = bootTime - m_lastBootTime;
  if (m_lastTick != TimePoint{} && since > kPause) {
    m_log.Warning(
      "daemon",
      "was_paused",
      { { "milliseconds",
          std::chrono::duration_cast<std::chrono::milliseconds>(since)
            .count() } });
    m_calls.OnProcessResumed();
    m_control.OnProcessResumed();
  }
  m_lastTick = now;
  m_lastBootTime = bootTime;
  ProbeWorkerWhenDue(now);
  m_calls.OnTick(now);
  m_requests.OnTick();
  LogTrafficWhenDue(now);
  m_log.Flush();
  if (m_control.IsReady() != m_wasReady) {
    m_wasReady = !m_wasReady;
    m_log.Info("daemon", m_wasReady ? "ready" : "not_ready");
  }
  if (m_draining) {
    ContinueDrain(now);
  }
  m_tick.expires_after(kTick);
  m_tick.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

// ---------------------------------------------------------------------------
// Reload

void
Daemon::AwaitReload()
{
  m_reloads.async_wait([this](const asio::error_code& aError, int) {
    if (!aError) {
      Reload();
      AwaitReload();
    }
  });
}

void
Daemon::Reload()
{
  auto settings = LoadSettings(m_file);
  if (!settings) {
    for (const Error& each : settings.error()) {
      m_log.Error("daemon", "reload_refused", { { "detail", Describe(each) } });
    }
    return;
  }
  // What sockets, tables and peers were set up with stays until a restart, and
  // so does whether there is a platform at all.
  const bool enabled = m_settings.m_platform.m_enabled;
  m_settings.m_log = settings.value().m_log;
  m_settings.m_platform = settings.value().m_platform;
  m_settings.m_platform.m_enabled = enabled;
  m_settings.m_operatorToken = settings.value().m_operatorToken;
  m_log.SetLevels(LevelFrom(m_settings.m_log.m_level),
                  ComponentLevels(m_settings.m_log));
  m_log.Info("daemon", "reloaded");
}

// ---------------------------------------------------------------------------
// Drain

void
Daemon::ProbeWorkerWhenDue(TimePoint aNow)
{
  const bool due = m_platform && m_probes < kMaxProbes && !m_draining &&
                   m_control.Holder().GetVersion() > Version{} &&
                   !m_platform->Worker().Current() && aNow >= m_nextProbe;
  if (!due) {
    return;
  }
  ++m_probes;
  m_nextProbe = aNow + kProbeEvery;
  m_calls.ProbeWorker(
    [this](std::string aId) { m_platform->OnProbed(std::move(aId)); });
}

void
Daemon::LeaveWorker()
{
  if (m_workerLeft) {
    return;
  }
  m_workerLeft = true;
  m_control.Announce(MemberState::Leaving);
  m_calls.StartLeaving();
}

void
Daemon::StartDrain()
{
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_log.Info("daemon", "drain_started");
  m_control.GetWorkspaces().Resign();
  m_drainFrom = Clock::now();
  m_drainUntil = m_drainFrom + m_settings.m_calls.m_drain;
  if (m_settings.m_platform.m_enabled) {
    m_drainUntil = m_drainFrom + m_settings.m_platform.m_grace - kKillMargin;
  }
  if (!m_settings.m_platform.m_enabled) {
    LeaveWorker();
  }
}

bool
Daemon::IsBusy() const
{
  return m_calls.Runs().Load() > 0 || m_calls.InFlight() > 0 ||
         m_calls.WaitingCallers() > 0 || m_calls.HasUnsentAnswers();
}

void
Daemon::ContinueDrain(TimePoint aNow)
{
  if (IsBusy()) {
    m_idleSince = TimePoint{};
  } else if (m_idleSince == TimePoint{}) {
    m_idleSince = aNow;
  }
  const bool idle = m_idleSince != TimePoint{};
  const bool lingered =
    idle && aNow - m_idleSince >= m_settings.m_calls.m_linger;
  if (m_settings.m_platform.m_enabled) {
    const LeavingStep step = StepOfLeaving(aNow - m_drainFrom);
    if (!step.m_servesWorker) {
      LeaveWorker();
    }
    if (!m_finishing && !step.m_takesCallers) {
      m_finishing = true;
      m_calls.FinishCallers();
    }
    if (m_finishing && (idle || aNow >= m_drainUntil)) {
      EndDrain(idle);
    }
    return;
  }
  if (lingered || aNow >= m_drainUntil) {
    m_calls.FinishCallers();
    EndDrain(lingered);
  }
}

void
Daemon::EndDrain(bool aClean)
{
  m_exitCode = aClean ? 0 : kUncleanDrain;
  m_log.Info("daemon", "drain_ended", { { "clean", aClean } });
  m_nextTrafficLine = TimePoint{};
  LogTrafficWhenDue(Clock::now());
  m_log.Flush();
  m_control.Announce(MemberState::Left);
  m_loop.stop();
}

}
