#include "greengagehub/core/store_message.hpp"

#include <utility>

namespace greengagehub {

StoreRequest
MakeGet(std::string aKey)
{
  return { .m_kind = StoreRequest::Kind::Get, .m_key = std::move(aKey) };
}

StoreRequest
MakeStaleGet(std::string aKey)
{
  StoreRequest request = MakeGet(std::move(aKey));
  request.m_allowStale = true;
  return request;
}

StoreRequest
MakePut(std::string aKey, std::string aValue, Revision aExpected)
{
  return { .m_kind = StoreRequest::Kind::Put,
           .m_key = std::move(aKey),
           .m_value = std::move(aValue),
           .m_expected = aExpected };
}

StoreRequest
MakeDelete(std::string aKey)
{
  return { .m_kind = StoreRequest::Kind::Delete, .m_key = std::move(aKey) };
}

StoreRequest
MakeWatch(std::string aKey, Revision aAfter, std::chrono::milliseconds aWait)
{
  return { .m_kind = StoreRequest::Kind::Watch,
           .m_key = std::move(aKey),
           .m_expected = aAfter,
           .m_wait = aWait };
}

StoreRequest
MakePrefixWatch(std::string aKey,
                std::string aPrefix,
                Revision aAfter,
                std::chrono::milliseconds aWait)
{
  StoreRequest request = MakeWatch(std::move(aKey), aAfter, aWait);
  request.m_watchPrefix = std::move(aPrefix);
  return request;
}

StoreRequest
MakeCheck(std::string aKey, Revision aExpected)
{
  return { .m_kind = StoreRequest::Kind::Check,
           .m_key = std::move(aKey),
           .m_expected = aExpected };
}

StoreRequest
MakeList(std::string aPrefix)
{
  return { .m_kind = StoreRequest::Kind::List, .m_key = std::move(aPrefix) };
}

StoreRequest
MakeStaleList(std::string aPrefix)
{
  StoreRequest request = MakeList(std::move(aPrefix));
  request.m_allowStale = true;
  return request;
}

}
