#pragma once

#include "greengagehub/core/store_message.hpp"

#include <map>

namespace greengagehub {

/// \brief The store's contract in memory, a value that can be copied, so that
/// a search can go back to an earlier state.
struct FakeStore
{
  struct Key
  {
    std::string m_value;
    Revision m_revision{ 0 };
  };
  std::map<std::string, Key> m_keys;
  Revision m_last{ 0 };
  /// A broken store for checking the checker: writes without comparing.
  bool m_ignoresExpected{ false };

  [[nodiscard]] StoreReply Carry(const StoreRequest& aRequest)
  {
    using Status = StoreReply::Status;
    const auto key = m_keys.find(aRequest.m_key);
    const Revision now = key == m_keys.end() ? 0 : key->second.m_revision;
    switch (aRequest.m_kind) {
      case StoreRequest::Kind::Get:
        if (now == 0) {
          return { .m_status = Status::NotFound };
        }
        return { .m_status = Status::Ok,
                 .m_revision = now,
                 .m_value = key->second.m_value };
      case StoreRequest::Kind::Put:
        if (now != aRequest.m_expected && !m_ignoresExpected) {
          return { .m_status = Status::Conflict, .m_revision = now };
        }
        m_keys[aRequest.m_key] = { aRequest.m_value, ++m_last };
        return { .m_status = Status::Ok, .m_revision = m_last };
      case StoreRequest::Kind::Delete:
        if (m_keys.erase(aRequest.m_key) == 0) {
          return { .m_status = Status::NotFound };
        }
        return { .m_status = Status::Ok };
      default:
        return { .m_status = Status::Unavailable };
    }
  }
};

}
