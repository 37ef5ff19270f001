#include "greengagehub/config/reason.hpp"

#include <algorithm>
#include <array>

namespace greengagehub {

namespace {

struct NamedCode
{
  ReasonCode m_code;
  std::string_view m_name;
};

constexpr std::array kNames{
  NamedCode{ ReasonCode::NotJson, "not-json" },
  NamedCode{ ReasonCode::NotAnObject, "not-an-object" },
  NamedCode{ ReasonCode::UnknownField, "unknown-field" },
  NamedCode{ ReasonCode::WrongType, "wrong-type" },
  NamedCode{ ReasonCode::OutOfRange, "out-of-range" },
  NamedCode{ ReasonCode::BadName, "bad-name" },
  NamedCode{ ReasonCode::MissingField, "missing-field" },
  NamedCode{ ReasonCode::UnknownService, "unknown-service" },
  NamedCode{ ReasonCode::ServiceInUse, "service-in-use" },
  NamedCode{ ReasonCode::DuplicateMatch, "duplicate-match" },
  NamedCode{ ReasonCode::TooLarge, "too-large" },
  NamedCode{ ReasonCode::StaleBase, "stale-base" },
  NamedCode{ ReasonCode::UnknownBase, "unknown-base" },
  NamedCode{ ReasonCode::IdReused, "id-reused" },
  NamedCode{ ReasonCode::DuplicateKey, "duplicate-key" },
};

}

std::string_view
NameOf(ReasonCode aCode) noexcept
{
  const auto* found = std::find_if(
    kNames.begin(), kNames.end(), [aCode](const NamedCode& aNamed) {
      return aNamed.m_code == aCode;
    });
  return found == kNames.end() ? std::string_view{ "unknown" } : found->m_name;
}

std::optional<ReasonCode>
ParseReasonCode(std::string_view aName) noexcept
{
  const auto* found = std::find_if(
    kNames.begin(), kNames.end(), [aName](const NamedCode& aNamed) {
      return aNamed.m_name == aName;
    });
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return found->m_code;
}

}
