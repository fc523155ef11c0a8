#include "http/header_list.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

TEST_CASE("hop-by-hop headers are not forwarded") {
  const HeaderList headers = {{"Host", "a"},
                              {"Connection", "close, X-Hop ,te"},
                              {"x-hop", "1"},
                              {"Keep-Alive", "timeout=5"},
                              {"Transfer-Encoding", "chunked"},
                              {"X-Stay", "2"}};
  const HeaderList expected = {{"Host", "a"}, {"X-Stay", "2"}};
  CHECK(EndToEndHeaders(headers) == expected);
}

TEST_CASE("a header is parsed as a number only if its whole value is one") {
  const HeaderList headers = {
      {"A", "12"}, {"B", "12x"}, {"C", ""}, {"D", "-1"}, {"E", "1e3"}};
  CHECK(ParseUnsignedHeader(headers, "a") == 12);
  for (const char* name : {"B", "C", "D", "E", "F"}) {
    CHECK_FALSE(ParseUnsignedHeader(headers, name));
  }
}

TEST_CASE("only the Bearer scheme carries a token") {
  CHECK(BearerToken({{"Authorization", "Bearer abc"}}) == "abc");
  CHECK(BearerToken({{"authorization", "bearer abc"}}) == "abc");
  CHECK(BearerToken({{"Authorization", "Basic abc"}}).empty());
  CHECK(BearerToken({{"Authorization", "Bearer "}}).empty());
  CHECK(BearerToken({}).empty());
}

TEST_CASE("a header name is a token") {
  CHECK(IsHeaderName("Content-Length"));
  for (const char* text :
       {"", "Content-Length ", "Content-Length\t", "a:b", "a(b", "\x80"}) {
    CHECK_FALSE(IsHeaderName(text));
  }
}

}  // namespace
}  // namespace parsleyquay
