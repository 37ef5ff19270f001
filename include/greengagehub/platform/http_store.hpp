#pragma once

#include "greengagehub/http/http_client.hpp"
#include "greengagehub/platform/store.hpp"

#include <asio/io_context.hpp>
#include <map>

namespace greengagehub {

/// \brief Counts of calls made to the store, by what became of them.
struct StoreCounts
{
  std::uint64_t m_reads{ 0 };
  std::uint64_t m_writes{ 0 };
  std::uint64_t m_watches{ 0 };
  std::uint64_t m_failures{ 0 };
  std::uint64_t m_bytesIn{ 0 };
};

/// \brief Adapter to a store spoken to by HTTP.
///
/// | call        | request                                              |
/// |-------------|------------------------------------------------------|
/// | Get         | GET /v1/kv/KEY                                       |
/// | Put         | PUT /v1/kv/KEY, If-Match: REVISION (0 creates)       |
/// | Delete      | DELETE /v1/kv/KEY                                    |
/// | Watch       | GET /v1/kv/KEY?after=REVISION&wait_ms=N              |
/// | List        | GET /v1/list?prefix=KEY                              |
/// | LeaseGrant  | POST /v1/leases?ttl_ms=N                             |
/// | LeaseKeep   | PUT /v1/leases/ID                                    |
///
/// Answers carry the key's revision in X-Revision; 412 is a conflict.
class HttpStore
{
public:
  HttpStore(asio::io_context& aLoop,
            std::string aUrl,
            std::chrono::milliseconds aTimeout);

  [[nodiscard]] const StoreCounts& Counts() const noexcept { return m_counts; }

  void Carry(StoreRequest aRequest, StoreDone aDone);

private:
  HttpClient m_client;
  std::string m_url;
  std::chrono::milliseconds m_timeout;
  StoreCounts m_counts;
};

static_assert(Store<HttpStore>);

}
