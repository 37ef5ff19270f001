#include "greengagehub/net/descriptors.hpp"

#include <limits>
#include <sys/resource.h>

namespace greengagehub {

std::size_t
ProcessDescriptorLimit() noexcept
{
  rlimit limit{};
  const bool isKnown =
    ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return isKnown ? limit.rlim_cur : std::numeric_limits<int>::max();
}

}
