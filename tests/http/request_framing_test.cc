#include "http/request_framing.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace parsleyquay {
namespace {

TEST_CASE("a request has one framing: none, a length or chunks") {
  CHECK(ParseRequestFraming("HTTP/1.1", {{"Host", "a"}}) ==
        RequestFraming{false, 0});
  CHECK(ParseRequestFraming("HTTP/1.1", {{"content-length", "70000"}}) ==
        RequestFraming{true, 70'000});
  CHECK(ParseRequestFraming("HTTP/1.0", {{"Content-Length", "0"}}) ==
        RequestFraming{true, 0});
  CHECK(ParseRequestFraming("HTTP/1.1", {{"Transfer-Encoding", "Chunked"}}) ==
        RequestFraming{true, std::nullopt});
}

TEST_CASE("a request whose end receivers may find in two places is malformed") {
  const std::vector<HeaderList> malformed = {
      {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}},
      {{"Transfer-Encoding", "chunked"}, {"content-length", "5"}},
      {{"Content-Length", "5"}, {"Content-Length", "5"}},
      {{"Content-Length", "5"}, {"Content-Length", "6"}},
      {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
      {{"Content-Length", "5, 5"}},
      {{"Content-Length", "+5"}},
      {{"Content-Length", "-5"}},
      {{"Content-Length", "5 "}},
      {{"Content-Length", "0x5"}},
      {{"Content-Length", ""}},
      {{"Content-Length", "18446744073709551616"}},
      {{"Transfer-Encoding", "gzip"}},
      {{"Transfer-Encoding", "chunked, gzip"}},
      {{"Transfer-Encoding", "gzip, chunked"}},
      {{"Transfer-Encoding", "xchunked"}},
      {{"Transfer-Encoding", ""}},
      {{"Transfer-Encoding ", "chunked"}, {"Content-Length", "5"}},
      {{"Content-Length\t", "5"}},
      {{"", "5"}}};
  for (const HeaderList& headers : malformed) {
    INFO(headers.front().name << ": " << headers.front().value);
    CHECK_FALSE(ParseRequestFraming("HTTP/1.1", headers));
  }
  CHECK_FALSE(
      ParseRequestFraming("HTTP/1.0", {{"Transfer-Encoding", "chunked"}}));
}

}  // namespace
}  // namespace parsleyquay
