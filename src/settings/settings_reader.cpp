#include "settings_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace greengagehub {

SettingsReader::SettingsReader(const toml::table& aRoot,
                               std::string aFile,
                               std::string aSection,
                               std::vector<Error>& aErrors)
  : m_file(std::move(aFile))
  , m_section(std::move(aSection))
  , m_errors(aErrors)
{
  const toml::node* node = aRoot.get(m_section);
  if (node == nullptr) {
    return;
  }
  m_table = node->as_table();
  if (m_table == nullptr) {
    AddErrorAt(node, fmt::format("[{}]: expected a table", m_section));
  }
}

const toml::node*
SettingsReader::Find(const char* aKey)
{
  m_knownKeys.emplace_back(aKey);
  return m_table == nullptr ? nullptr : m_table->get(aKey);
}

void
SettingsReader::AddErrorAt(const toml::node* aNode, const std::string& aMessage)
{
  Error error{ ErrorCode::Invalid, aMessage, SourceRegion{ m_file } };
  if (aNode != nullptr) {
    error.m_source->m_line = aNode->source().begin.line;
    error.m_source->m_column = aNode->source().begin.column;
  }
  m_errors.push_back(std::move(error));
}

void
SettingsReader::AddError(const char* aKey, const std::string& aExpected)
{
  const toml::node* node = m_table == nullptr ? nullptr : m_table->get(aKey);
  AddErrorAt(node == nullptr ? m_table : node,
             fmt::format("{}.{}: expected {}", m_section, aKey, aExpected));
}

void
SettingsReader::Text(const char* aKey, std::string& aTarget)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return;
  }
  if (!node->is_string()) {
    AddError(aKey, "a string");
    return;
  }
  aTarget = node->as_string()->get();
}

void
SettingsReader::RequiredText(const char* aKey, std::string& aTarget)
{
  const std::size_t errorsBefore = m_errors.size();
  Text(aKey, aTarget);
  if (aTarget.empty() && m_errors.size() == errorsBefore) {
    AddError(aKey, "a non-empty string; the key is required");
  }
}

void
SettingsReader::TextArray(const char* aKey, std::vector<std::string>& aTarget)
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
    AddError(aKey, "an array of strings");
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
    AddError(aKey, fmt::format("one of {}", fmt::join(aAllowed, ", ")));
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
    AddError(aKey, fmt::format("an integer from {} to {}", aLow, aHigh));
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
    AddError(aKey, "true or false");
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
SettingsReader::ReportUnknownKeys(const std::vector<std::string>& aTables)
{
  if (m_table == nullptr) {
    return;
  }
  for (const auto& [key, node] : *m_table) {
    const std::string name{ key.str() };
    const auto in = [&name](const std::vector<std::string>& aNames) {
      return std::find(aNames.begin(), aNames.end(), name) != aNames.end();
    };
    if (!in(m_knownKeys) && !in(aTables)) {
      AddErrorAt(&node,
                 fmt::format("{}.{}: unknown key; known keys: {}",
                             m_section,
                             name,
                             fmt::join(m_knownKeys, ", ")));
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
    AddError(aKey, fmt::format("a number from {} to {}", aLow, aHigh));
    return;
  }
  aTarget = *value;
}

}
