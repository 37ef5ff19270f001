#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace greengagehub {

/// \brief Tells how long a caller has been at a call before it reached this
/// daemon, from the time that it still has.
///
/// Answers the load pattern of callers that come back after a refusal: their
/// call is as late as their first try was, and is worth less than one that has
/// just begun. Callers differ in patience, so that a short deadline alone says
/// nothing: taken for age, it put one fresh call in three behind the others.
/// A caller repeats on a new connection. What comes on a connection that has
/// carried a request before is therefore a first try, and shows what times
/// first tries bring; only what comes on a new one with less than any of those
/// has been tried before.
class CallAge
{
public:
  /// \param aAsked time that the caller still waits.
  /// \param aIsFirstOnConnection no request came before it there.
  /// \returns Time since the caller's first try; zero where nothing shows that
  /// there was one before.
  [[nodiscard]] std::chrono::milliseconds Of(std::chrono::milliseconds aAsked,
                                             bool aIsFirstOnConnection) const;

  /// \brief Takes a call's time in.
  void Note(std::chrono::milliseconds aAsked, bool aIsFirstOnConnection);

private:
  /// First tries remembered: with evenly spread patience the least of 32 is
  /// within a thirtieth of the spread; an odd one is forgotten after as many.
  static constexpr std::size_t kRemembered = 32;
  /// Fewer tell too little of the spread.
  static constexpr std::size_t kLeastSeen = 8;

  std::array<std::chrono::milliseconds, kRemembered> m_firstTries{};
  std::size_t m_seen{ 0 };
};

}
