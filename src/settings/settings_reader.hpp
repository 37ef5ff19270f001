#pragma once

#include "greengagehub/core/error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace greengagehub {

/// \brief Reads one section of a TOML file; collects every fault with its
/// line, key and what is allowed.
class SettingsReader
{
public:
  SettingsReader(const toml::table& aRoot,
                 std::string aFile,
                 std::string aSection,
                 std::vector<Error>& aFaults);

  void Text(const char* aKey, std::string& aTarget);
  /// \brief As Text, but the key must be there and not be empty.
  void NeededText(const char* aKey, std::string& aTarget);
  void Texts(const char* aKey, std::vector<std::string>& aTarget);
  void OneOf(const char* aKey,
             std::string& aTarget,
             const std::vector<std::string>& aAllowed);
  void Flag(const char* aKey, bool& aTarget);
  void Port(const char* aKey, std::uint16_t& aTarget);
  void Millis(const char* aKey,
              std::chrono::milliseconds& aTarget,
              std::int64_t aLow,
              std::int64_t aHigh);
  /// \brief A number in [aLow, aHigh], whole or not.
  void Number(const char* aKey, double& aTarget, double aLow, double aHigh);
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
  /// \brief Keys that are left are faults; `aTables` names allowed subtables.
  void Finish(const std::vector<std::string>& aTables = {});
  void Fault(const char* aKey, const std::string& aAllowed);
  [[nodiscard]] const toml::table* Table() const noexcept { return m_table; }

private:
  [[nodiscard]] const toml::node* Find(const char* aKey);
  bool Integer(const char* aKey,
               std::int64_t& aTarget,
               std::int64_t aLow,
               std::int64_t aHigh);
  void FaultAt(const toml::node* aNode, const std::string& aMessage);

  const toml::table* m_table{ nullptr };
  std::string m_file;
  std::string m_section;
  std::vector<Error>& m_faults;
  std::vector<std::string> m_known;
};

}
