#pragma once

#include "greengagehub/core/random.hpp"

#include <string>

namespace greengagehub::test {

/// \returns The text with a few bytes changed, doubled, taken out, or replaced
/// by what parsers stumble over. The same for the same state of the random
/// source.
inline std::string
Damaged(std::string aText, Random& aRandom)
{
  static const char* const kOdd[]{
    "null", "-1", "1e999",   "true", "{",
    "]",    "\"", "\\u0000", "\xff", "999999999999999999999999"
  };
  for (std::uint64_t hits = 1 + Below(aRandom, 4); hits > 0; --hits) {
    const std::size_t at = Below(aRandom, aText.size() + 1);
    const std::size_t length = Below(aRandom, 8);
    switch (Below(aRandom, 4)) {
      case 0:
        aText.insert(at, 1, static_cast<char>(aRandom()));
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.replace(at, length, kOdd[Below(aRandom, std::size(kOdd))]);
        break;
      default:
        aText.insert(at, aText.substr(at / 2, length));
        break;
    }
  }
  return aText;
}

}
