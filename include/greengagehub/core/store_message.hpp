#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Revision of one key, from the store; 0 stands for "no such key".
using Revision = std::uint64_t;

/// \brief One call to the platform's key-value store, as a value that decision
/// logic returns and an adapter carries out.
struct StoreRequest
{
  enum class Kind : std::uint8_t
  {
    Get,
    /// Compare-and-swap against m_expected; 0 creates.
    Put,
    /// Unconditional.
    Delete,
    /// Answers when the key changed after the store's revision m_expected, or
    /// with NotModified after m_wait.
    Watch,
    /// Values of all keys that begin with m_key.
    List,
    LeaseGrant,
    LeaseKeep,
    /// Whether the key is at revision m_expected: Ok, or Conflict with what it
    /// holds. Writes nothing, and is decided as a write is.
    Check,
  };

  Kind m_kind{ Kind::Get };
  std::string m_key{};
  std::string m_value{};
  Revision m_expected{ 0 };
  /// Lease that the written key dies with; 0 for none. For LeaseKeep, the
  /// lease itself.
  std::uint64_t m_lease{ 0 };
  /// Wait of a watch, or time to live of a new lease.
  std::chrono::milliseconds m_wait{ 0 };
  /// For Watch, with a prefix of m_key: changes of other keys that begin so are
  /// told too, as m_items.
  std::string m_beside{};
  /// For Check: a second key that must be at its revision as well; empty:
  /// none.
  std::string m_alsoKey{};
  Revision m_alsoExpected{ 0 };
  /// For Get and List: what the store tells may be seconds old. Costs a tenth,
  /// and does not count against the store's rates.
  bool m_mayBeOld{ false };
};

struct StoreItem
{
  std::string m_key;
  std::string m_value;
};

/// \brief What is known about a call to the store.
struct StoreReply
{
  enum class Status : std::uint8_t
  {
    Ok,
    NotFound,
    /// The key's revision was not the expected one; nothing was written. The
    /// reply has the key's value and revision, if it is there.
    Conflict,
    /// A watch's time ran out with no change.
    NotModified,
    /// Certainly not carried out: not sent, or turned away.
    Unavailable,
    /// A watch began at a revision that the store has forgotten: read again.
    HistoryGone,
    /// Sent, no answer: a write may have taken effect.
    Unknown,
  };

  Status m_status{ Status::Unknown };
  /// The key's own.
  Revision m_revision{ 0 };
  /// The whole store's when it answered; a watch goes on from here.
  Revision m_storeRevision{ 0 };
  std::string m_value{};
  std::uint64_t m_lease{ 0 };
  std::vector<StoreItem> m_items{};
  /// Rises each time that the store comes back from an older copy, with which
  /// revisions go back; 0: not told.
  std::uint64_t m_era{ 0 };
};

[[nodiscard]] StoreRequest
MakeGet(std::string aKey);
/// \brief As MakeGet, where an old value does no harm.
[[nodiscard]] StoreRequest
MakeOldGet(std::string aKey);
[[nodiscard]] StoreRequest
MakePut(std::string aKey, std::string aValue, Revision aExpected);
[[nodiscard]] StoreRequest
MakeDelete(std::string aKey);
[[nodiscard]] StoreRequest
MakeWatch(std::string aKey, Revision aAfter, std::chrono::milliseconds aWait);
/// \brief As MakeWatch, of all keys that begin with `aPrefix`, as does aKey.
[[nodiscard]] StoreRequest
MakeWatchBeside(std::string aKey,
                std::string aPrefix,
                Revision aAfter,
                std::chrono::milliseconds aWait);
[[nodiscard]] StoreRequest
MakeCheck(std::string aKey, Revision aExpected);
[[nodiscard]] StoreRequest
MakeList(std::string aPrefix);
/// \brief As MakeList, where old values do no harm.
[[nodiscard]] StoreRequest
MakeOldList(std::string aPrefix);

}
