#pragma once

// Shared parts of the scripts 5 to 8: a small fleet on loopback addresses, one
// address a machine, with stand-ins for workers, clients and the operator. The
// store is the project's own stand-in. Plain sockets and threads, no library.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// \returns Milliseconds since the start of the script.
inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aMs });
}

inline bool
WaitUntil(const std::function<bool()>& aCondition, std::int64_t aLimitMs)
{
  const std::int64_t until = NowMs() + aLimitMs;
  while (!aCondition()) {
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(10);
  }
  return true;
}

/// What was sent, answered and run, one line each.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : m_file(aFile)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock{ m_mutex };
    m_file << NowMs() << " ms  " << aText << "\n" << std::flush;
  }
  void Say(const std::string& aText)
  {
    Line(aText);
    const std::lock_guard lock{ m_mutex };
    std::cout << NowMs() << " ms  " << aText << "\n" << std::flush;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// HTTP.

struct Message
{
  std::string m_start{};
  std::vector<std::pair<std::string, std::string>> m_headers{};
  std::string m_body{};

  [[nodiscard]] std::string Header(std::string_view aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (name.size() == aName.size() &&
          strncasecmp(name.data(), aName.data(), aName.size()) == 0) {
        return value;
      }
    }
    return {};
  }
  [[nodiscard]] std::string Word(std::size_t aIndex) const
  {
    std::istringstream words{ m_start };
    std::string word;
    for (std::size_t i = 0; i <= aIndex; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
};

inline std::string
Text(const Message& aMessage)
{
  std::string out = aMessage.m_start + "\r\n";
  for (const auto& [name, value] : aMessage.m_headers) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
  out +=
    "Content-Length: " + std::to_string(aMessage.m_body.size()) + "\r\n\r\n";
  return out + aMessage.m_body;
}

/// A blocking socket.
class Socket
{
public:
  explicit Socket(int aDescriptor = -1) noexcept
    : m_descriptor(aDescriptor)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept
    : m_descriptor(std::exchange(aOther.m_descriptor, -1))
    , m_rest(std::move(aOther.m_rest))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    if (this != &aOther) {
      Close();
      m_descriptor = std::exchange(aOther.m_descriptor, -1);
      m_rest = std::move(aOther.m_rest);
    }
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] bool IsOpen() const noexcept { return m_descriptor >= 0; }
  [[nodiscard]] int Descriptor() const noexcept { return m_descriptor; }
  void Close() noexcept
  {
    if (m_descriptor >= 0) {
      close(std::exchange(m_descriptor, -1));
    }
    m_rest.clear();
  }

  static sockaddr_in Address(const std::string& aHost, int aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
    return address;
  }

  /// \param aFrom address of the machine that connects.
  static Socket Connect(const std::string& aFrom,
                        const std::string& aHost,
                        int aPort,
                        std::int64_t aTimeoutMs)
  {
    Socket made{ socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    const int on = 1;
    setsockopt(made.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    made.SetTimeout(aTimeoutMs);
    const sockaddr_in from = Address(aFrom, 0);
    const sockaddr_in to = Address(aHost, aPort);
    const bool isConnected = bind(made.m_descriptor,
                                  reinterpret_cast<const sockaddr*>(&from),
                                  sizeof(from)) == 0 &&
                             connect(made.m_descriptor,
                                     reinterpret_cast<const sockaddr*>(&to),
                                     sizeof(to)) == 0;
    if (!isConnected) {
      made.Close();
    }
    return made;
  }

  static Socket Listen(const std::string& aHost, int aPort)
  {
    Socket made{ socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    const int on = 1;
    setsockopt(made.m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address(aHost, aPort);
    const bool isListening = bind(made.m_descriptor,
                                  reinterpret_cast<const sockaddr*>(&address),
                                  sizeof(address)) == 0 &&
                             listen(made.m_descriptor, 256) == 0;
    if (!isListening) {
      made.Close();
    }
    return made;
  }

  void SetTimeout(std::int64_t aMs) const
  {
    const timeval limit{ aMs / 1000, (aMs % 1000) * 1000 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  }
  /// The close then resets the connection.
  void ResetOnClose() const
  {
    const linger now{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

  bool Send(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = send(
        m_descriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// \returns The next message with a length or without a body; nothing at the
  /// end of the connection or of the time.
  std::optional<Message> Receive()
  {
    std::size_t end = std::string::npos;
    while ((end = m_rest.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore()) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head{ m_rest.substr(0, end) };
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (message.m_start.empty()) {
        message.m_start = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.m_headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
      }
    }
    const std::string length = message.Header("Content-Length");
    const std::size_t size =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (m_rest.size() < end + 4 + size) {
      if (!ReadMore()) {
        return std::nullopt;
      }
    }
    message.m_body = m_rest.substr(end + 4, size);
    m_rest.erase(0, end + 4 + size);
    return message;
  }

private:
  bool ReadMore()
  {
    std::array<char, 16384> buffer{};
    const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return false;
    }
    m_rest.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
  }

  int m_descriptor;
  std::string m_rest;
};

/// One request on a connection of its own. \returns The status; 0: no answer.
inline int
Ask(const std::string& aFrom,
    const std::string& aHost,
    int aPort,
    const Message& aRequest,
    std::int64_t aTimeoutMs,
    Message* aAnswer = nullptr)
{
  Socket socket = Socket::Connect(aFrom, aHost, aPort, aTimeoutMs);
  if (!socket.IsOpen() || !socket.Send(Text(aRequest))) {
    return 0;
  }
  const auto answer = socket.Receive();
  if (!answer) {
    return 0;
  }
  if (aAnswer != nullptr) {
    *aAnswer = *answer;
  }
  return std::atoi(answer->Word(1).c_str());
}

// Processes.

/// Ids of the processes that run, to end them however the script ends.
class Children
{
public:
  static void Add(pid_t aPid) { Change(0, aPid); }
  static void Remove(pid_t aPid) { Change(aPid, 0); }
  static void KillAll()
  {
    for (std::atomic<pid_t>& each : Slots()) {
      if (const pid_t pid = each.load(); pid > 0) {
        kill(pid, SIGKILL);
      }
    }
  }

private:
  static std::array<std::atomic<pid_t>, 64>& Slots()
  {
    static std::array<std::atomic<pid_t>, 64> slots{};
    return slots;
  }
  static void Change(pid_t aFrom, pid_t aTo)
  {
    for (std::atomic<pid_t>& each : Slots()) {
      pid_t expected = aFrom;
      if (each.compare_exchange_strong(expected, aTo)) {
        return;
      }
    }
  }
};

class Process
{
public:
  Process(std::vector<std::string> aArguments, const std::string& aLog)
  {
    std::vector<char*> arguments;
    arguments.reserve(aArguments.size() + 1);
    for (std::string& each : aArguments) {
      arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int each : { STDOUT_FILENO, STDERR_FILENO }) {
      posix_spawn_file_actions_addopen(
        &actions, each, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    const int error = posix_spawn(
      &m_pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      throw std::runtime_error{ "cannot start " + aArguments.front() };
    }
    Children::Add(m_pid);
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const
  {
    if (m_pid > 0) {
      kill(m_pid, aSignal);
    }
  }
  void Kill()
  {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      Children::Remove(m_pid);
      waitpid(std::exchange(m_pid, -1), nullptr, 0);
    }
  }
  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }
  bool IsRunning()
  {
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      Children::Remove(m_pid);
      m_pid = -1;
    }
    return m_pid > 0;
  }

private:
  pid_t m_pid{ -1 };
};

// The settings, from the deploy file's template.

/// Replaces {{NAME}}, and removes the sections of names that have no value.
inline std::string
FillIn(std::string aText, const std::map<std::string, std::string>& aValues)
{
  std::size_t at = 0;
  while ((at = aText.find("{{#", at)) != std::string::npos) {
    const std::size_t nameEnd = aText.find("}}", at);
    const std::string name = aText.substr(at + 3, nameEnd - at - 3);
    const std::string close = "{{/" + name + "}}";
    const std::size_t end = aText.find(close, nameEnd);
    const std::string inner = aText.substr(nameEnd + 2, end - nameEnd - 2);
    const bool isSet = aValues.contains(name);
    aText.replace(at, end + close.size() - at, isSet ? inner : "");
  }
  for (const auto& [name, value] : aValues) {
    const std::string hole = "{{" + name + "}}";
    for (std::size_t found = 0;
         (found = aText.find(hole, found)) != std::string::npos;
         found += value.size()) {
      aText.replace(found, hole.size(), value);
    }
  }
  return aText;
}

inline std::string
ReadFile(const std::string& aFile)
{
  std::ifstream file{ aFile };
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline std::string
Base64(const std::string& aBytes)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const bool isInside = i + j < aBytes.size();
      word = word << 8U |
             (isInside ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool isPadding = i + j > aBytes.size();
      out += isPadding ? '=' : kDigits[word >> (18U - 6U * j) & 63U];
    }
  }
  return out;
}

/// \returns A port that is free on all loopback addresses.
inline int
FreePort()
{
  const Socket socket = Socket::Listen("0.0.0.0", 0);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(
    socket.Descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// \returns The first of 16 ports that are free.
inline int
FreeRange()
{
  constexpr int kWanted = 16;
  for (int first = 20'000 + getpid() % 97 * 100; first < 32'000; first += 16) {
    int free = 0;
    while (free < kWanted && Socket::Listen("0.0.0.0", first + free).IsOpen()) {
      ++free;
    }
    if (free == kWanted) {
      return first;
    }
  }
  throw std::runtime_error{ "no free ports" };
}

/// The same on all machines.
struct Ports
{
  int m_first{ FreeRange() };
  int m_calls{ FreePort() };
  int m_ready{ FreePort() };
  int m_control{ FreePort() };
  int m_worker{ FreePort() };
  int m_store{ FreePort() };
};

/// One arrival at a worker.
struct Arrival
{
  std::int64_t m_at{ 0 };
  std::string m_worker{};
  std::string m_instance{};
  std::string m_id{};
  std::string m_target{};
};

/// A worker that keeps to the pages: it echoes ids, signs its answers, answers
/// 421 to a request that expects another instance, and keeps connections.
class Worker
{
public:
  Worker(std::string aName,
         std::string aHost,
         int aPort,
         std::string aService,
         Record& aRecord)
    : m_name(std::move(aName))
    , m_host(std::move(aHost))
    , m_port(aPort)
    , m_service(std::move(aService))
    , m_record(aRecord)
  {
    Start(1);
  }
  ~Worker() { Stop(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const std::string& Name() const { return m_name; }
  [[nodiscard]] const std::string& Host() const { return m_host; }
  [[nodiscard]] std::string Id() const
  {
    const std::lock_guard lock{ m_mutex };
    return m_id;
  }
  void SetWorkMs(std::int64_t aMs) { m_workMs = aMs; }
  /// Its health check then answers 503.
  void SetLeaving(bool aIsLeaving) { m_isLeaving = aIsLeaving; }
  /// Called before a request is run; true: the worker's process ends.
  void SetCrash(std::function<bool(const Message&)> aCrash)
  {
    const std::lock_guard lock{ m_mutex };
    m_crash = std::move(aCrash);
  }

  /// Starts the worker's process; each start has another id.
  void Start(int aIncarnation)
  {
    {
      const std::lock_guard lock{ m_mutex };
      m_id = "i-" + m_name + "-" + std::to_string(aIncarnation);
      m_bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
      m_sequence = 0;
      m_incarnation = aIncarnation;
    }
    m_isLeaving = false;
    m_listener = std::make_unique<Socket>(Socket::Listen(m_host, m_port));
    if (!m_listener->IsOpen()) {
      throw std::runtime_error{ "worker cannot listen" };
    }
    m_isUp = true;
    m_acceptor = std::thread{ [this] { Accept(); } };
  }
  /// Ends the worker's process from one of its handlers: nobody listens at its
  /// address any more, and its connections end.
  void Crash()
  {
    m_isUp = false;
    shutdown(m_listener->Descriptor(), SHUT_RDWR);
    const std::lock_guard lock{ m_mutex };
    for (const int each : m_connections) {
      shutdown(each, SHUT_RDWR);
    }
  }
  /// Ends the worker's process, or what is left of it after a crash.
  void Stop()
  {
    if (m_listener) {
      Crash();
    }
    if (m_acceptor.joinable()) {
      m_acceptor.join();
    }
    m_listener.reset();
    std::vector<std::thread> handlers;
    {
      const std::lock_guard lock{ m_mutex };
      handlers.swap(m_handlers);
    }
    for (std::thread& each : handlers) {
      each.join();
    }
  }
  [[nodiscard]] bool IsUp() const { return m_isUp; }
  [[nodiscard]] int Incarnation() const
  {
    const std::lock_guard lock{ m_mutex };
    return m_incarnation;
  }

  /// \returns The body of the next heartbeat.
  std::string Report(const std::string& aState)
  {
    const std::lock_guard lock{ m_mutex };
    return ReportLocked(aState, ++m_sequence, true);
  }
  /// \returns A body as another writer may send it, without the start time.
  std::string ForeignReport(std::uint64_t aSequence)
  {
    const std::lock_guard lock{ m_mutex };
    return ReportLocked("ready", aSequence, false);
  }
  /// \returns The body of a deregistration.
  std::string Farewell()
  {
    const std::lock_guard lock{ m_mutex };
    return "{\"born\":" + std::to_string(m_bornMs) + "}";
  }

  [[nodiscard]] std::vector<Arrival> Arrivals() const
  {
    const std::lock_guard lock{ m_mutex };
    return m_arrivals;
  }

private:
  std::string ReportLocked(const std::string& aState,
                           std::uint64_t aSequence,
                           bool aHasStart) const
  {
    std::ostringstream body;
    body << R"({"service":")" << m_service << R"(","address":")" << m_host
         << ":" << m_port << R"(","zone":"z","version":"v1","slots":18,)"
         << R"("state":")" << aState << R"(","cold_left_ms":0,"seq":)"
         << aSequence;
    if (aHasStart) {
      body << ",\"born\":" << m_bornMs;
    }
    body << "}";
    return body.str();
  }

  void Accept()
  {
    while (m_isUp) {
      const int made =
        accept4(m_listener->Descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
      if (made < 0) {
        if (!m_isUp) {
          return;
        }
        continue;
      }
      const std::lock_guard lock{ m_mutex };
      m_connections.insert(made);
      m_handlers.emplace_back([this, made] { Handle(made); });
    }
  }

  void Handle(int aDescriptor)
  {
    {
      Socket socket{ aDescriptor };
      const int on = 1;
      setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      while (m_isUp) {
        const auto request = socket.Receive();
        if (!request || !Answer(socket, *request)) {
          break;
        }
      }
      const std::lock_guard lock{ m_mutex };
      m_connections.erase(aDescriptor);
    }
  }

  bool Answer(Socket& aSocket, const Message& aRequest)
  {
    const std::string id = aRequest.Header("X-Greengagehub-Request-Id");
    const std::string wanted =
      aRequest.Header("X-Greengagehub-Expect-Instance");
    const std::string target = aRequest.Word(1);
    std::string own;
    std::function<bool(const Message&)> crash;
    {
      const std::lock_guard lock{ m_mutex };
      own = m_id;
      crash = m_crash;
    }
    if (target == "/healthz") {
      return aSocket.Send(Text(
        { m_isLeaving ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK",
          { { "X-Greengagehub-Instance-Id", own } },
          "" }));
    }
    if (!wanted.empty() && wanted != own) {
      m_record.Line(m_name + " (" + own + ") answers 421 to " + id);
      return aSocket.Send(Text({ "HTTP/1.1 421 Misdirected Request",
                                 { { "X-Greengagehub-Instance-Id", own },
                                   { "X-Greengagehub-Request-Id", id } },
                                 "" }));
    }
    {
      const std::lock_guard lock{ m_mutex };
      m_arrivals.push_back({ NowMs(), m_name, own, id, target });
    }
    m_record.Line(m_name + " (" + own + ") runs " + id + " " + target);
    if (crash && crash(aRequest)) {
      Crash();
      return false;
    }
    SleepMs(m_workMs);
    return aSocket.Send(
      Text({ "HTTP/1.1 200 OK",
             { { "X-Greengagehub-Request-Id", id },
               { "X-Greengagehub-Response-Seal", "seal." + id },
               { "Keep-Alive", "timeout=10" } },
             "answer to " + id + " by " + own }));
  }

  std::string m_name;
  std::string m_host;
  int m_port;
  std::string m_service;
  Record& m_record;
  mutable std::mutex m_mutex;
  std::string m_id;
  std::int64_t m_bornMs{ 0 };
  std::uint64_t m_sequence{ 0 };
  int m_incarnation{ 0 };
  std::atomic<std::int64_t> m_workMs{ 20 };
  std::atomic<bool> m_isLeaving{ false };
  std::atomic<bool> m_isUp{ false };
  std::function<bool(const Message&)> m_crash;
  std::unique_ptr<Socket> m_listener;
  std::thread m_acceptor;
  std::set<int> m_connections;
  std::vector<std::thread> m_handlers;
  std::vector<Arrival> m_arrivals;
};

/// One machine: a worker and the daemon beside it.
struct Machine
{
  std::string m_name{};
  std::string m_host{};
  std::string m_zone{};
  std::string m_settings{};
  std::string m_log{};
  std::unique_ptr<Worker> m_worker{};
  std::unique_ptr<Process> m_daemon{};
};

/// One request of a client.
struct Sent
{
  std::int64_t m_at{ 0 };
  std::int64_t m_answeredAt{ 0 };
  std::string m_machine{};
  std::string m_id{};
  std::string m_target{};
  int m_status{ 0 };
};

struct Shape
{
  std::vector<std::string> m_zones{ "solna", "kista", "nacka" };
  std::size_t m_perZone{ 1 };
  std::map<std::string, std::string> m_values{};
  /// Value of op/config.
  std::string m_config{};
};

class Fleet
{
public:
  static constexpr std::int64_t kBeatMs = 1500;

  Fleet(Shape aShape, Record& aRecord)
    : m_shape(std::move(aShape))
    , m_record(aRecord)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    const char* programs = std::getenv("REVIEW_PROGRAMS");
    const std::string storeProgram =
      std::string{ programs != nullptr ? programs : "target/review-2" } +
      "/platform_store";
    m_store = std::make_unique<Process>(
      std::vector<std::string>{ storeProgram,
                                "--host",
                                StoreHost(),
                                "--port",
                                std::to_string(m_ports.m_store) },
      m_directory + "/store.log");
    const Message stats{ "GET /stats HTTP/1.1", { { "Host", "store" } }, "" };
    const bool isUp = WaitUntil(
      [&] {
        return Ask(StoreHost(), StoreHost(), m_ports.m_store, stats, 1000) ==
               200;
      },
      10'000);
    if (!isUp) {
      throw std::runtime_error{ "the store does not start" };
    }
    for (const std::string& zone : m_shape.m_zones) {
      for (std::size_t i = 1; i <= m_shape.m_perZone; ++i) {
        AddMachine(zone, i);
      }
    }
  }
  ~Fleet()
  {
    m_isEnding = true;
    for (std::thread& each : m_beats) {
      each.join();
    }
    for (auto& each : m_machines) {
      each->m_daemon.reset();
    }
    for (auto& each : m_machines) {
      each->m_worker.reset();
    }
    m_store.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  [[nodiscard]] const Ports& ThePorts() const { return m_ports; }
  [[nodiscard]] std::vector<std::unique_ptr<Machine>>& Machines()
  {
    return m_machines;
  }
  Machine& At(std::size_t aIndex) { return *m_machines.at(aIndex); }

  void PutConfig() { PutConfig(m_shape.m_config); }
  void PutConfig(const std::string& aConfig)
  {
    const std::string body =
      R"({"expected":[],"puts":[{"key":"op/config","value":")" +
      Base64(aConfig) + R"(","lease_id":0}],"deletes":[]})";
    const int status =
      Ask(StoreHost(),
          StoreHost(),
          m_ports.m_store,
          { "POST /kv-txn HTTP/1.1",
            { { "Host", "store" }, { "Content-Type", "application/json" } },
            body },
          2000);
    m_record.Say("operator writes op/config: " + std::to_string(status));
  }

  void StartDaemon(Machine& aMachine)
  {
    aMachine.m_daemon = std::make_unique<Process>(
      std::vector<std::string>{
        "target/greengagehubd", "--settings", aMachine.m_settings },
      aMachine.m_log);
    m_record.Say("daemon of " + aMachine.m_name + " starts");
  }
  void KillDaemon(Machine& aMachine)
  {
    aMachine.m_daemon->Kill();
    m_record.Say("daemon of " + aMachine.m_name + " is killed");
  }

  bool IsReady(const Machine& aMachine) const
  {
    return Ask(aMachine.m_host,
               aMachine.m_host,
               m_ports.m_ready,
               { "GET /readyz HTTP/1.1", { { "Host", "ready" } }, "" },
               1000) == 200;
  }
  bool WaitForControl(const Machine& aMachine) const
  {
    const bool isListening = WaitUntil(
      [&] {
        return Socket::Connect(
                 aMachine.m_host, aMachine.m_host, m_ports.m_control, 500)
          .IsOpen();
      },
      10'000);
    if (!isListening) {
      m_record.Say(ReadFile(aMachine.m_log));
    }
    return isListening;
  }
  bool WaitForAll()
  {
    return WaitUntil(
      [&] {
        for (const auto& each : m_machines) {
          if (!IsReady(*each)) {
            return false;
          }
        }
        return true;
      },
      20'000);
  }

  /// Sends a heartbeat or a deregistration to the machine's daemon.
  int SendBeat(Machine& aMachine,
               const std::string& aMethod,
               const std::string& aBody,
               const std::string& aWhat)
  {
    const int status =
      Ask(aMachine.m_host,
          aMachine.m_host,
          m_ports.m_control,
          { aMethod + " /instances/" + aMachine.m_worker->Id() + " HTTP/1.1",
            { { "Host", "control" }, { "Content-Type", "application/json" } },
            aBody },
          1000);
    m_record.Say(aWhat + " of " + aMachine.m_name + ": " + aMethod + " " +
                 aBody + " -> " + std::to_string(status));
    return status;
  }

  /// Heartbeats every 1.5 s until the worker is stopped or `aStop` is set.
  void StartBeats(Machine& aMachine, std::atomic<bool>& aStop)
  {
    m_beats.emplace_back([this, &aMachine, &aStop] {
      std::int64_t next = NowMs();
      while (!m_isEnding) {
        if (!aStop && aMachine.m_worker->IsUp() && NowMs() >= next) {
          next = NowMs() + kBeatMs;
          Ask(
            aMachine.m_host,
            aMachine.m_host,
            m_ports.m_control,
            { "PUT /instances/" + aMachine.m_worker->Id() + " HTTP/1.1",
              { { "Host", "control" }, { "Content-Type", "application/json" } },
              aMachine.m_worker->Report("ready") },
            1000);
        }
        SleepMs(10);
      }
    });
  }

  /// One request of a client on the machine, on a new connection.
  Sent Request(const Machine& aMachine,
               const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aId,
               std::int64_t aDeadlineMs,
               const std::string& aBody = {}) const
  {
    Sent sent{ NowMs(), 0, aMachine.m_name, aId, aTarget, 0 };
    sent.m_status =
      Ask(aMachine.m_host,
          aMachine.m_host,
          m_ports.m_calls,
          { aMethod + " " + aTarget + " HTTP/1.1",
            { { "Host", "a.example" },
              { "X-Greengagehub-Request-Id", aId },
              { "X-Greengagehub-Deadline-Ms", std::to_string(aDeadlineMs) } },
            aBody },
          aDeadlineMs + 1000);
    sent.m_answeredAt = NowMs();
    m_record.Line("client of " + aMachine.m_name + " sent " + aId + " " +
                  aTarget + " at " + std::to_string(sent.m_at) +
                  " ms, answer " + std::to_string(sent.m_status));
    return sent;
  }

  /// Addresses of this script, so that others may run beside it.
  [[nodiscard]] static std::string HostOf(int aNumber)
  {
    return "127." + std::to_string(10 + getpid() % 200) + "." +
           std::to_string(getpid() / 200 % 250) + "." + std::to_string(aNumber);
  }
  [[nodiscard]] static std::string StoreHost() { return HostOf(1); }

private:
  void AddMachine(const std::string& aZone, std::size_t aNumber)
  {
    auto machine = std::make_unique<Machine>();
    machine->m_name = "sidecar-" + aZone + "-" + std::to_string(aNumber);
    machine->m_zone = aZone;
    machine->m_host = HostOf(10 + static_cast<int>(m_machines.size()));
    machine->m_worker = std::make_unique<Worker>(
      machine->m_name, machine->m_host, m_ports.m_worker, "lockers", m_record);
    const auto address = [&](int aPort) {
      return machine->m_host + ":" + std::to_string(aPort);
    };
    std::map<std::string, std::string> values{
      { "node_id", machine->m_name },
      { "service", "lockers" },
      { "region", "stockholm" },
      { "zone", aZone },
      { "limits.link_mbps", "1000.0" },
      { "ip", machine->m_host },
      { "listen.outbound", address(m_ports.m_calls) },
      { "listen.ready", address(m_ports.m_ready) },
      { "listen.control", address(m_ports.m_control) },
      { "port_range.0", std::to_string(m_ports.m_first) },
      { "app_addr", address(m_ports.m_worker) },
      { "platform.address",
        StoreHost() + ":" + std::to_string(m_ports.m_store) },
      { "heartbeat_ms", std::to_string(kBeatMs) },
      { "bounds.drain_ms", "2000" },
      { "bounds.grace_s", "6" },
      { "bounds.config_apply_ms", "2000" },
      { "bounds.retry_budget_ratio", "0.2" },
      { "bounds.budget_window_s", "10" },
      { "bounds.budget_slack", "58" }
    };
    for (const auto& [name, value] : m_shape.m_values) {
      values[name] = value;
    }
    machine->m_settings = m_directory + "/" + machine->m_name + ".toml";
    machine->m_log = m_directory + "/" + machine->m_name + ".log";
    std::ofstream{ machine->m_settings }
      << FillIn(ReadFile("deploy/settings.toml"), values);
    m_machines.push_back(std::move(machine));
  }

  Shape m_shape;
  Record& m_record;
  Ports m_ports;
  std::string m_directory;
  std::unique_ptr<Process> m_store;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::vector<std::thread> m_beats;
  std::atomic<bool> m_isEnding{ false };
};

/// Clients on each machine that send one request after another.
class Clients
{
public:
  Clients(Fleet& aFleet, std::int64_t aPauseMs)
    : m_fleet(aFleet)
  {
    for (std::size_t i = 0; i < aFleet.Machines().size(); ++i) {
      m_threads.emplace_back([this, i, aPauseMs] { Run(i, aPauseMs); });
    }
  }
  ~Clients() { Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Stop()
  {
    m_isEnding = true;
    for (std::thread& each : m_threads) {
      if (each.joinable()) {
        each.join();
      }
    }
  }
  [[nodiscard]] std::map<std::string, Sent> ById() const
  {
    const std::lock_guard lock{ m_mutex };
    return m_sent;
  }

private:
  void Run(std::size_t aMachine, std::int64_t aPauseMs)
  {
    for (std::uint64_t i = 1; !m_isEnding; ++i) {
      const std::string id =
        "c" + std::to_string(aMachine) + "-" + std::to_string(i);
      Sent sent =
        m_fleet.Request(m_fleet.At(aMachine), "GET", "/status/2f", id, 2000);
      {
        const std::lock_guard lock{ m_mutex };
        m_sent.emplace(id, std::move(sent));
      }
      SleepMs(aPauseMs);
    }
  }

  Fleet& m_fleet;
  mutable std::mutex m_mutex;
  std::map<std::string, Sent> m_sent;
  std::atomic<bool> m_isEnding{ false };
  std::vector<std::thread> m_threads;
};

/// One rule of the configuration, for the service of all scripts.
inline std::string
Rule(const std::string& aName,
     const std::string& aKind,
     const std::string& aPrefix)
{
  return R"({"name":")" + aName + R"(","kind":")" + aKind +
         R"(","target_latency_ms":400,"priority":1,"match":{"prefix":")" +
         aPrefix +
         R"("},"action":{"service":"lockers","timeout_ms":2000,"attempts":3}})";
}

/// A configuration in the form of the wire page.
inline std::string
Config(const std::string& aVersion, const std::string& aRules)
{
  return R"({"version":")" + aVersion +
         R"(","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
         R"("header_timeout_ms":5000,"idle_timeout_ms":20000},)"
         R"("listeners":[{"host":"a.example","rules":[)" +
         aRules +
         R"(]}],"clusters":[{"name":"lockers","health_check_path":"/healthz",)"
         R"("max_connections":110}]})";
}

/// The configuration of the scripts: one service, a route of each kind.
inline std::string
PlainConfig(const std::string& aVersion)
{
  return Config(aVersion,
                Rule("status", "safe", "/status/") + "," +
                  Rule("release", "unsafe", "/release/"));
}

inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view{ trouble } != "0";
}

/// Runs a case. \returns Its exit code: 1 broken, 0 held, 2 could not run.
inline int
RunCase(int aCount,
        char** aArguments,
        const std::function<bool(Record&)>& aCase)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto end = [] {
    Children::KillAll();
    _exit(2);
  };
  std::set_terminate(end);
  std::signal(SIGTERM, [](int) {
    Children::KillAll();
    _exit(2);
  });
  Record record{ aCount > 1 ? aArguments[1] : "record.txt" };
  try {
    const bool isBroken = aCase(record);
    record.Say(isBroken ? "the rule was broken" : "the rule held");
    return isBroken ? 1 : 0;
  } catch (const std::exception& error) {
    record.Say(std::string{ "could not run: " } + error.what());
    return 2;
  }
}

}
