#include "testkit/closed_loop.hpp"

#include <asio/io_context.hpp>

namespace greengagehub::testkit {

namespace {

using ClockType = std::chrono::steady_clock;

class ClosedLoop
{
public:
  explicit ClosedLoop(const ClosedLoopPlan& aPlan)
    : m_plan(aPlan)
    , m_client(m_loop, aPlan.m_callers + 1)
  {
    m_result.m_latencies.reserve(aPlan.m_count);
  }

  ClosedLoopResult Run()
  {
    const auto start = ClockType::now();
    for (std::size_t i = 0; i < m_plan.m_callers; ++i) {
      SendNext();
    }
    while (m_done < m_plan.m_count) {
      m_loop.run_one();
    }
    m_result.m_elapsed = ClockType::now() - start;
    return std::move(m_result);
  }

private:
  void SendNext()
  {
    if (m_sent >= m_plan.m_count) {
      return;
    }
    ++m_sent;
    HttpClientRequest request;
    request.m_method = m_plan.m_method;
    request.m_url = m_plan.m_url;
    request.m_headers = m_plan.m_headers;
    request.m_body = m_plan.m_body;
    const auto sent = ClockType::now();
    m_client.Send(std::move(request), [this, sent](HttpClientResult aResult) {
      m_result.m_latencies.emplace_back(ClockType::now() - sent);
      const bool isOk = aResult.m_kind == HttpClientResult::Kind::Answered &&
                        aResult.m_response.m_status == 200;
      m_result.m_failures += isOk ? 0 : 1;
      ++m_done;
      SendNext();
    });
  }

  const ClosedLoopPlan& m_plan;
  asio::io_context m_loop;
  HttpClient m_client;
  ClosedLoopResult m_result;
  std::size_t m_sent{ 0 };
  std::size_t m_done{ 0 };
};

}

ClosedLoopResult
RunClosedLoop(const ClosedLoopPlan& aPlan)
{
  return ClosedLoop{ aPlan }.Run();
}

}
