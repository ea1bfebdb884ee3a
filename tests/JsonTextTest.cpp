#include "base/JsonText.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

TEST_CASE("JSON text that nests too deeply is not parsed", "[json]")
{
  struct row
  {
    std::string mText;
    bool mParsed;
  };
  const auto nested = [](size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  const auto [text, parsed] =
    GENERATE_COPY(row{ nested(kMaxJsonDepth), true },
                  row{ nested(kMaxJsonDepth + 1), false },
                  row{ nested(1'000'000), false },
                  row{ std::string(1'000'000, '['), false },
                  row{ R"({"a":")" + std::string(100, '[') + R"("})", true },
                  row{ R"({"\"[":")" + std::string(100, '{') + R"(\\"})", true },
                  row{ R"({"\\":)" + nested(kMaxJsonDepth) + "}", false },
                  row{ "[" + std::string(100, ']'), false });
  CHECK(ParseJson(text).is_discarded() != parsed);
}
