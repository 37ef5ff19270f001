#include "greengagehub/observe/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace greengagehub {

namespace {

std::string
Quoted(std::string_view aText)
{
  return nlohmann::json(aText).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct FormatValue
{
  std::string operator()(std::string_view aText) const { return Quoted(aText); }
  std::string operator()(bool aFlag) const { return aFlag ? "true" : "false"; }
  template<class Number>
  std::string operator()(Number aNumber) const
  {
    return fmt::format("{}", aNumber);
  }
};

}

std::string_view
NameOf(LogLevel aLevel) noexcept
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "info";
}

std::string
FormatLogLine(WallTime aAt,
              LogLevel aLevel,
              std::string_view aSlot,
              std::string_view aComponent,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields)
{
  const auto seconds = std::chrono::floor<std::chrono::seconds>(aAt);
  std::string line =
    fmt::format(R"({{"time":"{:%FT%T}.{:03}Z","level":"{}","slot":{},)"
                R"("component":"{}","event":"{}")",
                fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                (aAt - seconds).count(),
                NameOf(aLevel),
                Quoted(aSlot),
                aComponent,
                aEvent);
  for (const LogField& each : aFields) {
    line += fmt::format(
      R"(,"{}":{})", each.m_name, std::visit(FormatValue{}, each.m_value));
  }
  line += '}';
  return line;
}

Log::Log(LogLevel aLevel,
         std::map<std::string, LogLevel, std::less<>> aComponents,
         std::string aSlot)
  : m_sink(std::make_unique<LogSink>(STDOUT_FILENO))
  , m_level(aLevel)
  , m_components(std::move(aComponents))
  , m_slot(std::move(aSlot))
{
}

void
Log::SetLevels(LogLevel aLevel,
               std::map<std::string, LogLevel, std::less<>> aComponents)
{
  m_level = aLevel;
  m_components = std::move(aComponents);
}

bool
Log::Enabled(LogLevel aLevel, std::string_view aComponent) const
{
  const auto own = m_components.find(aComponent);
  return aLevel >= (own == m_components.end() ? m_level : own->second);
}

void
Log::Write(LogLevel aLevel,
           std::string_view aComponent,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields) const
{
  if (!Enabled(aLevel, aComponent)) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  m_sink->Append(
    FormatLogLine(now, aLevel, m_slot, aComponent, aEvent, aFields));
}

}
