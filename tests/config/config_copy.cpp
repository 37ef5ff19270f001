#include "greengagehub/config/config_copy.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {
constexpr std::size_t kMaxBytes = 1024UL * 1024;
}

TEST_CASE("a copy round-trips the document and the revision of the original")
{
  const std::string document(100'000, 'x');
  const std::string value = FormatConfigCopy(42, document);
  CHECK(value.size() < 1000);
  const auto copy = ParseConfigCopy(value, kMaxBytes);
  REQUIRE(copy);
  CHECK(copy.value().m_originalRevision == 42);
  CHECK(copy.value().m_document == document);
}

TEST_CASE("a damaged copy is rejected")
{
  // A daemon must not start from a truncated or damaged document.
  const std::string value = FormatConfigCopy(42, "a document");
  CHECK_FALSE(ParseConfigCopy("", kMaxBytes));
  CHECK_FALSE(ParseConfigCopy("42", kMaxBytes));
  CHECK_FALSE(ParseConfigCopy("x" + value, kMaxBytes));
  CHECK_FALSE(ParseConfigCopy(value.substr(0, value.size() - 4), kMaxBytes));
  CHECK_FALSE(ParseConfigCopy("42\nnot packed", kMaxBytes));
  CHECK_FALSE(
    ParseConfigCopy(FormatConfigCopy(1, std::string(2000, 'x')), 1000));
}
