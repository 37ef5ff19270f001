#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>

namespace greengagehub {

/// \brief Reads the fields of one JSON object strictly: the library itself
/// turns 6.5, true and -1 into whole numbers. The first fault stays, with its
/// place; what could not be read is empty.
///
/// For values that anyone may have written: a heartbeat, an entry of the store.
class FieldReader
{
public:
  using Json = nlohmann::json;

  /// \param aObject outlives the reader; one that is no object has no fields.
  explicit FieldReader(const Json& aObject)
    : m_object(aObject)
  {
  }

  /// \returns Empty while everything could be read.
  [[nodiscard]] const std::string& Fault() const noexcept { return m_fault; }
  [[nodiscard]] bool Has(const char* aName) const
  {
    return m_object.contains(aName);
  }

  /// \returns A whole number from 0 to `aMost`.
  std::uint64_t Whole(const char* aName, std::uint64_t aMost = UINT64_MAX)
  {
    const Json* found = Find(aName);
    const bool fits = found != nullptr && found->is_number_unsigned() &&
                      found->get<std::uint64_t>() <= aMost;
    if (!fits) {
      Note(aName, fmt::format("a whole number up to {}", aMost));
      return 0;
    }
    return found->get<std::uint64_t>();
  }

  /// \returns A number above 0 and up to `aMost`, whole or not.
  double Positive(const char* aName, double aMost)
  {
    const Json* found = Find(aName);
    const double value =
      found != nullptr && found->is_number() ? found->get<double>() : 0.0;
    if (!(value > 0.0) || value > aMost) {
      Note(aName, fmt::format("a number above 0 and up to {}", aMost));
      return 0.0;
    }
    return value;
  }

  [[nodiscard]] std::string Text(const char* aName)
  {
    const Json* found = Find(aName);
    if (found == nullptr || !found->is_string()) {
      Note(aName, "a text");
      return {};
    }
    return found->get<std::string>();
  }

  /// \returns A text that is not empty.
  std::string Name(const char* aName)
  {
    std::string text = Text(aName);
    if (text.empty()) {
      Note(aName, "a name");
    }
    return text;
  }

  [[nodiscard]] bool Flag(const char* aName)
  {
    const Json* found = Find(aName);
    if (found == nullptr || !found->is_boolean()) {
      Note(aName, "true or false");
      return false;
    }
    return found->get<bool>();
  }

  [[nodiscard]] const Json& List(const char* aName)
  {
    static const Json kEmpty = Json::array();
    const Json* found = Find(aName);
    if (found == nullptr || !found->is_array()) {
      Note(aName, "a list");
      return kEmpty;
    }
    return *found;
  }

  /// \brief Notes a fault unless there is one.
  void Note(std::string_view aPlace, std::string_view aExpected)
  {
    if (m_fault.empty()) {
      m_fault = fmt::format("/{}: {} was expected", aPlace, aExpected);
    }
  }

private:
  [[nodiscard]] const Json* Find(const char* aName) const
  {
    const auto found = m_object.find(aName);
    return found == m_object.end() ? nullptr : &*found;
  }

  const Json& m_object;
  std::string m_fault;
};

}
