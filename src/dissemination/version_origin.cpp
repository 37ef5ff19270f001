#include "greengagehub/dissemination/version_origin.hpp"

namespace greengagehub {

std::string_view
NameOf(VersionChannel aChannel) noexcept
{
  switch (aChannel) {
    case VersionChannel::StoreRead:
      return "read";
    case VersionChannel::StoreCopy:
      return "copy";
    case VersionChannel::StoreCheck:
      return "check";
    case VersionChannel::StoreWatch:
      return "watch";
    case VersionChannel::Push:
      return "push";
    case VersionChannel::Repair:
      return "repair";
    case VersionChannel::PulledEntries:
      return "pull";
    case VersionChannel::PulledSnapshot:
      return "snapshot";
    case VersionChannel::Decision:
      return "decision";
  }
  return "read";
}

}
