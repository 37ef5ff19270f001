#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Why a patch was rejected. The public names are stored with decisions:
/// never rename or reuse one.
enum class ReasonCode : std::uint8_t
{
  NotJson,
  NotAnObject,
  UnknownField,
  WrongType,
  OutOfRange,
  BadName,
  MissingField,
  UnknownService,
  ServiceInUse,
  DuplicateMatch,
  TooLarge,
  StaleBase,
  UnknownBase,
  IdReused,
  /// Two workspaces have the same API key.
  DuplicateKey,
};

struct Reason
{
  ReasonCode m_code{ ReasonCode::NotJson };
  /// JSON pointer (RFC 6901); empty for the whole patch.
  std::string m_place;
  std::string m_detail;

  [[nodiscard]] bool operator==(const Reason&) const = default;
};

/// \returns The public name, such as "stale-base".
[[nodiscard]] std::string_view
NameOf(ReasonCode aCode) noexcept;

[[nodiscard]] std::optional<ReasonCode>
ParseReasonCode(std::string_view aName) noexcept;

}
