#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Revision of a key in the store; 0 if the key does not exist.
using Revision = std::uint64_t;

/// Maximum number of keys that one request may compare.
inline constexpr std::size_t kMaxExpectedKeys = 32;

struct ExpectedKey
{
  std::string m_key;
  Revision m_revision{ 0 };
};

/// \brief One request to the platform's key-value store; a Store executes it.
struct StoreRequest
{
  enum class Kind : std::uint8_t
  {
    Get,
    /// Compare-and-swap: writes if the key is at m_expected; 0 creates the key.
    Put,
    Delete,
    /// Completes when the key changes after store revision m_expected, or with
    /// NotModified after m_wait.
    Watch,
    /// Reads all keys with the prefix m_key.
    List,
    LeaseGrant,
    LeaseKeep,
    /// Linearizable check that the key is at m_expected; writes nothing.
    Check,
  };

  Kind m_kind{ Kind::Get };
  std::string m_key{};
  std::string m_value{};
  /// Put and Check: revision that the key must have. Watch: store revision
  /// after which changes are reported.
  Revision m_expected{ 0 };
  /// Put: lease that the key expires with; 0: none. LeaseKeep: lease to renew.
  std::uint64_t m_lease{ 0 };
  /// Watch: maximum wait. LeaseGrant: time to live.
  std::chrono::milliseconds m_wait{ 0 };
  /// Watch: prefix of m_key; changes of other keys with the prefix are reported
  /// in m_items. Empty for none.
  std::string m_watchPrefix{};
  /// Check: further keys and the revisions that they must have; at most
  /// kMaxExpectedKeys with m_key.
  std::vector<ExpectedKey> m_alsoExpected{};
  /// Get and List: allows a stale read, exempt from the store's rate limits.
  bool m_allowStale{ false };
  /// Not on a connection that has served other requests: it may have gone
  /// silent.
  bool m_onNewConnection{ false };
};

struct StoreItem
{
  std::string m_key;
  std::string m_value;
  /// Of the answer to a failed check; otherwise 0.
  Revision m_revision{ 0 };
};

struct StoreReply
{
  enum class Status : std::uint8_t
  {
    Ok,
    NotFound,
    /// Nothing was written; the reply has the key's current value, if any.
    Conflict,
    /// A watch timed out without a change.
    NotModified,
    /// Not executed: not sent, or rejected.
    Unavailable,
    /// The revision of a watch was compacted; read the key again.
    HistoryCompacted,
    /// Sent without a reply; a write may have taken effect.
    Unknown,
  };

  Status m_status{ Status::Unknown };
  Revision m_revision{ 0 };
  /// Revision of the store at the reply; the next watch continues from it.
  Revision m_storeRevision{ 0 };
  std::string m_value{};
  std::uint64_t m_lease{ 0 };
  /// Check, if it failed: the existing keys among those compared.
  std::vector<StoreItem> m_items{};
  /// Incremented when a restore from a backup sets revisions back; 0: unknown.
  std::uint64_t m_era{ 0 };
};

[[nodiscard]] StoreRequest
MakeGet(std::string aKey);
[[nodiscard]] StoreRequest
MakeStaleGet(std::string aKey);
[[nodiscard]] StoreRequest
MakePut(std::string aKey, std::string aValue, Revision aExpected);
[[nodiscard]] StoreRequest
MakeDelete(std::string aKey);
[[nodiscard]] StoreRequest
MakeWatch(std::string aKey, Revision aAfter, std::chrono::milliseconds aWait);
/// \brief Like MakeWatch, and also reports other keys with `aPrefix`, which
/// must be a prefix of `aKey`.
[[nodiscard]] StoreRequest
MakePrefixWatch(std::string aKey,
                std::string aPrefix,
                Revision aAfter,
                std::chrono::milliseconds aWait);
[[nodiscard]] StoreRequest
MakeCheck(std::string aKey, Revision aExpected);
[[nodiscard]] StoreRequest
MakeList(std::string aPrefix);
[[nodiscard]] StoreRequest
MakeStaleList(std::string aPrefix);

}
