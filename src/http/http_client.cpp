#include "greengagehub/http/http_client.hpp"

#include "line_end_check.hpp"
#include "status_line_check.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <curl/curl.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>

namespace greengagehub {

namespace {

/// Limit of easy handles kept for reuse; creating one is expensive.
constexpr std::size_t kMaxSpareHandles = 64;
/// Limit of all header lines of a response, with those of interim responses.
constexpr std::size_t kMaxHeaderBytes = 64UL * 1024;

struct Transfer
{
  CURL* m_easy{ nullptr };
  curl_slist* m_headers{ nullptr };
  HttpClientRequest m_request;
  HttpClient::Done m_done;
  HttpClient::Ticket m_ticket{ 0 };
  HttpResponse m_response;
  BodyBuffer m_body;
  std::size_t m_headerBytes{ 0 };
  LineEndCheck m_lineEnds;
  /// The empty line that ends the head was received.
  bool m_hasHead{ false };
  int m_sendCount{ 0 };
};

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto* transfer = static_cast<Transfer*>(aSelf);
  const std::size_t bytes = aSize * aCount;
  BodyBuffer& body = transfer->m_body;
  if (body.Size() + bytes > transfer->m_request.m_maxAnswerBytes) {
    return 0;
  }
  body.Append({ aData, bytes });
  return bytes;
}

/// \returns False if the line is no field of a head.
bool
AddField(std::string_view aLine, std::vector<HttpHeader>& aFields)
{
  constexpr std::string_view kBlanks = " \t\r\n";
  const bool isFolded = aLine.starts_with(' ') || aLine.starts_with('\t');
  if (isFolded && !aFields.empty()) {
    // The rest of a value, of which no caller makes use.
    return true;
  }
  const std::size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos ||
      !HasOnlyTokenChars(aLine.substr(0, colon))) {
    return false;
  }
  std::string_view value = aLine.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(kBlanks), value.size()));
  value = value.substr(0, value.find_last_not_of(kBlanks) + 1);
  aFields.push_back(
    HttpHeader{ std::string{ aLine.substr(0, colon) }, std::string{ value } });
  return true;
}

/// \returns False if the line is neither a field nor the end of the head.
bool
OnFieldLine(Transfer& aTransfer, std::string_view aLine)
{
  if (aLine == "\r\n" || aLine == "\n") {
    aTransfer.m_hasHead = true;
    return true;
  }
  std::vector<HttpHeader> trailers;
  return AddField(
    aLine, aTransfer.m_hasHead ? trailers : aTransfer.m_response.m_headers);
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto* transfer = static_cast<Transfer*>(aSelf);
  std::string_view line{ aData, aSize * aCount };
  transfer->m_headerBytes += line.size();
  if (transfer->m_headerBytes > kMaxHeaderBytes) {
    return 0;
  }
  const bool isStatusLine = line.starts_with("HTTP/");
  if (isStatusLine) {
    transfer->m_response.m_headers.clear();
    transfer->m_hasHead = false;
    transfer->m_lineEnds = {};
  }
  const bool isValid = transfer->m_lineEnds.Accept(line) &&
                       (isStatusLine ? StatusLineCheck{}.Accept(line)
                                     : OnFieldLine(*transfer, line));
  return isValid ? line.size() : 0;
}

/// Called by libcurl before it sends a request. Aborts a second attempt, which
/// is libcurl's retry after a reused connection closed: the server may already
/// have executed the request.
int
OnBeforeSend(void* aSelf, char* /*unused*/, char* /*unused*/, int, int)
{
  auto* transfer = static_cast<Transfer*>(aSelf);
  ++transfer->m_sendCount;
  return transfer->m_sendCount == 1 ? CURL_PREREQFUNC_OK
                                    : CURL_PREREQFUNC_ABORT;
}

/// Called by libcurl for each new socket. Sets keep-alive and the user timeout
/// of TCP, so that a long-running request fails within seconds if a middlebox
/// has dropped the state of its connection.
int
OnNewSocket(void* /*unused*/, curl_socket_t aSocket, curlsocktype /*unused*/)
{
  constexpr int kEnabled = 1;
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  constexpr unsigned kUserTimeoutMs = 2500;
  const auto set = [aSocket](int aLevel, int aName, const auto& aValue) {
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, kEnabled);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  return CURL_SOCKOPT_OK;
}

void
SetBody(CURL* aEasy, const HttpClientRequest& aRequest)
{
  const bool hasBody =
    !aRequest.m_body.empty() || aRequest.m_method == "POST" ||
    aRequest.m_method == "PUT" || aRequest.m_method == "PATCH";
  if (hasBody) {
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aRequest.m_body.data());
    curl_easy_setopt(aEasy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.m_body.size()));
  }
  if (aRequest.m_method == "HEAD") {
    curl_easy_setopt(aEasy, CURLOPT_NOBODY, 1L);
  } else {
    curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aRequest.m_method.c_str());
  }
}

void
SetOptions(Transfer& aTransfer)
{
  CURL* easy = aTransfer.m_easy;
  const HttpClientRequest& request = aTransfer.m_request;
  for (const HttpHeader& each : request.m_headers) {
    // libcurl omits a header with an empty value unless it ends with ";".
    const std::string line = each.m_value.empty()
                               ? each.m_name + ";"
                               : each.m_name + ": " + each.m_value;
    aTransfer.m_headers = curl_slist_append(aTransfer.m_headers, line.c_str());
  }
  aTransfer.m_headers = curl_slist_append(aTransfer.m_headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, request.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, OnNewSocket);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aTransfer.m_headers);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.m_timeout.count()));
  curl_easy_setopt(
    easy, CURLOPT_FRESH_CONNECT, request.m_onNewConnection ? 1L : 0L);
  SetBody(easy, request);
}

HttpClientResult
ResultOf(Transfer& aTransfer, CURLcode aCode)
{
  // libcurl takes a line that begins with NUL for the end of the head.
  if (aCode == CURLE_OK && aTransfer.m_hasHead) {
    long status = 0;
    curl_easy_getinfo(aTransfer.m_easy, CURLINFO_RESPONSE_CODE, &status);
    aTransfer.m_response.m_body =
      Body{ std::exchange(aTransfer.m_body, BodyBuffer{}) };
    aTransfer.m_response.m_status = static_cast<std::uint16_t>(status);
    return { HttpClientResult::Kind::Answered,
             std::move(aTransfer.m_response),
             {} };
  }
  const auto kind = aTransfer.m_sendCount == 0 ? HttpClientResult::Kind::NotSent
                                               : HttpClientResult::Kind::Lost;
  return { kind,
           {},
           aCode == CURLE_OK ? "response without a whole head"
                             : curl_easy_strerror(aCode) };
}

}

/// Drives libcurl's multi interface with readiness events of the loop.
class HttpClient::Impl
{
public:
  Impl(asio::io_context& aLoop, std::size_t aMaxIdle)
    : m_loop(aLoop)
    , m_timer(aLoop)
    , m_multi(curl_multi_init())
  {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(
      m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(aMaxIdle));
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl()
  {
    m_isClosing = true;
    for (auto& [ticket, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi, transfer->m_easy);
      curl_slist_free_all(transfer->m_headers);
      curl_easy_cleanup(transfer->m_easy);
    }
    for (CURL* each : m_spareHandles) {
      curl_easy_cleanup(each);
    }
    curl_multi_cleanup(m_multi);
    for (auto& [socket, watch] : m_sockets) {
      watch->m_descriptor.release();
    }
  }

  Ticket Send(HttpClientRequest aRequest, Done aDone)
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->m_request = std::move(aRequest);
    transfer->m_done = std::move(aDone);
    transfer->m_ticket = ++m_lastTicket;
    transfer->m_easy = AcquireHandle();
    SetOptions(*transfer);
    curl_multi_add_handle(m_multi, transfer->m_easy);
    m_transfers.emplace(m_lastTicket, std::move(transfer));
    return m_lastTicket;
  }

  void Abandon(Ticket aTicket)
  {
    const auto found = m_transfers.find(aTicket);
    if (found != m_transfers.end()) {
      Release(found);
    }
  }

private:
  /// A socket of libcurl and the events it waits for.
  struct Watch
  {
    explicit Watch(asio::io_context& aLoop, int aSocket)
      : m_descriptor(aLoop, aSocket)
    {
    }
    asio::posix::stream_descriptor m_descriptor;
    int m_events{ 0 };
    bool m_isAwaitingRead{ false };
    bool m_isAwaitingWrite{ false };
  };
  using Transfers = std::unordered_map<Ticket, std::unique_ptr<Transfer>>;

  CURL* AcquireHandle()
  {
    if (m_spareHandles.empty()) {
      return curl_easy_init();
    }
    CURL* easy = m_spareHandles.back();
    m_spareHandles.pop_back();
    return easy;
  }

  void Release(Transfers::iterator aTransfer)
  {
    Transfer& transfer = *aTransfer->second;
    curl_multi_remove_handle(m_multi, transfer.m_easy);
    curl_slist_free_all(transfer.m_headers);
    if (m_spareHandles.size() < kMaxSpareHandles) {
      curl_easy_reset(transfer.m_easy);
      m_spareHandles.push_back(transfer.m_easy);
    } else {
      curl_easy_cleanup(transfer.m_easy);
    }
    m_transfers.erase(aTransfer);
  }

  static int OnSocket(CURL* /*unused*/,
                      curl_socket_t aSocket,
                      int aPollEvents,
                      void* aSelf,
                      void* /*unused*/)
  {
    static_cast<Impl*>(aSelf)->UpdateWatch(aSocket, aPollEvents);
    return 0;
  }

  static int OnTimer(CURLM* /*unused*/, long aTimeoutMs, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->SetTimer(aTimeoutMs);
    return 0;
  }

  void SetTimer(long aTimeoutMs)
  {
    if (m_isClosing) {
      return;
    }
    if (aTimeoutMs < 0) {
      m_timer.cancel();
      return;
    }
    m_timer.expires_after(std::chrono::milliseconds{ aTimeoutMs });
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        HandleEvent(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void UpdateWatch(curl_socket_t aSocket, int aPollEvents)
  {
    const auto found = m_sockets.find(aSocket);
    if (aPollEvents == CURL_POLL_REMOVE) {
      // libcurl closes the socket next and its number may be reused at once, so
      // the loop must release it here.
      if (found != m_sockets.end()) {
        found->second->m_descriptor.release();
        m_sockets.erase(found);
      }
      return;
    }
    std::shared_ptr<Watch> watch;
    if (found == m_sockets.end()) {
      watch = std::make_shared<Watch>(m_loop, aSocket);
      m_sockets.emplace(aSocket, watch);
    } else {
      watch = found->second;
    }
    watch->m_events = aPollEvents;
    StartWaits(aSocket, watch);
  }

  void StartWaits(curl_socket_t aSocket, const std::shared_ptr<Watch>& aWatch)
  {
    if ((aWatch->m_events & CURL_POLL_IN) != 0 && !aWatch->m_isAwaitingRead) {
      aWatch->m_isAwaitingRead = true;
      StartWait(aSocket, aWatch, asio::posix::descriptor_base::wait_read);
    }
    if ((aWatch->m_events & CURL_POLL_OUT) != 0 && !aWatch->m_isAwaitingWrite) {
      aWatch->m_isAwaitingWrite = true;
      StartWait(aSocket, aWatch, asio::posix::descriptor_base::wait_write);
    }
  }

  void StartWait(curl_socket_t aSocket,
                 const std::shared_ptr<Watch>& aWatch,
                 asio::posix::descriptor_base::wait_type aType)
  {
    const bool reading = aType == asio::posix::descriptor_base::wait_read;
    aWatch->m_descriptor.async_wait(
      aType,
      [this, aSocket, reading, weak = std::weak_ptr<Watch>{ aWatch }](
        const asio::error_code& aError) {
        const auto watch = weak.lock();
        if (!watch || aError) {
          return;
        }
        (reading ? watch->m_isAwaitingRead : watch->m_isAwaitingWrite) = false;
        const int wanted = reading ? CURL_POLL_IN : CURL_POLL_OUT;
        if ((watch->m_events & wanted) != 0) {
          HandleEvent(aSocket, reading ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
        }
        const auto current = m_sockets.find(aSocket);
        if (current != m_sockets.end() && current->second == watch) {
          StartWaits(aSocket, watch);
        }
      });
  }

  void HandleEvent(curl_socket_t aSocket, int aEvents)
  {
    int running = 0;
    curl_multi_socket_action(m_multi, aSocket, aEvents, &running);
    CompleteTransfers();
  }

  void CompleteTransfers()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      HttpClientResult result = ResultOf(*transfer, message->data.result);
      Done done = std::move(transfer->m_done);
      Release(m_transfers.find(transfer->m_ticket));
      done(std::move(result));
    }
  }

  asio::io_context& m_loop;
  asio::steady_timer m_timer;
  CURLM* m_multi;
  Transfers m_transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> m_sockets;
  std::vector<CURL*> m_spareHandles;
  Ticket m_lastTicket{ 0 };
  bool m_isClosing{ false };
};

HttpClient::HttpClient(asio::io_context& aLoop, std::size_t aMaxIdle)
  : m_impl(std::make_unique<Impl>(aLoop, aMaxIdle))
{
}

HttpClient::~HttpClient() = default;

HttpClient::Ticket
HttpClient::Send(HttpClientRequest aRequest, Done aDone)
{
  return m_impl->Send(std::move(aRequest), std::move(aDone));
}

void
HttpClient::Abandon(Ticket aTicket)
{
  m_impl->Abandon(aTicket);
}

}
