#include "http/message_framing.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace parsleyquay {
namespace {

TEST_CASE("a message has one framing: none, a length or chunks") {
  CHECK(ParseMessageFraming("HTTP/1.1", {{"Host", "a"}}) ==
        MessageFraming{BodyFraming::kNotStated});
  CHECK(ParseMessageFraming("HTTP/1.1", {{"content-length", "70000"}}) ==
        MessageFraming{BodyFraming::kLength, 70'000});
  CHECK(ParseMessageFraming("HTTP/1.0", {{"Content-Length", "0"}}) ==
        MessageFraming{BodyFraming::kLength, 0});
  CHECK(ParseMessageFraming("HTTP/1.1", {{"Transfer-Encoding", "Chunked"}}) ==
        MessageFraming{BodyFraming::kChunked});
}

TEST_CASE("a message whose end receivers may find in two places is malformed") {
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
      {{"Transfer-Encoding", ""}}};
  for (const HeaderList& headers : malformed) {
    INFO(headers.front().name << ": " << headers.front().value);
    CHECK_FALSE(ParseMessageFraming("HTTP/1.1", headers));
  }
  CHECK_FALSE(
      ParseMessageFraming("HTTP/1.0", {{"Transfer-Encoding", "chunked"}}));
}

}  // namespace
}  // namespace parsleyquay
