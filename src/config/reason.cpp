#include "greengagehub/config/reason.hpp"

#include <algorithm>
#include <array>

namespace greengagehub {

namespace {

struct CodeName
{
  ReasonCode m_code;
  std::string_view m_name;
};

constexpr std::array kNames{
  CodeName{ ReasonCode::NotJson, "not-json" },
  CodeName{ ReasonCode::NotAnObject, "not-an-object" },
  CodeName{ ReasonCode::UnknownField, "unknown-field" },
  CodeName{ ReasonCode::WrongType, "wrong-type" },
  CodeName{ ReasonCode::OutOfRange, "out-of-range" },
  CodeName{ ReasonCode::BadName, "bad-name" },
  CodeName{ ReasonCode::MissingField, "missing-field" },
  CodeName{ ReasonCode::UnknownService, "unknown-service" },
  CodeName{ ReasonCode::ServiceInUse, "service-in-use" },
  CodeName{ ReasonCode::DuplicateMatch, "duplicate-match" },
  CodeName{ ReasonCode::TooLarge, "too-large" },
  CodeName{ ReasonCode::StaleBase, "stale-base" },
  CodeName{ ReasonCode::UnknownBase, "unknown-base" },
  CodeName{ ReasonCode::IdReused, "id-reused" },
  CodeName{ ReasonCode::DuplicateKey, "duplicate-key" },
};

}

std::string_view
NameOf(ReasonCode aCode) noexcept
{
  const auto* found =
    std::find_if(kNames.begin(), kNames.end(), [aCode](const CodeName& aEntry) {
      return aEntry.m_code == aCode;
    });
  return found == kNames.end() ? std::string_view{ "unknown" } : found->m_name;
}

std::optional<ReasonCode>
ParseReasonCode(std::string_view aName) noexcept
{
  const auto* found =
    std::find_if(kNames.begin(), kNames.end(), [aName](const CodeName& aEntry) {
      return aEntry.m_name == aName;
    });
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return found->m_code;
}

}
