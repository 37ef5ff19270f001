#include "message_parser.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Growth of a body of unknown length.
constexpr std::size_t kMinGrowthBytes = 16UL * 1024;
constexpr std::size_t kMaxGrowthBytes = 1024UL * 1024;

}

/// Callbacks of http_parser, whose `data` is the MessageParser.
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
    // http_parser is built without its strict mode and accepts blanks.
    if (!HasOnlyTokenChars({ aData, aSize })) {
      self.m_fault = ResponseFault::FieldName;
      return -1;
    }
    if (self.m_hasHead) {
      // A trailer; it is not forwarded.
      return 0;
    }
    if (self.m_isInValue || self.m_headers.empty()) {
      self.m_headers.emplace_back();
      self.m_isInValue = false;
    }
    self.m_headers.back().m_name.append(aData, aSize);
    return 0;
  }

  static int OnValue(http_parser* aParser, const char* aData, size_t aSize)
  {
    MessageParser& self = Self(aParser);
    if (!self.m_hasHead) {
      self.m_isInValue = true;
      self.m_headers.back().m_value.append(aData, aSize);
    }
    return 0;
  }

  static int OnHead(http_parser* aParser)
  {
    MessageParser& self = Self(aParser);
    self.m_hasHead = true;
    self.m_keepsAlive = http_should_keep_alive(aParser) != 0;
    if (self.m_side == Side::Requests && self.HasDuplicateHost()) {
      return -1;
    }
    const bool hasLength =
      aParser->content_length != static_cast<std::uint64_t>(-1);
    self.m_isLengthAnnounced = hasLength;
    if (hasLength && aParser->content_length > self.MaxBodyBytes(true)) {
      self.m_isBodyTooLarge = true;
      return -1;
    }
    if (self.m_isHeadResponse) {
      constexpr int kNoBody = 1;
      return kNoBody;
    }
    if (hasLength) {
      self.ReserveBody(aParser->content_length);
    }
    return 0;
  }

  static int OnBody(http_parser* aParser, const char* aData, size_t aSize)
  {
    MessageParser& self = Self(aParser);
    self.CheckLineEnds(aData);
    self.m_unchecked = aData + aSize;
    self.m_lineEnds.OnBody((aParser->flags & F_CHUNKED) != 0);
    const std::size_t limit = self.MaxBodyBytes(self.m_isLengthAnnounced);
    if (self.m_body.Size() + aSize > limit) {
      self.m_isBodyTooLarge = true;
      return -1;
    }
    self.AppendToBody({ aData, aSize });
    return 0;
  }

  static int OnComplete(http_parser* aParser)
  {
    Self(aParser).m_isComplete = true;
    http_parser_pause(aParser, 1);
    return 0;
  }

  static const http_parser_settings& ParserSettings()
  {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = OnTarget;
      settings.on_header_field = OnName;
      settings.on_header_value = OnValue;
      settings.on_headers_complete = OnHead;
      settings.on_body = OnBody;
      settings.on_message_complete = OnComplete;
      return settings;
    }();
    return kSettings;
  }
};

bool
MessageParser::HasDuplicateHost() const
{
  const auto isHost = [](const HttpHeader& aHeader) {
    return SameHeader(aHeader.m_name, "host");
  };
  return std::count_if(m_headers.begin(), m_headers.end(), isHost) > 1;
}

ByteUse
MessageParser::UseOf(std::size_t aBytes) const noexcept
{
  const std::size_t bytes = m_body.Size() + aBytes;
  return m_side == Side::Responses ? ByteBudget::UseOfAnswer(bytes)
                                   : ByteBudget::UseOfRequest(bytes);
}

void
MessageParser::ReserveBody(std::uint64_t aLength)
{
  if (!m_budget) {
    return;
  }
  ByteReservation reserved = m_budget->Reserve(aLength, UseOf(aLength));
  if (reserved.Bytes() == aLength) {
    m_body.AddRoom(aLength, std::move(reserved));
  } else {
    AwaitRoom(aLength);
  }
}

void
MessageParser::CheckLineEnds(const char* aEnd) noexcept
{
  // The parser counts the last byte of a body as consumed only when it resumes.
  if (m_side != Side::Responses || aEnd <= m_unchecked) {
    return;
  }
  const auto size = static_cast<std::size_t>(aEnd - m_unchecked);
  const bool isValid = m_lineEnds.Accept({ m_unchecked, size });
  if (!isValid && m_fault == ResponseFault::None) {
    m_fault = ResponseFault::LineEnd;
  }
}

void
MessageParser::AppendToBody(std::string_view aBytes)
{
  if (aBytes.size() > m_body.Room()) {
    const std::size_t missing = aBytes.size() - m_body.Room();
    const std::size_t step =
      std::clamp(m_body.Size() / 2, kMinGrowthBytes, kMaxGrowthBytes);
    const std::size_t wanted = std::max(missing, step);
    if (!m_budget) {
      m_body.AddRoom(wanted, {});
    } else if (auto reserved = m_budget->Reserve(wanted, UseOf(wanted));
               reserved.Bytes() == wanted) {
      m_body.AddRoom(wanted, std::move(reserved));
    } else {
      // These bytes have been received already.
      m_body.AddRoom(missing, m_budget->Charge(missing));
      AwaitRoom(wanted);
    }
  }
  m_body.Append(aBytes);
}

void
MessageParser::AwaitRoom(std::size_t aBytes) noexcept
{
  m_missingRoom = aBytes;
  http_parser_pause(&m_parser, 1);
}

void
MessageParser::Provide(ByteReservation aReservation)
{
  m_body.AddRoom(std::exchange(m_missingRoom, 0), std::move(aReservation));
  http_parser_pause(&m_parser, 0);
}

MessageParser::MessageParser(Side aSide) noexcept
  : m_side(aSide)
{
  Reset();
}

void
MessageParser::Reset(bool aIsHeadRequest) noexcept
{
  http_parser_init(&m_parser,
                   m_side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_statusLine = {};
  m_lineEnds = {};
  m_target.clear();
  m_headers.clear();
  m_body.Clear();
  m_missingRoom = 0;
  m_headBytes = 0;
  m_messageBytes = 0;
  m_isHeadResponse = aIsHeadRequest;
  m_isLengthAnnounced = false;
  m_hasBegun = false;
  m_hasHead = false;
  m_isComplete = false;
  m_keepsAlive = false;
  m_isBodyTooLarge = false;
  m_fault = ResponseFault::None;
  m_isInValue = false;
}

MessageParser::Status
MessageParser::Feed(std::string_view aBytes, std::size_t& aConsumed)
{
  m_hasBegun = m_hasBegun || !aBytes.empty();
  if (m_side == Side::Responses && !m_statusLine.Accept(aBytes)) {
    aConsumed = 0;
    return Malformed(ResponseFault::StatusLine);
  }
  const bool hadHead = m_hasHead;
  m_unchecked = aBytes.data();
  aConsumed = http_parser_execute(
    &m_parser, &Callbacks::ParserSettings(), aBytes.data(), aBytes.size());
  m_messageBytes += aConsumed;
  CheckLineEnds(aBytes.data() + aConsumed);
  if (m_fault != ResponseFault::None) {
    return Status::Malformed;
  }
  if (m_isBodyTooLarge) {
    return Status::BodyTooLarge;
  }
  if (!hadHead) {
    m_headBytes += m_hasHead ? 0 : aConsumed;
    if (m_headBytes > m_limits.m_headBytes) {
      return Status::HeadTooLarge;
    }
  }
  if (m_missingRoom > 0) {
    return Status::NeedsRoom;
  }
  if (m_isComplete) {
    return Status::Complete;
  }
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (error == HPE_HEADER_OVERFLOW) {
    return Status::HeadTooLarge;
  }
  if (error != HPE_OK || (m_hasHead && HasTooMuchFraming())) {
    return Malformed(ResponseFault::Syntax);
  }
  return Status::NeedsMore;
}

MessageParser::Status
MessageParser::Malformed(ResponseFault aFault) noexcept
{
  m_fault = aFault;
  return Status::Malformed;
}

MessageParser::Status
MessageParser::Finish()
{
  if (!m_hasBegun) {
    return Status::NeedsMore;
  }
  http_parser_execute(&m_parser, &Callbacks::ParserSettings(), nullptr, 0);
  return m_isComplete ? Status::Complete : Status::Malformed;
}

std::string
MessageParser::Method() const
{
  return http_method_str(static_cast<http_method>(m_parser.method));
}

}
