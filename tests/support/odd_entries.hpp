#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace greengagehub::test {

/// \returns JSON arrays nested 100,000 deep.
inline std::string
DeeplyNested()
{
  constexpr std::size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/// \returns Copies of a JSON object with each field in turn replaced by a value
/// that another writer may leave there, and values that are no object.
inline std::vector<std::string>
OddVariantsOf(const std::string& aObject)
{
  using Json = nlohmann::json;
  const std::vector<std::string> values{
    DeeplyNested(), "123456789012345678901234567890",
    "1e999",        "-1",
    "99999",        "0.5",
    "null",         "\"\"",
    "\"\\u0000\"",  "{}"
  };
  std::vector<std::string> variants = values;
  variants.push_back(aObject.substr(0, aObject.size() / 2));
  variants.push_back(aObject + aObject);
  const Json object = Json::parse(aObject);
  for (const auto& field : object.items()) {
    for (const std::string& value : values) {
      Json other = object;
      other[field.key()] = "placeholder-for-the-value";
      std::string text = other.dump();
      const std::string quoted = "\"placeholder-for-the-value\"";
      text.replace(text.find(quoted), quoted.size(), value);
      variants.push_back(std::move(text));
    }
  }
  return variants;
}

}
