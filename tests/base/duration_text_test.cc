#include "base/duration_text.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

TEST_CASE("a duration is parsed with its unit") {
  CHECK(ParseDuration("1500ms") == milliseconds(1'500));
  CHECK(ParseDuration("2.5s") == milliseconds(2'500));
  CHECK(ParseDuration("0ms") == Duration(0));
}

TEST_CASE("text that is not a duration is rejected") {
  for (const char* text :
       {"", "5", "ms", "5 s", "-1s", "5m", "1e300s", "nans", "5ss", "infs"}) {
    CHECK_FALSE(ParseDuration(text));
  }
}

}  // namespace
}  // namespace parsleyquay
