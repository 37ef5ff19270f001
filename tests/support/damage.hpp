#pragma once

#include "greengagehub/core/random.hpp"

#include <string>

namespace greengagehub::test {

/// \returns The text with a few bytes inserted, erased, duplicated or replaced
/// by tokens that parsers often mishandle.
inline std::string
Damaged(std::string aText, Random& aRandom)
{
  static const char* const kTokens[]{
    "null", "-1", "1e999",   "true", "{",
    "]",    "\"", "\\u0000", "\xff", "999999999999999999999999"
  };
  for (std::uint64_t edits = 1 + Below(aRandom, 4); edits > 0; --edits) {
    const std::size_t position = Below(aRandom, aText.size() + 1);
    const std::size_t length = Below(aRandom, 8);
    switch (Below(aRandom, 4)) {
      case 0:
        aText.insert(position, 1, static_cast<char>(aRandom()));
        break;
      case 1:
        aText.erase(position, length);
        break;
      case 2:
        aText.replace(
          position, length, kTokens[Below(aRandom, std::size(kTokens))]);
        break;
      default:
        aText.insert(position, aText.substr(position / 2, length));
        break;
    }
  }
  return aText;
}

}
