#include "message_parser.hpp"

#include <algorithm>

namespace greengagehub {

/// Entry points for the C library; its `data` is the MessageParser.
struct MessageParser::Callbacks
{
  static MessageParser& Self(http_parser* aParser)
  {
    return *static_cast<MessageParser*>(aParser->data);
  }

  static int OnTarget(http_parser* aParser, const char* aData, size_t aSize)
  {
    Self(aParser).m_target.append(aData, aSize);
    return 0;
  }

  static int OnName(http_parser* aParser, const char* aData, size_t aSize)
  {
    MessageParser& self = Self(aParser);
    if (self.m_inValue || self.m_headers.empty()) {
      self.m_headers.emplace_back();
      self.m_inValue = false;
    }
    self.m_headers.back().m_name.append(aData, aSize);
    return 0;
  }

  static int OnValue(http_parser* aParser, const char* aData, size_t aSize)
  {
    MessageParser& self = Self(aParser);
    self.m_inValue = true;
    self.m_headers.back().m_value.append(aData, aSize);
    return 0;
  }

  static int OnHead(http_parser* aParser)
  {
    MessageParser& self = Self(aParser);
    self.m_hasHead = true;
    self.m_inValue = true;
    self.m_keepsAlive = http_should_keep_alive(aParser) != 0;
    if (self.m_side == Side::Requests && self.HasTwoHosts()) {
      return -1;
    }
    const bool hasLength =
      aParser->content_length != static_cast<std::uint64_t>(-1);
    if (hasLength && aParser->content_length > self.m_limits.m_bodyBytes) {
      self.m_bodyTooLarge = true;
      return -1;
    }
    constexpr int kNoBody = 1;
    return self.m_isHead ? kNoBody : 0;
  }

  static int OnBody(http_parser* aParser, const char* aData, size_t aSize)
  {
    MessageParser& self = Self(aParser);
    if (self.m_body.size() + aSize > self.m_limits.m_bodyBytes) {
      self.m_bodyTooLarge = true;
      return -1;
    }
    self.m_body.append(aData, aSize);
    return 0;
  }

  static int OnComplete(http_parser* aParser)
  {
    Self(aParser).m_complete = true;
    http_parser_pause(aParser, 1);
    return 0;
  }

  static const http_parser_settings& Table()
  {
    static const http_parser_settings kTable = [] {
      http_parser_settings table;
      http_parser_settings_init(&table);
      table.on_url = OnTarget;
      table.on_header_field = OnName;
      table.on_header_value = OnValue;
      table.on_headers_complete = OnHead;
      table.on_body = OnBody;
      table.on_message_complete = OnComplete;
      return table;
    }();
    return kTable;
  }
};

bool
MessageParser::HasTwoHosts() const
{
  const auto isHost = [](const HttpHeader& aHeader) {
    return SameHeader(aHeader.m_name, "host");
  };
  return std::count_if(m_headers.begin(), m_headers.end(), isHost) > 1;
}

MessageParser::MessageParser(Side aSide) noexcept
  : m_side(aSide)
{
  Reset();
}

void
MessageParser::Reset(bool aHead) noexcept
{
  http_parser_init(&m_parser,
                   m_side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_target.clear();
  m_headers.clear();
  m_body.clear();
  m_headBytes = 0;
  m_isHead = aHead;
  m_begun = false;
  m_hasHead = false;
  m_complete = false;
  m_keepsAlive = false;
  m_bodyTooLarge = false;
  m_inValue = false;
}

MessageParser::Status
MessageParser::Feed(std::string_view aBytes, std::size_t& aConsumed)
{
  m_begun = m_begun || !aBytes.empty();
  const bool hadHead = m_hasHead;
  aConsumed = http_parser_execute(
    &m_parser, &Callbacks::Table(), aBytes.data(), aBytes.size());
  if (m_bodyTooLarge) {
    return Status::BodyTooLarge;
  }
  if (!hadHead) {
    m_headBytes += m_hasHead ? 0 : aConsumed;
    if (m_headBytes > m_limits.m_headBytes) {
      return Status::HeadTooLarge;
    }
  }
  if (m_complete) {
    return Status::Complete;
  }
  const auto fault = HTTP_PARSER_ERRNO(&m_parser);
  if (fault == HPE_HEADER_OVERFLOW) {
    return Status::HeadTooLarge;
  }
  return fault == HPE_OK ? Status::NeedsMore : Status::Malformed;
}

MessageParser::Status
MessageParser::Finish()
{
  if (!m_begun) {
    return Status::NeedsMore;
  }
  http_parser_execute(&m_parser, &Callbacks::Table(), nullptr, 0);
  return m_complete ? Status::Complete : Status::Malformed;
}

std::string
MessageParser::Method() const
{
  return http_method_str(static_cast<http_method>(m_parser.method));
}

}
