#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace greengagehub::standin {

enum class Ending : std::uint8_t
{
  /// The connection stays open.
  None,
  Reset,
  /// A reset some time after the answer.
  LateReset,
  /// A FIN, and a reset some time after it.
  EndThenReset,
  /// A FIN; the rest of the request is read.
  End,
};

struct Form
{
  /// {id} stands for the request's id.
  std::string m_prefix{};
  /// Follows the prefix without end; empty: nothing.
  std::string m_unit{};
  Ending m_ending{ Ending::None };
  /// Whether the answer is sent before the body of the request is read.
  bool m_isEarly{ false };
};

inline constexpr const char* kHead = "HTTP/1.1 200 OK\r\n"
                                     "X-Greengagehub-Request-Id: {id}\r\n"
                                     "X-Greengagehub-Response-Seal: seal\r\n";

inline std::map<std::string, Form>
EndlessForms()
{
  const std::string head{ kHead };
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(1000, 'b');
  return {
    { "status-line", { "HTTP/1.1 200 ", "a" } },
    { "header-lines", { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" } },
    { "one-header", { "HTTP/1.1 200 OK\r\nX-A: ", "b" } },
    { "interim", { "", "HTTP/1.1 100 Continue\r\n\r\n" } },
    { "late-answers",
      { "",
        "HTTP/1.1 200 OK\r\nX-Greengagehub-Request-Id: another\r\n"
        "Content-Length: 2\r\n\r\nok" } },
    { "blank-lines", { "", "\r\n" } },
    { "no-http", { "", "x" } },
    { "huge-length", { head + "Content-Length: 99999999999\r\n\r\n", "b" } },
    { "chunks", { chunked, "3e8\r\n" + block + "\r\n" } },
    { "chunk-extension", { chunked + "5;", "a" } },
    { "chunk-extensions", { chunked, "1;" + block + "\r\nb\r\n" } },
    { "trailers", { chunked + "0\r\n", "X-A: b\r\n" } },
    { "unframed", { head + "\r\n", "b" } },
    { "after-answer", { head + "Content-Length: 2\r\n\r\nok", "b" } },
  };
}

/// Answers that are sent while the request is being received.
inline std::map<std::string, Form>
EarlyForms()
{
  const std::string head{ kHead };
  const std::string unframed = head + "\r\nanswer";
  const std::string framed = head + "Content-Length: 6\r\n\r\nanswer";
  const std::string cut = head + "Content-Length: 60\r\n\r\nanswer";
  const std::string cutChunks =
    head + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n";
  return {
    { "unframed-reset", { unframed, "", Ending::Reset, true } },
    { "unframed-late-reset", { unframed, "", Ending::LateReset, true } },
    { "unframed-end-reset", { unframed, "", Ending::EndThenReset, true } },
    { "length-reset", { cut, "", Ending::Reset, true } },
    { "chunks-reset", { cutChunks, "", Ending::Reset, true } },
    { "unframed-early", { unframed, "", Ending::End, true } },
    { "length-early", { framed, "", Ending::None, true } },
  };
}

/// Answers with a broken status line, the first one with claims that a broken
/// answer does not prove.
inline std::map<std::string, Form>
StatusForms()
{
  const std::string fields = "X-Greengagehub-Request-Id: {id}\r\n"
                             "X-Greengagehub-Response-Seal: seal\r\n"
                             "Content-Length: 2\r\n\r\nok";
  return {
    { "status-000",
      { "HTTP/1.1 000 OK\r\nX-Greengagehub-Not-Executed: 1\r\n"
        "Server-Leaving: 1\r\nServer-Limit: 0.1\r\n" +
        fields } },
    { "status-20", { "HTTP/1.1 20 OK\r\n" + fields } },
    { "status-101", { "HTTP/1.1 101 OK\r\n" + fields } },
    { "status-0200", { "HTTP/1.1 0200 OK\r\n" + fields } },
    { "status-600", { "HTTP/1.1 600 OK\r\n" + fields } },
    { "version-2", { "HTTP/2.0 200 OK\r\n" + fields } },
  };
}

/// Answers with a field name that is not a token, or with a broken line end.
inline std::map<std::string, Form>
NameForms()
{
  const std::string head{ kHead };
  const std::string whole = "Content-Length: 5\r\n\r\nwhole";
  return {
    { "name-with-blank", { head + "X Foo: a\r\n" + whole } },
    { "name-before-blank", { head + "X-Foo : a\r\n" + whole } },
    { "name-behind-blank",
      { "HTTP/1.1 200 OK\r\n X-Foo: a\r\n" + head.substr(17) + whole } },
    { "length-before-blank", { head + "Content-Length : 2\r\n\r\nwhole" } },
    { "coding-before-blank",
      { head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" } },
    { "name-behind-cr", { head + "\rX-Foo: a\r\n" + whole } },
    { "name-behind-lf", { head + "\nX-Foo: a\r\n" + whole } },
    { "chunk-without-end",
      { head + "Transfer-Encoding: chunked\r\n\r\n2\r\nokXY0\r\n\r\n" } },
    { "trailer-with-blank",
      { head + "Transfer-Encoding: chunked\r\n\r\n"
               "2\r\nok\r\n0\r\nX Foo: a\r\n\r\n" } },
  };
}

inline std::map<std::string, Form>
MakeForms()
{
  std::map<std::string, Form> forms = EndlessForms();
  forms.merge(EarlyForms());
  forms.merge(StatusForms());
  forms.merge(NameForms());
  return forms;
}

}
