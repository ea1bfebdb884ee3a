#include "scheduler/TermSummary.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

TEST_CASE("a term summary is decoded as it was encoded", "[scheduler]")
{
  const auto summary =
    GENERATE(term_summary(), term_summary{ 7, { { "job", "{\"a\":[1]}" } } });
  const auto decoded = DecodeSummary(EncodeSummary(summary));
  REQUIRE(decoded);
  CHECK(*decoded == summary);
}

TEST_CASE("a malformed term summary is rejected", "[scheduler]")
{
  const auto* text = GENERATE("",
                              "[]",
                              R"({"fence":7})",
                              R"({"fence":"7","records":{}})",
                              R"({"fence":7,"records":{"job":1}})");
  CAPTURE(text);
  const auto decoded = DecodeSummary(text);
  REQUIRE_FALSE(decoded);
  CHECK(decoded.error().mCode == error_code::kInvalid);
}
