#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace greengagehub {

/// \brief Checks the line ends of a response's head and of its chunks.
///
/// http_parser, as it is built without its strict mode, takes any byte for the
/// LF behind a CR and any two for the line end behind a chunk. Both it and
/// libcurl take a CR or LF in front of a field name for the end of the head.
///
/// Lines may end with LF alone, but the empty line that ends a head only if the
/// line before it does.
class LineEndCheck
{
public:
  /// \param aBytes next bytes of the response that are not of the body.
  [[nodiscard]] bool Accept(std::string_view aBytes) noexcept
  {
    return std::all_of(aBytes.begin(), aBytes.end(), [this](char aByte) {
      return AcceptByte(aByte);
    });
  }

  /// \param aIsChunked whether a line end is due behind these bytes of a body.
  void OnBody(bool aIsChunked) noexcept
  {
    m_state = aIsChunked ? State::ChunkEnd : State::Finished;
  }

private:
  enum class State : std::uint8_t
  {
    InLine,
    BehindCr,
    BehindCrLf,
    ChunkEnd,
    Finished,
  };

  [[nodiscard]] bool AcceptByte(char aByte) noexcept
  {
    const bool isCr = aByte == '\r';
    const bool isLf = aByte == '\n';
    switch (m_state) {
      case State::InLine:
        m_state = isCr ? State::BehindCr : State::InLine;
        return true;
      case State::BehindCr:
        m_state = State::BehindCrLf;
        return isLf;
      case State::BehindCrLf:
        m_state = isCr ? State::BehindCr : State::InLine;
        return !isLf;
      case State::ChunkEnd:
        m_state = State::BehindCr;
        return isCr;
      case State::Finished:
        return true;
    }
    return true;
  }

  State m_state{ State::InLine };
};

}
