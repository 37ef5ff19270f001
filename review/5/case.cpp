#include "../harness_2.hpp"

// Clients of two machines send requests with a body below the operator's limit,
// one at a time. The platform kills a process that exceeds its memory, and
// starts it again.

namespace {

using namespace review; // NOLINT: a test in one file

/// As in the examples of the wire page and of DEPLOY.md.
constexpr std::size_t kMaxBodyBytes = 67'108'864;
constexpr std::int64_t kMemoryMb = 260;

constexpr std::size_t kLargeBytes = 66'000'000;
constexpr std::size_t kSmallBytes = 1'000'000;
constexpr int kRounds = 6;
constexpr std::int64_t kRoundMs = 6000;
constexpr std::int64_t kRestartMs = 500;
/// As `status-read` of the site.
constexpr std::int64_t kWorkMs = 120;
/// LOST: "more than three times".
constexpr std::size_t kMaxLost = 3;

/// \returns The largest resident size so far, in kB; 0: no process.
std::int64_t
PeakKb(pid_t aPid)
{
  std::istringstream status{ ReadFile("/proc/" + std::to_string(aPid) +
                                      "/status") };
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      std::int64_t size = 0;
      status >> size;
      return size;
    }
  }
  return 0;
}

/// The part of the platform that limits memory and restarts processes.
class MemoryWatch
{
public:
  MemoryWatch(Fleet& aFleet, Record& aRecord)
    : m_thread([this, &aFleet, &aRecord] { Run(aFleet, aRecord); })
  {
  }
  ~MemoryWatch() { Stop(); }
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  void Stop()
  {
    m_isEnding = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }
  [[nodiscard]] const std::map<std::string, int>& Ends() const
  {
    return m_ends;
  }
  [[nodiscard]] std::int64_t HighestKb() const { return m_highestKb; }

private:
  void Run(Fleet& aFleet, Record& aRecord)
  {
    std::map<Machine*, std::int64_t> restarts;
    while (!m_isEnding) {
      for (const auto& each : aFleet.Machines()) {
        Machine* machine = each.get();
        if (restarts.contains(machine)) {
          if (NowMs() >= restarts[machine]) {
            aFleet.StartDaemon(*machine);
            restarts.erase(machine);
          }
          continue;
        }
        const std::int64_t peak = PeakKb(machine->m_daemon->Pid());
        m_highestKb = std::max(m_highestKb, peak);
        if (peak > kMemoryMb * 1024) {
          aRecord.Say("daemon of " + machine->m_name + " has used " +
                      std::to_string(peak / 1024) + " MB of " +
                      std::to_string(kMemoryMb));
          aFleet.KillDaemon(*machine);
          ++m_ends[machine->m_name];
          restarts[machine] = NowMs() + kRestartMs;
        }
      }
      SleepMs(2);
    }
  }

  std::map<std::string, int> m_ends;
  std::int64_t m_highestKb{ 0 };
  std::atomic<bool> m_isEnding{ false };
  std::thread m_thread;
};

/// Clients that keep their connections, several on each machine.
class KeptClients
{
public:
  static constexpr int kPerMachine = 8;

  KeptClients(Fleet& aFleet, Record& aRecord)
  {
    for (const auto& each : aFleet.Machines()) {
      for (int i = 0; i < kPerMachine; ++i) {
        m_threads.emplace_back([this, &aFleet, &aRecord, &each, i] {
          Run(aFleet, aRecord, *each, each->m_name + "/" + std::to_string(i));
        });
      }
    }
  }
  ~KeptClients() { Stop(); }
  KeptClients(const KeptClients&) = delete;
  KeptClients& operator=(const KeptClients&) = delete;

  void Stop()
  {
    m_isEnding = true;
    for (std::thread& each : m_threads) {
      if (each.joinable()) {
        each.join();
      }
    }
  }
  /// \returns Requests whose connection, on which others had been answered,
  /// ended without an answer.
  [[nodiscard]] const std::set<std::string>& Unanswered() const
  {
    return m_unanswered;
  }
  [[nodiscard]] std::size_t Answered() const { return m_answered; }

private:
  void Run(Fleet& aFleet,
           Record& aRecord,
           const Machine& aMachine,
           const std::string& aName)
  {
    Socket socket;
    bool isKept = false;
    for (std::uint64_t i = 1; !m_isEnding; ++i) {
      if (!socket.IsOpen()) {
        socket = Socket::Connect(aMachine.m_host,
                                 aMachine.m_host,
                                 aFleet.ThePorts().m_calls,
                                 kDeadlineMs + 1000);
        isKept = false;
        if (!socket.IsOpen()) {
          SleepMs(50);
          continue;
        }
      }
      const std::string id = aName + "-" + std::to_string(i);
      const bool isSent = socket.Send(Text(
        { "GET /status/2f HTTP/1.1",
          { { "Host", "a.example" },
            { "X-Greengagehub-Request-Id", id },
            { "X-Greengagehub-Deadline-Ms", std::to_string(kDeadlineMs) } },
          "" }));
      const auto answer = isSent ? socket.Receive() : std::nullopt;
      if (!answer) {
        aRecord.Line("client " + id +
                     ": the connection ends without an answer");
        const std::lock_guard lock{ m_mutex };
        if (isKept && isSent) {
          m_unanswered.insert(id);
        }
        socket.Close();
        continue;
      }
      aRecord.Line("client " + id + ": " + answer->Word(1));
      ++m_answered;
      isKept = true;
      if (answer->Header("Connection") == "close") {
        socket.Close();
      }
    }
  }

  static constexpr std::int64_t kDeadlineMs = 2500;

  std::mutex m_mutex;
  std::set<std::string> m_unanswered;
  std::atomic<std::size_t> m_answered{ 0 };
  std::atomic<bool> m_isEnding{ false };
  std::vector<std::thread> m_threads;
};

std::string
LargeConfig()
{
  std::string config = PlainConfig("0000000c");
  const std::string limit = "\"max_body_bytes\":1000000";
  config.replace(config.find(limit),
                 limit.size(),
                 "\"max_body_bytes\":" + std::to_string(kMaxBodyBytes));
  return config;
}

bool
Run(Record& aRecord)
{
  Fleet fleet{ { .m_config = LargeConfig() }, aRecord };
  fleet.PutConfig();
  std::atomic<bool> never{ false };
  for (const auto& each : fleet.Machines()) {
    fleet.StartDaemon(*each);
  }
  for (const auto& each : fleet.Machines()) {
    if (!fleet.WaitForControl(*each)) {
      throw std::runtime_error{ "a daemon does not listen" };
    }
    fleet.StartBeats(*each, never);
  }
  if (!fleet.WaitForAll()) {
    throw std::runtime_error{ "the daemons are not ready" };
  }
  aRecord.Say("all daemons are ready");
  for (const auto& each : fleet.Machines()) {
    each->m_worker->SetWorkMs(kWorkMs);
  }
  KeptClients clients{ fleet, aRecord };
  SleepMs(5000);
  MemoryWatch watch{ fleet, aRecord };
  const std::size_t bytes = HasTrouble() ? kLargeBytes : kSmallBytes;
  const std::int64_t begin = NowMs();
  for (int round = 0; round < kRounds; ++round) {
    SleepMs(std::max<std::int64_t>(0, begin + round * kRoundMs - NowMs()));
    for (std::size_t i = 0; i < 2; ++i) {
      const Sent sent = fleet.Request(fleet.At(i),
                                      "POST",
                                      "/release/2f",
                                      "large-" + std::to_string(i) + "-" +
                                        std::to_string(round),
                                      3000,
                                      std::string(bytes, 'x'));
      aRecord.Say("request " + sent.m_id + " with " + std::to_string(bytes) +
                  " bytes, answer " + std::to_string(sent.m_status) +
                  " after " + std::to_string(sent.m_answeredAt - sent.m_at) +
                  " ms");
    }
  }
  SleepMs(2000);
  watch.Stop();
  clients.Stop();
  aRecord.Say("largest resident size seen: " +
              std::to_string(watch.HighestKb() / 1024) + " MB");
  std::set<std::string> ran;
  for (const auto& each : fleet.Machines()) {
    for (const Arrival& arrival : each->m_worker->Arrivals()) {
      ran.insert(arrival.m_id);
    }
  }
  std::size_t lost = 0;
  for (const std::string& each : clients.Unanswered()) {
    lost += ran.contains(each) ? 1 : 0;
  }
  aRecord.Say("requests answered on kept connections: " +
              std::to_string(clients.Answered()));
  aRecord.Say("requests of kept connections that were passed on to a worker, "
              "and whose connection ended without an answer: " +
              std::to_string(lost));
  for (const auto& [name, ends] : watch.Ends()) {
    aRecord.Say("ends for memory on " + name + ": " + std::to_string(ends));
  }
  return lost > kMaxLost;
}

}

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, Run);
}
