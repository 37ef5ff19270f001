#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>

namespace greengagehub {

/// \brief Reads the fields of one JSON object with strict types. Unlike
/// nlohmann::json, it does not convert 6.5, true or -1 to unsigned integers.
///
/// Keeps the first error. Invalid fields read as empty or 0.
class FieldReader
{
public:
  using Json = nlohmann::json;

  /// \param aObject must outlive the reader. Other JSON types have no fields.
  explicit FieldReader(const Json& aObject)
    : m_object(aObject)
  {
  }

  /// \returns Empty if there is no error.
  [[nodiscard]] const std::string& FirstError() const noexcept
  {
    return m_error;
  }
  [[nodiscard]] bool Contains(const char* aName) const
  {
    return m_object.contains(aName);
  }

  /// \returns An integer from 0 to `aMaximum`.
  std::uint64_t Unsigned(const char* aName, std::uint64_t aMaximum = UINT64_MAX)
  {
    const Json* found = Find(aName);
    const bool fits = found != nullptr && found->is_number_unsigned() &&
                      found->get<std::uint64_t>() <= aMaximum;
    if (!fits) {
      AddError(aName, fmt::format("an integer from 0 to {}", aMaximum));
      return 0;
    }
    return found->get<std::uint64_t>();
  }

  /// \returns A number above 0, at most `aMaximum`.
  double Positive(const char* aName, double aMaximum)
  {
    const Json* found = Find(aName);
    const double value =
      found != nullptr && found->is_number() ? found->get<double>() : 0.0;
    if (!(value > 0.0) || value > aMaximum) {
      AddError(aName, fmt::format("a number above 0, at most {}", aMaximum));
      return 0.0;
    }
    return value;
  }

  [[nodiscard]] std::string Text(const char* aName)
  {
    const Json* found = Find(aName);
    if (found == nullptr || !found->is_string()) {
      AddError(aName, "a string");
      return {};
    }
    return found->get<std::string>();
  }

  /// \returns A non-empty string.
  std::string Name(const char* aName)
  {
    std::string text = Text(aName);
    if (text.empty()) {
      AddError(aName, "a non-empty string");
    }
    return text;
  }

  [[nodiscard]] bool Flag(const char* aName)
  {
    const Json* found = Find(aName);
    if (found == nullptr || !found->is_boolean()) {
      AddError(aName, "true or false");
      return false;
    }
    return found->get<bool>();
  }

  [[nodiscard]] const Json& List(const char* aName)
  {
    static const Json kEmpty = Json::array();
    const Json* found = Find(aName);
    if (found == nullptr || !found->is_array()) {
      AddError(aName, "an array");
      return kEmpty;
    }
    return *found;
  }

  /// \brief Records an error unless there is one already.
  void AddError(std::string_view aPlace, std::string_view aExpected)
  {
    if (m_error.empty()) {
      m_error = fmt::format("/{}: expected {}", aPlace, aExpected);
    }
  }

private:
  [[nodiscard]] const Json* Find(const char* aName) const
  {
    const auto found = m_object.find(aName);
    return found == m_object.end() ? nullptr : &*found;
  }

  const Json& m_object;
  std::string m_error;
};

}
