#include "greengagehub/core/parse_json.hpp"

namespace greengagehub {

nlohmann::json
ParseJson(std::string_view aText)
{
  using Json = nlohmann::json;
  bool isTooDeep = false;
  const auto checkDepth =
    [&isTooDeep](int aDepth, Json::parse_event_t /*aEvent*/, Json& /*aValue*/) {
      isTooDeep = isTooDeep || aDepth > kMaxJsonDepth;
      return !isTooDeep;
    };
  Json json = Json::parse(aText, checkDepth, false);
  return isTooDeep ? Json(Json::value_t::discarded) : json;
}

}
