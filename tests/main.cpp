#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <string>

namespace {

/// \returns A filter of the quoted names at the start of a file's lines.
std::string
ReadFilter(const char* aFile)
{
  std::string names;
  std::ifstream file{ aFile };
  for (std::string line; std::getline(file, line);) {
    const std::size_t end = line.find('"', 1);
    if (line.empty() || line.front() != '"' || end == std::string::npos) {
      continue;
    }
    names += names.empty() ? "" : ",";
    for (const char each : line.substr(1, end - 1)) {
      names += each == ',' ? "\\," : std::string{ each };
    }
  }
  return names;
}

}

/// Skips the test cases listed in the file named by GREENGAGEHUB_KNOWN_RED.
int
main(int aCount, char** aArguments)
{
  doctest::Context context{ aCount, aArguments };
  if (const char* file = std::getenv("GREENGAGEHUB_KNOWN_RED")) {
    const std::string names = ReadFilter(file);
    if (!names.empty()) {
      context.addFilter("test-case-exclude", names.c_str());
    }
  }
  return context.run();
}
