#include "greengagehub/calls/route_table.hpp"

namespace greengagehub {

RouteTable::RouteTable(const Content& aContent)
{
  for (const auto& [name, entity] : aContent.Routes()) {
    const Route& route = entity->m_value;
    m_hosts[route.m_host].emplace(route.m_path, entity);
  }
}

const Route*
RouteTable::FindLongestPrefix(const Prefixes& aPrefixes, std::string_view aPath)
{
  // The cost does not depend on the number of routes.
  std::string_view prefix = aPath;
  while (!prefix.empty()) {
    const auto found = aPrefixes.find(prefix);
    if (found != aPrefixes.end()) {
      return &found->second->m_value;
    }
    const bool endsInSlash = prefix.back() == '/' && prefix.size() > 1;
    const std::size_t length =
      endsInSlash ? prefix.size() - 1 : prefix.rfind('/') + 1;
    prefix = prefix.substr(0, length == prefix.size() ? 0 : length);
  }
  return nullptr;
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  for (const std::string_view host : { aHost, std::string_view{} }) {
    const auto prefixes = m_hosts.find(host);
    if (prefixes == m_hosts.end()) {
      continue;
    }
    if (const Route* route = FindLongestPrefix(prefixes->second, aPath)) {
      return route;
    }
  }
  return nullptr;
}

}
