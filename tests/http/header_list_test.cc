#include "http/header_list.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

TEST_CASE("headers of one connection do not go on") {
  const HeaderList headers = {{"Host", "a"},
                              {"Connection", "close, X-Hop ,te"},
                              {"x-hop", "1"},
                              {"Keep-Alive", "timeout=5"},
                              {"Transfer-Encoding", "chunked"},
                              {"X-Stay", "2"}};
  const HeaderList expected = {{"Host", "a"}, {"X-Stay", "2"}};
  CHECK(EndToEndHeaders(headers) == expected);
}

TEST_CASE("a number is read only when the whole value is one") {
  const HeaderList headers = {
      {"A", "12"}, {"B", "12x"}, {"C", ""}, {"D", "-1"}, {"E", "1e3"}};
  CHECK(ParseUnsignedHeader(headers, "a") == 12);
  for (const char* name : {"B", "C", "D", "E", "F"}) {
    CHECK_FALSE(ParseUnsignedHeader(headers, name));
  }
}

TEST_CASE("only the Bearer scheme carries a key") {
  CHECK(BearerToken({{"Authorization", "Bearer abc"}}) == "abc");
  CHECK(BearerToken({{"authorization", "bearer abc"}}) == "abc");
  CHECK(BearerToken({{"Authorization", "Basic abc"}}).empty());
  CHECK(BearerToken({{"Authorization", "Bearer "}}).empty());
  CHECK(BearerToken({}).empty());
}

}  // namespace
}  // namespace parsleyquay
