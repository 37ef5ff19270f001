#include "greengagehub/platform/http_store.hpp"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace greengagehub {

namespace {

using Kind = StoreRequest::Kind;
using Status = StoreReply::Status;

constexpr std::size_t kMaxValueBytes = 1024UL * 1024;
constexpr std::size_t kMaxListBytes = 8 * kMaxValueBytes;
constexpr const char* kRevisionHeader = "X-Revision";

std::string
PathFor(const StoreRequest& aRequest)
{
  switch (aRequest.m_kind) {
    case Kind::Get:
    case Kind::Delete:
      return fmt::format("/v1/kv/{}", aRequest.m_key);
    case Kind::Put:
      return aRequest.m_lease == 0 ? fmt::format("/v1/kv/{}", aRequest.m_key)
                                   : fmt::format("/v1/kv/{}?lease={}",
                                                 aRequest.m_key,
                                                 aRequest.m_lease);
    case Kind::Watch:
      return fmt::format("/v1/kv/{}?after={}&wait_ms={}",
                         aRequest.m_key,
                         aRequest.m_expected,
                         aRequest.m_wait.count());
    case Kind::List:
      return fmt::format("/v1/list?prefix={}", aRequest.m_key);
    case Kind::LeaseGrant:
      return fmt::format("/v1/leases?ttl_ms={}", aRequest.m_wait.count());
    case Kind::LeaseKeep:
      return fmt::format("/v1/leases/{}", aRequest.m_lease);
  }
  return "/";
}

const char*
MethodFor(Kind aKind)
{
  switch (aKind) {
    case Kind::Put:
    case Kind::LeaseKeep:
      return "PUT";
    case Kind::Delete:
      return "DELETE";
    case Kind::LeaseGrant:
      return "POST";
    default:
      return "GET";
  }
}

std::uint64_t
NumberFrom(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

Status
StatusFor(std::uint16_t aHttp)
{
  switch (aHttp) {
    case 200:
      return Status::Ok;
    case 304:
      return Status::NotModified;
    case 404:
      return Status::NotFound;
    case 412:
      return Status::Conflict;
    case 429:
    case 503:
      return Status::Unavailable;
    default:
      return Status::Unknown;
  }
}

std::vector<StoreItem>
ItemsFrom(const std::string& aBody)
{
  std::vector<StoreItem> items;
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_array()) {
    return items;
  }
  for (const auto& each : json) {
    if (each.is_object() && each.contains("key") && each.contains("value") &&
        each["key"].is_string() && each["value"].is_string()) {
      items.push_back(
        { each["key"].get<std::string>(), each["value"].get<std::string>() });
    }
  }
  return items;
}

StoreReply
ReplyFrom(Kind aKind, HttpClientResult aResult)
{
  StoreReply reply;
  if (aResult.m_kind != HttpClientResult::Kind::Answered) {
    reply.m_status = aResult.m_kind == HttpClientResult::Kind::NotSent
                       ? Status::Unavailable
                       : Status::Unknown;
    return reply;
  }
  HttpResponse& response = aResult.m_response;
  reply.m_status = StatusFor(response.m_status);
  reply.m_revision =
    NumberFrom(HeaderValue(response.m_headers, kRevisionHeader));
  if (aKind == Kind::List) {
    reply.m_items = ItemsFrom(response.m_body);
  } else if (aKind == Kind::LeaseGrant) {
    reply.m_lease = NumberFrom(response.m_body);
  } else {
    reply.m_value = std::move(response.m_body);
  }
  return reply;
}

}

HttpStore::HttpStore(asio::io_context& aLoop,
                     std::string aUrl,
                     std::chrono::milliseconds aTimeout)
  : m_client(aLoop, 4)
  , m_url(std::move(aUrl))
  , m_timeout(aTimeout)
{
}

void
HttpStore::Carry(StoreRequest aRequest, StoreDone aDone)
{
  HttpClientRequest request;
  request.m_method = MethodFor(aRequest.m_kind);
  request.m_url = m_url + PathFor(aRequest);
  request.m_timeout = m_timeout;
  request.m_maxAnswerBytes =
    aRequest.m_kind == Kind::List ? kMaxListBytes : kMaxValueBytes;
  if (aRequest.m_kind == Kind::Watch) {
    request.m_timeout += aRequest.m_wait;
    ++m_counts.m_watches;
  } else if (aRequest.m_kind == Kind::Get || aRequest.m_kind == Kind::List) {
    ++m_counts.m_reads;
  } else {
    ++m_counts.m_writes;
  }
  if (aRequest.m_kind == Kind::Put) {
    request.m_headers.push_back(
      HttpHeader{ "If-Match", std::to_string(aRequest.m_expected) });
    request.m_body = std::move(aRequest.m_value);
  }
  m_client.Send(std::move(request),
                [this, kind = aRequest.m_kind, done = std::move(aDone)](
                  HttpClientResult aResult) {
                  m_counts.m_bytesIn += aResult.m_response.m_body.size();
                  StoreReply reply = ReplyFrom(kind, std::move(aResult));
                  const bool failed = reply.m_status == Status::Unavailable ||
                                      reply.m_status == Status::Unknown;
                  m_counts.m_failures += failed ? 1 : 0;
                  done(std::move(reply));
                });
}

}
