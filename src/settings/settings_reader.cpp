#include "settings_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace greengagehub {

SettingsReader::SettingsReader(const toml::table& aRoot,
                               std::string aFile,
                               std::string aSection,
                               std::vector<Error>& aFaults)
  : m_file(std::move(aFile))
  , m_section(std::move(aSection))
  , m_faults(aFaults)
{
  const toml::node* node = aRoot.get(m_section);
  if (node == nullptr) {
    return;
  }
  m_table = node->as_table();
  if (m_table == nullptr) {
    FaultAt(node, fmt::format("[{}] must be a table", m_section));
  }
}

const toml::node*
SettingsReader::Find(const char* aKey)
{
  m_known.emplace_back(aKey);
  return m_table == nullptr ? nullptr : m_table->get(aKey);
}

void
SettingsReader::FaultAt(const toml::node* aNode, const std::string& aMessage)
{
  Error fault{ ErrorCode::Invalid, aMessage, SourceRegion{ m_file } };
  if (aNode != nullptr) {
    fault.m_source->m_line = aNode->source().begin.line;
    fault.m_source->m_column = aNode->source().begin.column;
  }
  m_faults.push_back(std::move(fault));
}

void
SettingsReader::Fault(const char* aKey, const std::string& aAllowed)
{
  const toml::node* node = m_table == nullptr ? nullptr : m_table->get(aKey);
  FaultAt(node == nullptr ? m_table : node,
          fmt::format("{}.{}: allowed: {}", m_section, aKey, aAllowed));
}

void
SettingsReader::Text(const char* aKey, std::string& aTarget)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return;
  }
  if (!node->is_string()) {
    Fault(aKey, "a string");
    return;
  }
  aTarget = node->as_string()->get();
}

void
SettingsReader::NeededText(const char* aKey, std::string& aTarget)
{
  const std::size_t before = m_faults.size();
  Text(aKey, aTarget);
  if (aTarget.empty() && m_faults.size() == before) {
    Fault(aKey, "a string that is not empty; it must be given");
  }
}

void
SettingsReader::Texts(const char* aKey, std::vector<std::string>& aTarget)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return;
  }
  const toml::array* array = node->as_array();
  const bool valid =
    array != nullptr &&
    std::all_of(array->begin(), array->end(), [](const toml::node& aNode) {
      return aNode.is_string();
    });
  if (!valid) {
    Fault(aKey, "an array of strings");
    return;
  }
  for (const toml::node& each : *array) {
    aTarget.push_back(each.as_string()->get());
  }
}

void
SettingsReader::OneOf(const char* aKey,
                      std::string& aTarget,
                      const std::vector<std::string>& aAllowed)
{
  Text(aKey, aTarget);
  const bool found =
    std::find(aAllowed.begin(), aAllowed.end(), aTarget) != aAllowed.end();
  if (!found) {
    Fault(aKey, fmt::format("{}", fmt::join(aAllowed, ", ")));
  }
}

bool
SettingsReader::Integer(const char* aKey,
                        std::int64_t& aTarget,
                        std::int64_t aLow,
                        std::int64_t aHigh)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return false;
  }
  const bool valid = node->is_integer() && node->as_integer()->get() >= aLow &&
                     node->as_integer()->get() <= aHigh;
  if (!valid) {
    Fault(aKey, fmt::format("a whole number from {} to {}", aLow, aHigh));
    return false;
  }
  aTarget = node->as_integer()->get();
  return true;
}

void
SettingsReader::Flag(const char* aKey, bool& aTarget)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return;
  }
  if (!node->is_boolean()) {
    Fault(aKey, "true or false");
    return;
  }
  aTarget = node->as_boolean()->get();
}

void
SettingsReader::Port(const char* aKey, std::uint16_t& aTarget)
{
  Count(aKey, aTarget, 0, UINT16_MAX);
}

void
SettingsReader::Millis(const char* aKey,
                       std::chrono::milliseconds& aTarget,
                       std::int64_t aLow,
                       std::int64_t aHigh)
{
  std::int64_t value = aTarget.count();
  if (Integer(aKey, value, aLow, aHigh)) {
    aTarget = std::chrono::milliseconds{ value };
  }
}

void
SettingsReader::Finish(const std::vector<std::string>& aTables)
{
  if (m_table == nullptr) {
    return;
  }
  for (const auto& [key, node] : *m_table) {
    const std::string name{ key.str() };
    const auto in = [&name](const std::vector<std::string>& aNames) {
      return std::find(aNames.begin(), aNames.end(), name) != aNames.end();
    };
    if (!in(m_known) && !in(aTables)) {
      FaultAt(&node,
              fmt::format("{}.{}: unknown key; allowed: {}",
                          m_section,
                          name,
                          fmt::join(m_known, ", ")));
    }
  }
}

void
SettingsReader::Number(const char* aKey,
                       double& aTarget,
                       double aLow,
                       double aHigh)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return;
  }
  const std::optional<double> value = node->value<double>();
  if (!value || *value < aLow || *value > aHigh) {
    Fault(aKey, fmt::format("a number from {} to {}", aLow, aHigh));
    return;
  }
  aTarget = *value;
}

}
