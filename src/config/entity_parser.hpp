#pragma once

#include "greengagehub/config/content.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace greengagehub {

/// \brief Reads the fields of one JSON object, reporting each fault with its
/// place; a field that nobody asked for is a fault as well.
class FieldReader
{
public:
  FieldReader(const nlohmann::json& aObject,
              std::string aPlace,
              std::vector<Reason>& aReasons);

  /// \brief Reads a whole number in [aLow, aHigh] when the field is there.
  void Number(const char* aName,
              std::uint32_t& aTarget,
              std::uint32_t aLow,
              std::uint32_t aHigh);
  /// \brief Reads a number, whole or not, in [0, aHigh] when it is there.
  void Real(const char* aName, double& aTarget, double aHigh);
  void Text(const char* aName, std::string& aTarget, std::size_t aMax);
  void Flag(const char* aName, bool& aTarget, bool& aPresent);
  /// \returns The field as it is, or nullptr when it is not there.
  [[nodiscard]] const nlohmann::json* Value(const char* aName)
  {
    return Find(aName);
  }
  /// \brief Reports every field that was not read.
  void Finish();
  void Refuse(ReasonCode aCode, const char* aName, std::string aDetail);

private:
  const nlohmann::json* Find(const char* aName);

  const nlohmann::json& m_object;
  std::string m_place;
  std::vector<Reason>& m_reasons;
  std::vector<std::string> m_known;
};

[[nodiscard]] Service
ParseService(const nlohmann::json& aObject,
             const std::string& aPlace,
             std::vector<Reason>& aReasons);
[[nodiscard]] Route
ParseRoute(const nlohmann::json& aObject,
           const std::string& aPlace,
           std::vector<Reason>& aReasons);
[[nodiscard]] Workspace
ParseWorkspace(const nlohmann::json& aObject,
               const std::string& aPlace,
               std::vector<Reason>& aReasons);
[[nodiscard]] Limits
ParseLimits(const nlohmann::json& aObject,
            const std::string& aPlace,
            std::vector<Reason>& aReasons);

/// \brief A name has 1 to 100 of a-z, 0-9, '-', '.', and starts with a letter
/// or digit: it needs no escape in JSON, a URL or a metric label.
[[nodiscard]] bool
IsValidName(std::string_view aName) noexcept;

/// \returns The name with RFC 6901 escapes, for a place.
[[nodiscard]] std::string
PointerToken(std::string_view aName);

}
