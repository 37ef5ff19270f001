#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/observe/log_sink.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace greengagehub {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

[[nodiscard]] std::string_view
NameOf(LogLevel aLevel) noexcept;

struct LogField
{
  using Value =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

  std::string_view m_name;
  Value m_value;
};

/// \brief Logger that writes JSON lines to standard output.
///
/// \code
/// log.Info("config", "version_in_force", { { "version", version } });
/// \endcode
class Log
{
public:
  Log(LogLevel aLevel,
      std::map<std::string, LogLevel, std::less<>> aComponents,
      std::string aSlot);

  /// \brief Writes buffered lines as far as possible without blocking.
  void Flush() const { m_sink->Flush(); }
  /// \param aComponents levels of components that differ from `aLevel`.
  void SetLevels(LogLevel aLevel,
                 std::map<std::string, LogLevel, std::less<>> aComponents);
  [[nodiscard]] bool Enabled(LogLevel aLevel,
                             std::string_view aComponent) const;

  void Write(LogLevel aLevel,
             std::string_view aComponent,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {}) const;
  void Debug(std::string_view aComponent,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {}) const
  {
    Write(LogLevel::Debug, aComponent, aEvent, aFields);
  }
  void Info(std::string_view aComponent,
            std::string_view aEvent,
            std::initializer_list<LogField> aFields = {}) const
  {
    Write(LogLevel::Info, aComponent, aEvent, aFields);
  }
  void Warning(std::string_view aComponent,
               std::string_view aEvent,
               std::initializer_list<LogField> aFields = {}) const
  {
    Write(LogLevel::Warning, aComponent, aEvent, aFields);
  }
  void Error(std::string_view aComponent,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {}) const
  {
    Write(LogLevel::Error, aComponent, aEvent, aFields);
  }

private:
  std::unique_ptr<LogSink> m_sink;
  LogLevel m_level;
  std::map<std::string, LogLevel, std::less<>> m_components;
  std::string m_slot;
};

/// \returns One log line, without the line feed.
[[nodiscard]] std::string
FormatLogLine(WallTime aAt,
              LogLevel aLevel,
              std::string_view aSlot,
              std::string_view aComponent,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields);

}
