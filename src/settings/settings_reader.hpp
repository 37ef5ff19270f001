#pragma once

#include "greengagehub/core/error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace greengagehub {

/// \brief Reads one section of a TOML file and collects errors.
///
/// A key that is absent leaves its target unchanged.
class SettingsReader
{
public:
  SettingsReader(const toml::table& aRoot,
                 std::string aFile,
                 std::string aSection,
                 std::vector<Error>& aErrors);

  void Text(const char* aKey, std::string& aTarget);
  /// \brief Reads a string that must be present and not empty.
  void RequiredText(const char* aKey, std::string& aTarget);
  void TextArray(const char* aKey, std::vector<std::string>& aTarget);
  /// \brief Reads a string that must be one of `aAllowed`.
  void OneOf(const char* aKey,
             std::string& aTarget,
             const std::vector<std::string>& aAllowed);
  void Flag(const char* aKey, bool& aTarget);
  void Port(const char* aKey, std::uint16_t& aTarget);
  void Millis(const char* aKey,
              std::chrono::milliseconds& aTarget,
              std::int64_t aLow,
              std::int64_t aHigh);
  /// \brief Reads an integer or floating-point number in [aLow, aHigh].
  void Number(const char* aKey, double& aTarget, double aLow, double aHigh);
  /// \brief Reads an integer in [aLow, aHigh].
  template<class Number>
  void Count(const char* aKey,
             Number& aTarget,
             std::int64_t aLow,
             std::int64_t aHigh)
  {
    auto value = static_cast<std::int64_t>(aTarget);
    if (Integer(aKey, value, aLow, aHigh)) {
      aTarget = static_cast<Number>(value);
    }
  }
  /// \param aTables subtables to ignore.
  void ReportUnknownKeys(const std::vector<std::string>& aTables = {});
  void AddError(const char* aKey, const std::string& aExpected);
  /// \returns The section, or null if it is absent or not a table.
  [[nodiscard]] const toml::table* Table() const noexcept { return m_table; }

private:
  [[nodiscard]] const toml::node* Find(const char* aKey);
  /// \returns Whether `aTarget` was assigned.
  bool Integer(const char* aKey,
               std::int64_t& aTarget,
               std::int64_t aLow,
               std::int64_t aHigh);
  void AddErrorAt(const toml::node* aNode, const std::string& aMessage);

  const toml::table* m_table{ nullptr };
  std::string m_file;
  std::string m_section;
  std::vector<Error>& m_errors;
  std::vector<std::string> m_knownKeys;
};

}
