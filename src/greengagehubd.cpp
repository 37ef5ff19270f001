#include "greengagehub/daemon/daemon.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <malloc.h>

/// \file
/// \brief The daemon that runs beside each backend server.

namespace {

constexpr int kBadSettings = 2;
constexpr const char* kVersion = "0.1.0";

/// Larger blocks are mapped one by one, so that bodies do not fragment the
/// heap.
constexpr int kMmapThresholdBytes = 64 * 1024;
/// Free memory at the end of the heap beyond this is returned to the system.
constexpr int kTrimThresholdBytes = 256 * 1024;

void
LimitIdleMemory()
{
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

int
RunWith(const std::string& aFile)
{
  auto settings = greengagehub::LoadSettings(aFile);
  if (!settings) {
    for (const greengagehub::Error& each : settings.error()) {
      fmt::print(stderr, "{}\n", greengagehub::Describe(each));
    }
    return kBadSettings;
  }
  greengagehub::Daemon daemon{ std::move(settings.value()), aFile };
  const int code = daemon.Run();
  std::fflush(nullptr);
  // Skips destructors: with unreachable peers, the messaging library's threads
  // take seconds to end while callers' connections stay open.
  std::_Exit(code);
}

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  std::signal(SIGPIPE, SIG_IGN);
  LimitIdleMemory();
  po::options_description options{ "greengagehubd --settings FILE" };
  options.add_options()("settings", po::value<std::string>(), "TOML file")(
    "help", "show this")("version", "show the version");
  try {
    po::variables_map given;
    po::store(po::parse_command_line(aCount, aArguments, options), given);
    if (given.count("help") != 0) {
      std::ostringstream text;
      text << options;
      fmt::print("{}", text.str());
      return 0;
    }
    if (given.count("version") != 0) {
      fmt::print("greengagehubd {}\n", kVersion);
      return 0;
    }
    if (given.count("settings") == 0) {
      fmt::print(stderr, "--settings FILE is required; see --help\n");
      return kBadSettings;
    }
    return RunWith(given["settings"].as<std::string>());
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kBadSettings;
  }
}
