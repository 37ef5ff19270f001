#pragma once

#include "greengagehub/config/content.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace greengagehub {

/// \brief Reads the fields of one JSON object and reports invalid and unknown
/// ones. Targets keep their value when a field is absent.
class EntityReader
{
public:
  EntityReader(const nlohmann::json& aObject,
               std::string aPlace,
               std::vector<Reason>& aReasons);

  /// \brief Reads an integer in [aLow, aHigh].
  void Number(const char* aName,
              std::uint32_t& aTarget,
              std::uint32_t aLow,
              std::uint32_t aHigh);
  /// \brief Reads a number in [0, aHigh].
  void Real(const char* aName, double& aTarget, double aHigh);
  /// \brief Reads a string of up to `aMax` bytes.
  void Text(const char* aName, std::string& aTarget, std::size_t aMax);
  /// \param aPresent set to whether the field is present.
  void Flag(const char* aName, bool& aTarget, bool& aPresent);
  /// \returns nullptr when the field is absent.
  [[nodiscard]] const nlohmann::json* Value(const char* aName)
  {
    return Find(aName);
  }
  /// \brief Reports every field that was not read as unknown.
  void Finish();
  void AddReason(ReasonCode aCode, const char* aName, std::string aDetail);

private:
  const nlohmann::json* Find(const char* aName);

  const nlohmann::json& m_object;
  std::string m_place;
  std::vector<Reason>& m_reasons;
  std::vector<std::string> m_allowed;
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

/// \returns Whether the name has 1 to 120 characters of a-z, 0-9, '-', '.' and
/// starts with a letter or digit. It needs no escape in JSON, URLs or metrics.
[[nodiscard]] bool
IsValidName(std::string_view aName) noexcept;

/// \returns The name as a JSON pointer token (RFC 6901).
[[nodiscard]] std::string
PointerToken(std::string_view aName);

}
