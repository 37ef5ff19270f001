#include "greengagehub/daemon/daemon.hpp"

#include "greengagehub/daemon/wall_clock.hpp"
#include "platform/dialect.hpp"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <random>

namespace greengagehub {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds{ 100 };
/// After a longer gap between ticks, the process drops links and permits.
constexpr auto kLongPauseThreshold = std::chrono::milliseconds{ 1000 };
constexpr int kFailureExitCode = 1;
constexpr auto kTrafficLogInterval = std::chrono::seconds{ 10 };
constexpr auto kDrainInterval = std::chrono::milliseconds{ 20 };

LogLevel
ParseLogLevel(std::string_view aName)
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
    components.emplace(each.m_name, ParseLogLevel(each.m_level));
  }
  return components;
}

Log
MakeLog(const Settings& aSettings)
{
  return { ParseLogLevel(aSettings.m_log.m_level),
           ComponentLevels(aSettings.m_log),
           aSettings.m_slot };
}

/// Milliseconds since the epoch; a restarted daemon has a higher number.
std::uint64_t
ProcessNumber()
{
  return static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
}

void
PrintSpan(const Span& aSpan)
{
  // Standard output is reserved for the log. A span that cannot be written is
  // dropped.
  const std::string line = SpanToOtlp(aSpan) + '\n';
  static_cast<void>(std::fwrite(line.data(), 1, line.size(), stderr));
}

}

Daemon::Daemon(Settings aSettings, std::string aFile)
  : m_settingsPath(std::move(aFile))
  , m_settings(std::move(aSettings))
  , m_log(MakeLog(m_settings))
  , m_requestLog(m_log)
  , m_connectionLog(m_log, m_metrics)
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
        .m_workerCounts = [this] { return m_calls.Counts(); },
        .m_resetWorkerCounts = [this] { m_calls.ResetCounts(); },
        .m_onPreviousWorker =
          [this](const WorkerDescription& aWorker) {
            OnPreviousWorker(aWorker);
          } })
  , m_calls({ .m_loop = m_loop,
              .m_settings = m_settings,
              .m_dialect = Dialect(),
              .m_holder = m_control.Holder(),
              .m_metrics = m_metrics,
              .m_requestLog = m_requestLog,
              .m_connectionLog = m_connectionLog,
              .m_traffic = m_traffic,
              .m_quarantine = m_control.GetQuarantine(),
              .m_rollouts = m_control.GetRollouts(),
              .m_workspaces = m_control.GetWorkspaces(),
              .m_process = m_process ^ m_random(),
              .m_trace = PrintSpan,
              .m_isReady = [this] { return m_control.IsReady(); },
              .m_highestKnownVersion =
                [this] { return m_control.HighestKnownVersion(); },
              .m_onNewerVersion =
                [this](const std::string& aSlot, Version aVersion) {
                  m_control.OnNewerVersion(aSlot, aVersion);
                },
              .m_onWorkerLeaving =
                [this](bool aIsLeaving) { OnWorkerLeaving(aIsLeaving); },
              .m_onWorkerReplaced =
                [this] {
                  if (m_platform) {
                    m_platform->OnWorkerReplaced();
                  }
                },
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
                  .m_startDrain = [this] { StartDrain(); } })
  , m_drainSignals(m_loop, SIGTERM, SIGINT)
  , m_reloadSignals(m_loop, SIGHUP)
  , m_tickTimer(m_loop)
  , m_spin(SpinSettings{ m_settings.m_calls.m_spin,
                         m_settings.m_calls.m_spinPercent })
  , m_drainTimer(m_loop)
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
    return kFailureExitCode;
  }
  m_drainSignals.async_wait([this](const asio::error_code& aError, int) {
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
    m_platform.emplace(PlatformEndpoints::Dependencies{
      .m_loop = m_loop,
      .m_settings = m_settings,
      .m_log = m_log,
      .m_metrics = m_metrics,
      .m_isReady = [this] { return m_control.IsReady() && !m_isDraining; },
      .m_onWorker =
        [this](const WorkerPresence& aPresence) { OnWorker(aPresence); } });
    opened = m_platform->Open();
  }
  return opened;
}

const CallDialect&
Daemon::Dialect() const noexcept
{
  static constexpr CallDialect kDefaultDialect{};
  return m_settings.m_platform.m_enabled ? platform::kDialect : kDefaultDialect;
}

void
Daemon::RunLoop()
{
  if (!m_spin.IsEnabled()) {
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
  bool hasRun = true;
  while (hasRun && (m_calls.InFlight() > 0 || m_calls.Runs().Running() > 0)) {
    const TimePoint start = Clock::now();
    const TimePoint until = start + m_spin.Available(start);
    TimePoint now = start;
    hasRun = false;
    while (now < until && !hasRun) {
      hasRun = m_loop.poll() > 0;
      now = Clock::now();
    }
    m_spin.Consume(now - start);
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
  if (aNow < m_nextTrafficLog) {
    return;
  }
  m_nextTrafficLog = aNow + kTrafficLogInterval;
  const platform::StoreCounts& store = m_control.GetStore().Counts();
  m_log.Info("traffic",
             "store_calls",
             { { "reads", store.m_reads },
               { "old_reads", store.m_staleReads },
               { "writes", store.m_writes },
               { "watches", store.m_watches },
               { "failed", store.m_failures } });
  m_traffic.ForEach(
    [this](TrafficPurpose aPurpose, bool aIsOtherDomain, std::uint64_t aBytes) {
      if (aIsOtherDomain && aBytes > 0) {
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
  const auto sinceLastTick = bootTime - m_lastBootTime;
  if (m_lastTick != TimePoint{} && sinceLastTick > kLongPauseThreshold) {
    m_log.Warning(
      "daemon",
      "was_paused",
      { { "milliseconds",
          std::chrono::duration_cast<std::chrono::milliseconds>(sinceLastTick)
            .count() } });
    m_calls.OnProcessResumed();
    m_control.OnProcessResumed();
  }
  m_lastTick = now;
  m_lastBootTime = bootTime;
  ProbeWorkerWhenDue(now);
  m_calls.OnTick(now);
  m_requestLog.OnTick();
  m_connectionLog.OnFailures(Failures());
  LogTrafficWhenDue(now);
  m_log.Flush();
  if (m_control.IsReady() != m_wasReady) {
    m_wasReady = !m_wasReady;
    m_log.Info("daemon", m_wasReady ? "ready" : "not_ready");
  }
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

DescriptorFailures
Daemon::Failures() const
{
  return { m_calls.Callers().AcceptCounts().m_failures,
           m_calls.LinksIn().AcceptFailures(),
           m_control.Bulk().Counts().m_failed };
}

void
Daemon::AwaitReload()
{
  m_reloadSignals.async_wait([this](const asio::error_code& aError, int) {
    if (!aError) {
      Reload();
      AwaitReload();
    }
  });
}

void
Daemon::Reload()
{
  auto settings = LoadSettings(m_settingsPath);
  if (!settings) {
    for (const Error& each : settings.error()) {
      m_log.Error("daemon", "reload_refused", { { "detail", Describe(each) } });
    }
    return;
  }
  // Settings of sockets, of the member table and of peers need a restart, as
  // does the switch that enables the platform.
  const bool enabled = m_settings.m_platform.m_enabled;
  m_settings.m_log = settings.value().m_log;
  m_settings.m_platform = settings.value().m_platform;
  m_settings.m_platform.m_enabled = enabled;
  m_settings.m_operatorToken = settings.value().m_operatorToken;
  m_log.SetLevels(ParseLogLevel(m_settings.m_log.m_level),
                  ComponentLevels(m_settings.m_log));
  m_log.Info("daemon", "reloaded");
}

void
Daemon::StartDrain()
{
  if (m_isDraining) {
    return;
  }
  m_isDraining = true;
  m_log.Info("daemon", "drain_started");
  m_control.GetWorkspaces().Resign();
  m_calls.CloseAfterAnswers();
  const CallSettings& calls = m_settings.m_calls;
  m_drain.emplace(
    Clock::now(),
    m_settings.m_platform.m_enabled
      ? PlatformDrainTimes(m_settings.m_platform.m_terminationGrace)
      : OwnDrainTimes(calls.m_linger, calls.m_drain));
  ContinueDrain();
}

DrainObservation
Daemon::ObserveDrain() const
{
  const bool hasCalls = m_calls.Runs().Load() > 0 || m_calls.InFlight() > 0 ||
                        m_calls.UnansweredRequests() > 0;
  const bool isClosing = m_drain->Stage() >= DrainStage::Closing;
  return { .m_hasWork = hasCalls || (isClosing && m_operators.Unanswered() > 0),
           .m_hasUnsentAnswers = m_calls.HasUnsentAnswers(),
           .m_hasOpenConnections =
             m_calls.HasOpenConnections() || m_operators.HasOpenConnections() ||
             (m_platform && m_platform->HasOpenConnections()) };
}

void
Daemon::ContinueDrain()
{
  const auto begun = m_drain->Advance(Clock::now(), ObserveDrain());
  if (begun) {
    BeginDrainStage(*begun);
  }
  if (m_drain->Stage() == DrainStage::Ended) {
    return;
  }
  m_drainTimer.expires_after(kDrainInterval);
  m_drainTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      ContinueDrain();
    }
  });
}

void
Daemon::BeginDrainStage(DrainStage aStage)
{
  m_log.Info("daemon", "drain_stage", { { "stage", NameOf(aStage) } });
  switch (aStage) {
    case DrainStage::Serving:
      return;
    case DrainStage::Leaving:
      DrainWorker();
      return;
    case DrainStage::Closing:
      m_calls.StopAcceptingRequests();
      m_operators.Finish();
      return;
    case DrainStage::Flushing:
      m_calls.EndCalls();
      m_calls.FinishLinks();
      if (m_platform) {
        m_platform->Finish();
      }
      return;
    case DrainStage::Ended:
      EndDrain(m_drain->IsClean());
      return;
  }
}

void
Daemon::EndDrain(bool aClean)
{
  m_exitCode = aClean ? 0 : kFailureExitCode;
  m_log.Info("daemon", "drain_ended", { { "clean", aClean } });
  m_calls.LogOpenConnections();
  m_nextTrafficLog = TimePoint{};
  LogTrafficWhenDue(Clock::now());
  m_log.Flush();
  m_control.Announce(MemberState::Left);
  m_loop.stop();
}

}
