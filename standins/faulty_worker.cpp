#include "faulty_answers.hpp"
#include "greengagehub/http/http_client.hpp"
#include "platform/names.hpp"
#include "serve.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

/// \file
/// \brief Stand-in for a backend server on the platform that answers requests
/// or health checks with broken answers, or with bytes that never end.
///
/// Control: PUT /control with any of {"heartbeats": "http://IP:PORT",
/// "requests": FORM, "health": FORM, "slowly": BOOL}; FORM is a name from
/// MakeForms(), or "" for whole answers. Counters: GET /counts, with the bytes
/// written in endless answers.

namespace {

using namespace greengagehub;          // NOLINT: a stand-in
using namespace greengagehub::standin; // NOLINT
using asio::ip::tcp;
using Json = nlohmann::json;

const std::map<std::string, Form> kForms = MakeForms();

struct State
{
  std::string m_requestForm{};
  std::string m_healthForm{};
  bool m_isSlow{ false };
  std::string m_heartbeatUrl{};
  std::uint64_t m_faultyAnswers{ 0 };
  std::uint64_t m_endlessBytes{ 0 };
  std::uint64_t m_served{ 0 };
  std::uint64_t m_acknowledged{ 0 };
  std::string m_id{};
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, State& aState)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_state(aState)
  {
  }

  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& aError,
                                  std::size_t aSize) {
        if (!aError) {
          const std::size_t rest = std::min(aSize, self->m_unreadBody);
          self->m_unreadBody -= rest;
          self->m_received.append(self->m_buffer.data() + rest, aSize - rest);
          self->OnBytes();
        }
      });
  }

private:
  [[nodiscard]] const Form* FormFor(const std::string& aTarget) const
  {
    if (aTarget.starts_with("/control") || aTarget.starts_with("/counts")) {
      return nullptr;
    }
    const bool isHealth = aTarget.starts_with("/healthz");
    const auto form =
      kForms.find(isHealth ? m_state.m_healthForm : m_state.m_requestForm);
    return form == kForms.end() ? nullptr : &form->second;
  }

  [[nodiscard]] std::string Header(std::string_view aName) const
  {
    const std::string start = fmt::format("\r\n{}: ", aName);
    const std::size_t at = m_received.find(start);
    const std::size_t begin = at + start.size();
    return at == std::string::npos
             ? std::string{}
             : m_received.substr(begin, m_received.find("\r\n", begin) - begin);
  }

  void OnBytes()
  {
    const std::size_t end = m_received.find("\r\n\r\n");
    if (end == std::string::npos) {
      Read();
      return;
    }
    std::size_t length = 0;
    const std::string text = Header("Content-Length");
    std::from_chars(text.data(), text.data() + text.size(), length);
    const std::size_t size = end + 4 + length;
    const std::string line = m_received.substr(0, m_received.find("\r\n"));
    const std::size_t at = line.find(' ') + 1;
    const std::string target = line.substr(at, line.rfind(' ') - at);
    const Form* form = FormFor(target);
    const bool isEarly = form != nullptr && form->m_isEarly;
    if (m_received.size() < size && !isEarly) {
      Read();
      return;
    }
    const std::string body = m_received.substr(end + 4, length);
    const std::string id = Header(platform::kRequestId);
    m_unreadBody = size - std::min(size, m_received.size());
    m_received.erase(0, size);
    if (form != nullptr) {
      ++m_state.m_faultyAnswers;
      Write(WithId(form->m_prefix, id), form->m_unit, form->m_ending);
    } else {
      Answer(target, id, body);
    }
  }

  void Answer(const std::string& aTarget,
              const std::string& aId,
              std::string_view aBody)
  {
    if (aTarget.starts_with("/control")) {
      Control(Json::parse(aBody, nullptr, false));
      Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      return;
    }
    if (aTarget.starts_with("/counts")) {
      const std::string counts = Json{
        { "answers", m_state.m_faultyAnswers },
        { "bytes", m_state.m_endlessBytes },
        { "served", m_state.m_served },
        { "acknowledged", m_state.m_acknowledged }
      }.dump();
      Write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                        counts.size(),
                        counts));
      return;
    }
    m_state.m_served += aTarget.starts_with("/healthz") ? 0 : 1;
    Write(WithId(fmt::format("{}{}: {}\r\nContent-Length: 2\r\n\r\nok",
                             kHead,
                             platform::kInstanceId,
                             m_state.m_id),
                 aId));
  }

  static std::string WithId(std::string aText, const std::string& aId)
  {
    const std::size_t at = aText.find("{id}");
    return at == std::string::npos ? aText : aText.replace(at, 4, aId);
  }

  void Control(const Json& aWanted)
  {
    m_state.m_requestForm = aWanted.value("requests", m_state.m_requestForm);
    m_state.m_healthForm = aWanted.value("health", m_state.m_healthForm);
    m_state.m_isSlow = aWanted.value("slowly", m_state.m_isSlow);
    m_state.m_heartbeatUrl =
      aWanted.value("heartbeats", m_state.m_heartbeatUrl);
  }

  /// \param aUnit repeated without end after the text; empty: the answer ends.
  void Write(std::string aText,
             const std::string& aUnit = {},
             Ending aEnding = Ending::None)
  {
    m_ending = aEnding;
    constexpr std::size_t kBlockBytes = 64UL * 1024;
    m_output = std::move(aText);
    m_block.clear();
    const std::size_t size =
      m_state.m_isSlow ? aUnit.size() : std::max(kBlockBytes, aUnit.size());
    while (!aUnit.empty() && m_block.size() < size) {
      m_block += aUnit;
    }
    WriteOutput();
  }

  void WriteOutput()
  {
    asio::async_write(m_socket,
                      asio::buffer(m_output),
                      [self = shared_from_this()](
                        const asio::error_code& aError, std::size_t aSize) {
                        self->OnWritten(aError, aSize);
                      });
  }

  void OnWritten(const asio::error_code& aError, std::size_t aSize)
  {
    if (!m_block.empty()) {
      m_state.m_endlessBytes += aSize;
    }
    if (aError) {
      return;
    }
    if (m_block.empty()) {
      End();
      return;
    }
    m_output = m_block;
    if (!m_state.m_isSlow) {
      WriteOutput();
      return;
    }
    m_timer.expires_after(std::chrono::milliseconds{ 5 });
    m_timer.async_wait([self = shared_from_this()](const asio::error_code&) {
      self->WriteOutput();
    });
  }

  void End()
  {
    asio::error_code ignored;
    if (m_ending == Ending::End || m_ending == Ending::EndThenReset) {
      m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (m_ending == Ending::Reset) {
      Reset();
    } else if (m_ending == Ending::LateReset ||
               m_ending == Ending::EndThenReset) {
      m_timer.expires_after(std::chrono::milliseconds{ 30 });
      m_timer.async_wait([self = shared_from_this()](const asio::error_code&) {
        self->Reset();
      });
    } else {
      Read();
    }
  }

  void Reset()
  {
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::linger{ true, 0 }, ignored);
    m_socket.close(ignored);
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  State& m_state;
  std::array<char, 16UL * 1024> m_buffer{};
  std::string m_received;
  std::string m_output;
  /// Repeated after m_output; empty: the answer ends.
  std::string m_block;
  Ending m_ending{ Ending::None };
  /// Bytes of an answered request that are to be read and dropped.
  std::size_t m_unreadBody{ 0 };
};

class FaultyWorker
{
public:
  FaultyWorker(asio::io_context& aLoop,
               std::string aService,
               std::string aDomain,
               const std::string& aHealthForm)
    : m_acceptor(aLoop)
    , m_client(aLoop, 1)
    , m_timer(aLoop)
    , m_service(std::move(aService))
    , m_domain(std::move(aDomain))
  {
    m_state.m_healthForm = aHealthForm;
  }

  [[nodiscard]] Outcome<std::uint16_t> Open()
  {
    const tcp::endpoint any{ asio::ip::address_v4::loopback(), 0 };
    m_acceptor.open(any.protocol());
    m_acceptor.bind(any);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
    m_state.m_id = fmt::format("i-{}", m_port);
    Accept();
    RunHeartbeat();
    return m_port;
  }

private:
  void Accept()
  {
    m_acceptor.async_accept(
      [this](const asio::error_code& aError, tcp::socket aSocket) {
        if (!aError) {
          std::make_shared<Connection>(std::move(aSocket), m_state)->Read();
        }
        Accept();
      });
  }

  void RunHeartbeat()
  {
    if (!m_state.m_heartbeatUrl.empty()) {
      HttpClientRequest request;
      request.m_method = "PUT";
      request.m_url = m_state.m_heartbeatUrl +
                      std::string{ platform::kInstancesPath } + m_state.m_id;
      request.m_timeout = std::chrono::seconds{ 1 };
      request.m_body = Json{
        { "service", m_service },
        { "address", fmt::format("127.0.0.1:{}", m_port) },
        { "zone", m_domain },
        { "version", "v1" },
        { "slots", 20 },
        { "state", "ready" },
        { "cold_left_ms", 0 },
        { "seq", ++m_sequence }
      }.dump();
      m_client.Send(
        std::move(request), [this](const HttpClientResult& aResult) {
          m_state.m_acknowledged += aResult.m_response.m_status == 200 ? 1 : 0;
        });
    }
    m_timer.expires_after(std::chrono::milliseconds{ 200 });
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        RunHeartbeat();
      }
    });
  }

  tcp::acceptor m_acceptor;
  HttpClient m_client;
  asio::steady_timer m_timer;
  std::string m_service;
  std::string m_domain;
  State m_state;
  std::uint16_t m_port{ 0 };
  std::uint64_t m_sequence{ 0 };
};

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  std::string service;
  std::string domain;
  std::string healthForm;
  std::uint32_t ignored = 0;
  po::options_description options{ "faulty_worker" };
  options.add_options()("service", po::value(&service)->required(), "")(
    "domain", po::value(&domain)->default_value("solna"), "")(
    "health-form", po::value(&healthForm), "")(
    "slots", po::value(&ignored), "")("service-ms", po::value(&ignored), "");
  po::variables_map values;
  po::store(po::parse_command_line(aCount, aArguments, options), values);
  po::notify(values);
  asio::io_context loop;
  FaultyWorker worker{ loop, service, domain, healthForm };
  return standin::Serve(worker, loop);
}
