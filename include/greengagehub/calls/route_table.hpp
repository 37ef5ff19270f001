#pragma once

#include "greengagehub/config/content.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Finds the route of a call: an exact host takes precedence over any
/// host, then the longest path prefix that ends at a segment boundary.
///
/// Built once for each configuration version. It shares ownership of the
/// content's route entities.
class RouteTable
{
public:
  explicit RouteTable(const Content& aContent);

  /// \returns The route, or nullptr; valid for the lifetime of the table.
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aPath) const;

private:
  using RoutePtr = boost::intrusive_ptr<const Entity<Route>>;
  using Prefixes = std::map<std::string, RoutePtr, std::less<>>;

  [[nodiscard]] static const Route* FindLongestPrefix(const Prefixes& aPrefixes,
                                                      std::string_view aPath);

  std::map<std::string, Prefixes, std::less<>> m_hosts;
};

}
