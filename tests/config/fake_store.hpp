#pragma once

#include "greengagehub/core/store_message.hpp"

#include <map>

namespace greengagehub {

/// \brief In-memory store. Copyable, so that a search can return to an earlier
/// state.
struct FakeStore
{
  struct Key
  {
    std::string m_value;
    Revision m_revision{ 0 };
  };
  std::map<std::string, Key> m_keys;
  Revision m_lastRevision{ 0 };
  /// Fault injection: Put ignores the expected revision.
  bool m_ignoresExpected{ false };

  [[nodiscard]] StoreReply Execute(const StoreRequest& aRequest)
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
        m_keys[aRequest.m_key] = { aRequest.m_value, ++m_lastRevision };
        return { .m_status = Status::Ok, .m_revision = m_lastRevision };
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
