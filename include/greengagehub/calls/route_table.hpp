#pragma once

#include "greengagehub/config/content.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Finds the route of a call: exact host before any host, then the
/// longest path prefix that ends at a segment.
///
/// Built once for each version and kept beside it; it points into the
/// content's shared entities and holds them by count.
class RouteTable
{
public:
  explicit RouteTable(const Content& aContent);

  /// \returns The route, or nullptr; valid as long as this table.
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aPath) const;

private:
  using RoutePtr = boost::intrusive_ptr<const Entity<Route>>;
  using Prefixes = std::map<std::string, RoutePtr, std::less<>>;

  [[nodiscard]] static const Route* Longest(const Prefixes& aPrefixes,
                                            std::string_view aPath);

  std::map<std::string, Prefixes, std::less<>> m_hosts;
};

}
