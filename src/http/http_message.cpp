#include "greengagehub/http/http_message.hpp"

#include <algorithm>
#include <restinio/helpers/string_algo.hpp>
#include <restinio/uri_helpers.hpp>

namespace greengagehub {

bool
SameHeader(std::string_view aLeft, std::string_view aRight) noexcept
{
  const auto lower = [](char aChar) {
    const bool upper = aChar >= 'A' && aChar <= 'Z';
    return upper ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  };
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [lower](char aOne, char aOther) { return lower(aOne) == lower(aOther); });
}

std::string_view
HeaderValue(const std::vector<HttpHeader>& aHeaders,
            std::string_view aName) noexcept
{
  for (const HttpHeader& each : aHeaders) {
    if (SameHeader(each.m_name, aName)) {
      return each.m_value;
    }
  }
  return {};
}

std::string_view
PathOf(std::string_view aTarget) noexcept
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
QueryValue(std::string_view aTarget, std::string_view aName)
{
  const std::size_t mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  const std::string_view text = aTarget.substr(mark + 1);
  using Traits = restinio::parse_query_traits::relaxed;
  const auto query = restinio::try_parse_query<Traits>(
    restinio::string_view_t{ text.data(), text.size() });
  if (!query) {
    return {};
  }
  const auto value =
    query->get_param(restinio::string_view_t{ aName.data(), aName.size() });
  return value ? std::string{ value->data(), value->size() } : std::string{};
}

HttpResponse
JsonResponse(std::uint16_t aStatus, std::string aJson)
{
  return { aStatus,
           { HttpHeader{ "Content-Type", "application/json" } },
           aJson };
}

}
