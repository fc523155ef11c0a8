#include "http/chunked_body.h"

#include <catch2/catch.hpp>
#include <string>

namespace parsleyquay {
namespace {

const std::string whole =
    "7\r\ntwelve \r\n05;a=b\r\nbytes\r\n0\r\nX-Trailer: 1\r\n\r\n";

TEST_CASE("a chunked body is decoded wherever it is split") {
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    INFO(size);
    ChunkedBody body;
    const DecodedChunks first = DecodeChunks(body, whole.substr(0, size));
    CHECK(body.is_complete() == (size == whole.size()));
    const DecodedChunks rest = DecodeChunks(body, whole.substr(size));
    CHECK(first.data + rest.data == "twelve bytes");
    CHECK(first.consumed + rest.consumed == whole.size());
    CHECK(body.is_complete());
  }
}

TEST_CASE("bytes after the end of a chunked body are not consumed") {
  ChunkedBody body;
  const DecodedChunks decoded = DecodeChunks(body, whole + "HTTP/1.1 200");
  CHECK(body.is_complete());
  CHECK(decoded.consumed == whole.size());
}

TEST_CASE("a malformed chunked body is recognized") {
  for (const char* bytes : {"\r\n", "x\r\n", "-1\r\n", "1\n", "1\rx",
                            "1\r\nab\r\n", "1\r\na\n", "11111111111111111\r\n",
                            "HTTP/1.1 500 Err\r\n", "0\r\n\n", "0\r\nX: 1\n"}) {
    INFO(bytes);
    ChunkedBody body;
    DecodeChunks(body, bytes);
    CHECK(body.is_malformed());
  }
}

}  // namespace
}  // namespace parsleyquay
