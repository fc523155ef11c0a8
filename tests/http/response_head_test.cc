#include "http/response_head.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace parsleyquay {
namespace {

TEST_CASE("a proper head is parsed in full") {
  const ParsedResponseHead parsed = ParseResponseHead(
      "HTTP/1.1 404 Not Found\r\nA: 1\r\nB:\t two words \r\nC:\r\n"
      "Content-Length: 12\r\n\r\n");
  const ResponseHead expected{.status = 404,
                              .headers = {{"A", "1"},
                                          {"B", "two words"},
                                          {"C", ""},
                                          {"Content-Length", "12"}},
                              .framing = {BodyFraming::kLength, 12}};
  CHECK(parsed.head == expected);
  CHECK(parsed.error.empty());
}

TEST_CASE("a proper head may have little") {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 \r\n\r\n",
        "HTTP/1.1 200\r\n\r\n", "HTTP/1.0 200 \xc3\xa9t\xc3\xa9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n"}) {
    INFO(bytes);
    const ParsedResponseHead parsed = ParseResponseHead(bytes);
    REQUIRE(parsed.head);
    CHECK(parsed.head->status == 200);
    CHECK(parsed.head->framing.body == BodyFraming::kNotStated);
  }
  const auto chunked = ParseResponseHead(
      "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n");
  REQUIRE(chunked.head);
  CHECK(chunked.head->framing.body == BodyFraming::kChunked);
}

// Guards against a status that the server did not send, taken from a head of
// which a part belongs to another response.
TEST_CASE("a head that runs into another one is rejected wherever it is cut") {
  const std::string earlier =
      "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 07:30:26 GMT\r\n"
      "Content-Length: 4\r\nX-More: a\r\n\r\n";
  const std::string own =
      "HTTP/1.1 500 Err\r\nContent-Length: 4\r\nDate: x\r\n\r\n";
  for (std::size_t size = 1; size <= earlier.size(); ++size) {
    INFO(size);
    CHECK_FALSE(ParseResponseHead(earlier.substr(0, size) + own).head);
  }
  CHECK(ParseResponseHead(earlier).head);
  CHECK(ParseResponseHead(own).head);
}

TEST_CASE("a head without its end is rejected") {
  const std::string whole = "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n";
  for (std::size_t size = 0; size < whole.size(); ++size) {
    INFO(size);
    CHECK_FALSE(ParseResponseHead(whole.substr(0, size)).head);
  }
  CHECK_FALSE(ParseResponseHead(whole + "A").head);
}

TEST_CASE("lengths that leave the end of the body open to doubt are rejected") {
  const std::vector<std::string> framings = {
      "Content-Length: 4\r\nContent-Length: 5\r\n",
      "Content-Length: 4\r\ncontent-length: 4\r\n",
      "Content-Length: 4, 4\r\n",
      "Content-Length: +4\r\n",
      "Content-Length: 0x4\r\n",
      "Content-Length: -4\r\n",
      "Content-Length:\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: identity\r\n"};
  for (const std::string& framing : framings) {
    INFO(framing);
    CHECK_FALSE(
        ParseResponseHead("HTTP/1.1 200 OK\r\n" + framing + "\r\n").head);
  }
  CHECK_FALSE(
      ParseResponseHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
          .head);
}

}  // namespace
}  // namespace parsleyquay
