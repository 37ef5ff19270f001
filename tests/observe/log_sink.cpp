#include "greengagehub/observe/log_sink.hpp"

#include "greengagehub/observe/log_rate_limiter.hpp"

#include <array>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE(
  "a stalled log reader makes the sink drop lines and report their number")
{
  // Guards against writes that block the event loop and a buffer that grows
  // without bound when nothing reads standard output.
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LogSink sink{ ends[1], 10'000 };
  const std::string line(100, 'x');
  for (int i = 0; i < 5000; ++i) {
    sink.Append(line);
    sink.Flush();
  }
  CHECK(sink.BufferedBytes() <= 10'000);
  CHECK(sink.DroppedLines() > 3000);

  // Buffered lines arrive first, then the number of dropped ones.
  std::string received;
  std::array<char, 4096> buffer{};
  const auto drain = [&] {
    while (sink.BufferedBytes() > 0) {
      received.append(
        buffer.data(),
        static_cast<std::size_t>(read(ends[0], buffer.data(), buffer.size())));
      sink.Flush();
    }
  };
  drain();
  const std::string report =
    "\"lines_dropped\",\"count\":" + std::to_string(sink.DroppedLines());
  sink.Append(line);
  drain();
  close(ends[1]);
  for (ssize_t size = 1; size > 0;) {
    size = read(ends[0], buffer.data(), buffer.size());
    received.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(ends[0]);
  CHECK(received.find(report) != std::string::npos);
  CHECK(received.starts_with(line + "\n"));
}

TEST_CASE("the rate of lines is limited beyond a burst")
{
  LogRateLimiter budget{ 10.0, 5.0 };
  const TimePoint start{ 1h };
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    taken += budget.TryAcquire(start + i * 10ms) ? 1 : 0;
  }
  CHECK(taken >= 100);
  CHECK(taken <= 106);
  CHECK(budget.TakeSuppressedCount() ==
        static_cast<std::uint64_t>(1000 - taken));
  CHECK(budget.TakeSuppressedCount() == 0);
}
