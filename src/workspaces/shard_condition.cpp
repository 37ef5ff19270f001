#include "greengagehub/workspaces/shard_condition.hpp"

#include "greengagehub/workspaces/coordinator_role.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"

#include <charconv>
#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr std::string_view kShardsWord = "shards=";
constexpr std::string_view kSinceWord = "since=";

/// \returns The text up to the next space, which is removed with it.
std::string_view
TakeWord(std::string_view& aText)
{
  const std::size_t end = std::min(aText.find(' '), aText.size());
  const std::string_view word = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return word;
}

}

std::string
Format(const ShardStatement& aStatement)
{
  if (aStatement.m_shards == 1) {
    return aStatement.m_holder;
  }
  return fmt::format("{}{} {}{}{}{}",
                     kShardsWord,
                     aStatement.m_shards,
                     kSinceWord,
                     aStatement.m_since,
                     aStatement.m_holder.empty() ? "" : " ",
                     aStatement.m_holder);
}

ShardStatement
ParseShardStatement(std::string_view aValue)
{
  std::string_view rest = aValue;
  const std::string_view shards = TakeWord(rest);
  const std::string_view since = TakeWord(rest);
  std::uint32_t count = 0;
  if (shards.starts_with(kShardsWord) && since.starts_with(kSinceWord)) {
    const std::string_view number = shards.substr(kShardsWord.size());
    const char* end = number.data() + number.size();
    const auto parsed = std::from_chars(number.data(), end, count);
    const bool isValid = parsed.ec == std::errc{} && parsed.ptr == end &&
                         count > 1 && count <= kMaxQuotaShards;
    if (isValid) {
      return { count,
               std::string{ since.substr(kSinceWord.size()) },
               std::string{ rest } };
    }
  }
  return { .m_holder = std::string{ aValue } };
}

void
ShardCondition::OnRead(TimePoint aNow, const StoreReply& aReply)
{
  using Status = StoreReply::Status;
  const ShardStatement statement = aReply.m_status == Status::Ok
                                     ? ParseShardStatement(aReply.m_value)
                                     : ShardStatement{};
  if (statement.m_shards != m_shards || m_shards == 1) {
    m_revision.reset();
    return;
  }
  const bool isContinued = m_revision && statement.m_since == m_since;
  if (!isContinued) {
    m_seenAt = aNow;
    ++m_sequence;
  }
  m_since = statement.m_since;
  m_revision = aReply.m_revision;
}

bool
ShardCondition::IsMet(TimePoint aNow) const noexcept
{
  return m_revision && aNow - m_seenAt >= CoordinatorRole::kLeaseDuration;
}

}
