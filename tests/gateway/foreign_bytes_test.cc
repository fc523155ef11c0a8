// A backend server sends bytes on a kept connection that do not belong to its
// response: a part of an earlier response, a second response, or a head that
// cannot be read in full. The client must never get a response that the server
// did not send for that very request.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

enum class Framing { kLength, kChunked };

// Where the id stands among the headers. A response that is cut within an
// earlier header loses it to the response that follows.
enum class HeaderOrder { kIdFirst, kIdAfterDate, kIdLast };

struct ResponseShape {
  int status = 200;
  std::string body = "own!";
  Framing framing = Framing::kLength;
  HeaderOrder order = HeaderOrder::kIdFirst;
};

struct SentResponse {
  std::string request_id;
  ResponseShape shape;
};

std::string StatusLine(int status) {
  const std::map<int, std::string> reasons = {
      {200, "OK"}, {204, "No Content"}, {404, "Not Found"}, {500, "Err"}};
  return "HTTP/1.1 " + std::to_string(status) + " " + reasons.at(status) +
         "\r\n";
}

std::string Head(const std::string& id,
                 const std::string& signature,
                 const ResponseShape& shape) {
  const std::string framing =
      shape.framing == Framing::kChunked
          ? "Transfer-Encoding: chunked\r\n"
          : "Content-Length: " + std::to_string(shape.body.size()) + "\r\n";
  const std::string date = "Date: Sun, 06 Dec 2026 07:30:26 GMT\r\n";
  const std::string id_line = "Request-Id: " + id + "\r\n";
  const std::string signature_line =
      "Response-Signature: " + signature + "\r\n";
  const std::string status_line = StatusLine(shape.status);
  switch (shape.order) {
    case HeaderOrder::kIdFirst:
      return status_line + id_line + framing + signature_line + "\r\n";
    case HeaderOrder::kIdAfterDate:
      return status_line + date + id_line + signature_line + framing + "\r\n";
    case HeaderOrder::kIdLast:
      return status_line + date + framing + signature_line + id_line + "\r\n";
  }
  return "";
}

std::string Body(const ResponseShape& shape) {
  if (shape.framing == Framing::kLength) {
    return shape.body;
  }
  const std::string half = shape.body.substr(0, 2);
  const std::string rest = shape.body.substr(2);
  return "2\r\n" + half + "\r\n" + std::to_string(rest.size()) + "\r\n" + rest +
         "\r\n0\r\n\r\n";
}

// A server whose responses all have signatures of their own, so that each
// response to a client can be traced to the one that the server sent.
class RecordingServer : public GatewayFixture {
 public:
  using MakeBytes = std::function<RawResponse(const RawRequest& request)>;

  RecordingServer()
      : server(this->AddServer("s-1", [this](const RawRequest& request) {
          return this->make_bytes(request);
        })) {
    this->Configure();
    REQUIRE(this->AwaitReady());
  }

  // Returns the bytes of a response and records it.
  std::string Record(const RawRequest& request, const ResponseShape& shape) {
    const std::string id = RawHeader(request.head, "Request-Id");
    const std::string signature = "sig-" + std::to_string(this->sent.size());
    this->sent[signature] = {id, shape};
    return Head(id, signature, shape) + Body(shape);
  }

  // Sends an idempotent request with an id of its own.
  BufferedResponse SendNext(MakeBytes make) {
    this->make_bytes = std::move(make);
    this->last_id = "r-" + std::to_string(1'000 + this->next_id++);
    return this->Send("GET", "/safe/1", {{"Request-Id", this->last_id}});
  }

  // Sends a request that the server responds to properly. Returns the bytes of
  // its response.
  std::string SendProper(const ResponseShape& shape) {
    std::string bytes;
    const BufferedResponse response =
        this->SendNext([&](const RawRequest& request) {
          bytes = this->Record(request, shape);
          return RawResponse{bytes};
        });
    REQUIRE(response.result.outcome == CallOutcome::kComplete);
    REQUIRE(response.status == shape.status);
    REQUIRE(response.body == shape.body);
    return bytes;
  }

  // Checks that a response with success, or with a server's signature, is one
  // that the server sent for the last request, as a whole.
  void CheckTrue(const BufferedResponse& response) const {
    const std::string signature =
        HeaderValueOrEmpty(response.headers, "Response-Signature");
    const bool is_success = response.status >= 200 && response.status < 300;
    if (response.result.outcome != CallOutcome::kComplete ||
        (!is_success && signature.empty())) {
      return;
    }
    REQUIRE(this->sent.contains(signature));
    const SentResponse& origin = this->sent.at(signature);
    CHECK(origin.request_id == this->last_id);
    CHECK(origin.shape.status == response.status);
    CHECK(origin.shape.body == response.body);
  }

  ScriptedServer& server;

 private:
  MakeBytes make_bytes;
  std::map<std::string, SentResponse> sent;  // by signature
  std::string last_id;
  int next_id = 0;
};

const ResponseShape earlier_shape = {.body = "earlier"};

// Guards against a success where the server responded with a failure: the
// server repeats a part of its earlier response before its own response.
TEST_CASE("a repeated part of the earlier response changes no response") {
  const Framing framing = GENERATE(Framing::kLength, Framing::kChunked);
  const HeaderOrder order = GENERATE(
      HeaderOrder::kIdFirst, HeaderOrder::kIdAfterDate, HeaderOrder::kIdLast);
  const int status = GENERATE(500, 404, 200);
  const bool is_prefix = GENERATE(true, false);
  RecordingServer fixture;
  ResponseShape earlier = earlier_shape;
  earlier.framing = framing;
  earlier.order = order;
  const ResponseShape own{.status = status, .framing = framing, .order = order};
  std::size_t repeated = 0;
  std::size_t size = 1;
  for (; repeated <= size; ++repeated) {
    const std::string bytes = fixture.SendProper(earlier);
    size = bytes.size();
    const std::string part =
        is_prefix ? bytes.substr(0, repeated) : bytes.substr(size - repeated);
    const BufferedResponse response =
        fixture.SendNext([&](const RawRequest& request) {
          return RawResponse{part + fixture.Record(request, own)};
        });
    INFO("status " << status << (is_prefix ? ", first " : ", last ") << repeated
                   << " of " << size << " bytes");
    fixture.CheckTrue(response);
    if (repeated == 0 && status != 500) {
      CHECK(response.status == status);
    }
  }
}

// Guards against the status of one head with the headers of another: two
// interim responses or an interim and a final one run into each other.
TEST_CASE("a repeated part of an interim response changes no response") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const int status = GENERATE(500, 404, 200);
  RecordingServer fixture;
  for (std::size_t size = 0; size <= interim.size(); ++size) {
    fixture.SendProper(earlier_shape);
    const BufferedResponse response =
        fixture.SendNext([&](const RawRequest& request) {
          return RawResponse{interim.substr(0, size) +
                             fixture.Record(request, {.status = status})};
        });
    INFO("status " << status << ", " << size << " bytes");
    fixture.CheckTrue(response);
  }
}

struct BadHead {
  std::string status_line = "HTTP/1.1 200 OK\r\n";
  std::string more_headers;
  std::string id_line = "Request-Id: ID\r\n";
};

const std::vector<BadHead> bad_heads = {
    {.status_line = "HTTP/HTTP/1.1 500 Err\r\n"},
    {.status_line = "HTTP/x.1 500 Err\r\n"},
    {.status_line = "HTTP/1.1 200 OKHTTP/1.1 500 Err\r\n"},
    {.status_line = "HTTP/1.1 200HTTP/1.1 500 Err\r\n"},
    {.status_line = "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Err\r\n"},
    {.status_line = "HTTP/1.1 200 O\rHTTP/1.1 500 Err\r\n"},
    {.status_line = "HTTP/1.1 200 O\nHTTP/1.1 500 Err\r\n"},
    {.status_line = "HTTP/1.1  200 OK\r\n"},
    {.status_line = "HTTP/1.1 200\tOK\r\n"},
    {.status_line = "HTTP/1.1 2000 OK\r\n"},
    {.status_line = "HTTP/1.1 20 OK\r\n"},
    {.status_line = "HTTP/1.1 000 OK\r\n"},
    {.status_line = "HTTP/1.1 600 OK\r\n"},
    {.status_line = "HTTP/1.1 099 OK\r\n"},
    {.status_line = "HTTP/1.1 99 OK\r\n"},
    {.status_line = "HTTP/1.1 1000 OK\r\n"},
    {.status_line = "HTTP/1.1 999 OK\r\n"},
    {.status_line = "HTTP/1.1 +20 OK\r\n"},
    {.status_line = "HTTP/1.1 +200 OK\r\n"},
    {.status_line = "HTTP/1.1 -200 OK\r\n"},
    {.status_line = "HTTP/1.1 2OO OK\r\n"},
    {.status_line = "HTTP/1.1 20x OK\r\n"},
    {.status_line = "HTTP/1.1 0x2 OK\r\n"},
    {.status_line = "HTTP/1.1 \r\n"},
    {.status_line = "HTTP/1.1\r\n"},
    {.status_line = "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\n"},
    {.status_line = "HTTP/1.1 1030 Early\r\n\r\nHTTP/1.1 200 OK\r\n"},
    {.status_line = "HTTP/1.1 +103 Early\r\n\r\nHTTP/1.1 200 OK\r\n"},
    {.status_line = "HTTP/1.1 1O3 Early\r\n\r\nHTTP/1.1 200 OK\r\n"},
    {.status_line = "HTTP/1.1 Early\r\n\r\nHTTP/1.1 200 OK\r\n"},
    {.status_line = "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 99 OK\r\n"},
    {.status_line = "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 1000 OK\r\n"},
    {.status_line = "HTTP/1.1 OK\r\n"},
    {.status_line = "HTTP/1.2 200 OK\r\n"},
    {.status_line = "HTTP/2 200\r\n"},
    {.status_line = "HTTP/1.1 200 OK\n"},
    {.status_line = "HTTP/1.1 101 Switching Protocols\r\n"},
    {.more_headers = "X-More: a\n"},
    {.more_headers = "X-More: a\rb\r\n"},
    {.more_headers = "X-More: a\r\n folded\r\n"},
    {.more_headers = "X-More: a\r\n\tfolded\r\n"},
    {.more_headers = "X-More : a\r\n"},
    {.more_headers = "X More: a\r\n"},
    {.more_headers = "X-More\r\n"},
    {.more_headers = ": a\r\n"},
    {.more_headers = "X-More: a\x01\r\n"},
    {.more_headers = std::string("X-More: a\0b\r\n", 13)},
    {.more_headers = "X-More: HTTP/1.1 500 Err\r\n"},
    {.more_headers = "HTTP/1.1 500 Err: a\r\n"},
    {.more_headers = "Content-Length: 4\r\n"},
    {.more_headers = "Content-Length: 5\r\n"},
    {.more_headers = "Transfer-Encoding: chunked\r\n"},
    {.more_headers = "Response-Signature: other\r\n"},
    {.more_headers = "Response-Signature: sig\r\n"},
    {.more_headers = "Request-Id: r-other\r\n"},
    {.id_line = "Request-Id: r-other\r\nRequest-Id: ID\r\n"},
    {.id_line = "Request-Id: ID\r\nRequest-Id: ID\r\n"},
};

RawResponse MakeBadResponse(const BadHead& bad, const RawRequest& request) {
  std::string id_line = bad.id_line;
  for (std::size_t at = id_line.find("ID"); at != std::string::npos;
       at = id_line.find("ID")) {
    id_line.replace(at, 2, RawHeader(request.head, "Request-Id"));
  }
  return RawResponse{bad.status_line + id_line +
                     "Response-Signature: sig\r\nContent-Length: 4\r\n" +
                     bad.more_headers + "\r\nown!"};
}

// Guards against facts of a response that come from a head which cannot be read
// in full, and against the use of its connection for the next request.
TEST_CASE("a head that cannot be read in full ends the connection") {
  for (const BadHead& bad : bad_heads) {
    INFO(bad.status_line << bad.id_line << bad.more_headers);
    RecordingServer fixture;
    fixture.SendProper(earlier_shape);
    const BufferedResponse response =
        fixture.SendNext([&](const RawRequest& request) {
          return MakeBadResponse(bad, request);
        });
    CHECK(response.status == 502);
    CHECK(HeaderValueOrEmpty(response.headers, "Response-Signature").empty());
    fixture.SendProper(earlier_shape);
    CHECK(fixture.server.connections() == 2);
  }
}

// Guards against the same on a connection that has carried no earlier request.
TEST_CASE("a head that cannot be read in full fails a fresh connection") {
  for (const BadHead& bad : bad_heads) {
    INFO(bad.status_line << bad.id_line << bad.more_headers);
    RecordingServer fixture;
    const BufferedResponse response =
        fixture.SendNext([&](const RawRequest& request) {
          return MakeBadResponse(bad, request);
        });
    CHECK(response.status == 502);
    CHECK(HeaderValueOrEmpty(response.headers, "Response-Signature").empty());
    CHECK(fixture.server.connections() == 1);
  }
}

// Guards against a client being told that a request was not executed on the
// word of a head that cannot be read in full.
TEST_CASE("a rejection in a head that cannot be read in full does not count") {
  OneServer fixture([](const RawRequest& request) {
    return RawResponse{MakeResponse(request, "503 FullHTTP/1.1 200 OK",
                                    "Not-Executed: 1\r\n", "x")};
  });
  CHECK(fixture.Send("POST", "/once/1", {}, "x").status == 502);
  CHECK(fixture.Send("GET", "/safe/1").status == 502);
}

// Guards against the next request on a connection whose server sends the right
// response after another one.
TEST_CASE("a response to another request ends the connection") {
  const std::string body = GENERATE("", "body");
  RecordingServer fixture;
  fixture.SendProper(earlier_shape);
  const BufferedResponse response = fixture.SendNext([&](const RawRequest&) {
    return RawResponse{Head("r-other", "sig", {.body = body}) + body};
  });
  CHECK(response.status == 502);
  fixture.SendProper(earlier_shape);
  CHECK(fixture.server.connections() == 2);
}

// Guards against the use of a connection after bytes that no request asked for.
TEST_CASE("bytes after the end of a response end the connection") {
  const ResponseShape shape = GENERATE(
      ResponseShape{.body = "length"},
      ResponseShape{.body = "chunked", .framing = Framing::kChunked},
      ResponseShape{.body = ""}, ResponseShape{.status = 204, .body = ""});
  const std::string excess = GENERATE(
      std::string("x"), Head("r-other", "sig", earlier_shape) + "earlier");
  const bool is_late = GENERATE(false, true);
  RecordingServer fixture;
  fixture.SendProper(earlier_shape);
  const BufferedResponse response =
      fixture.SendNext([&](const RawRequest& request) {
        const std::string own = fixture.Record(request, shape);
        return is_late ? RawResponse{.bytes = own,
                                     .stray_bytes = excess,
                                     .stray_delay = milliseconds(5)}
                       : RawResponse{own + excess};
      });
  INFO("body '" << shape.body << "', status " << shape.status << ", "
                << excess.size() << " bytes" << (is_late ? ", late" : ""));
  CHECK(response.status == shape.status);
  fixture.CheckTrue(response);
  fixture.RunFor(milliseconds(20));
  fixture.SendProper(earlier_shape);
  CHECK(fixture.server.connections() == 2);
}

// Guards against a second response to the same request: the first one counts.
TEST_CASE("a second response with the id of the request changes nothing") {
  const int first = GENERATE(200, 404);
  RecordingServer fixture;
  fixture.SendProper(earlier_shape);
  const BufferedResponse response =
      fixture.SendNext([&](const RawRequest& request) {
        const std::string own = fixture.Record(request, {.status = first});
        return RawResponse{
            own + fixture.Record(request, {.status = first == 200 ? 404 : 200,
                                           .body = "second"})};
      });
  CHECK(response.status == first);
  CHECK(response.body == "own!");
  fixture.SendProper(earlier_shape);
  CHECK(fixture.server.connections() == 2);
}

// Guards against checks that cost proper servers their connections.
TEST_CASE("proper responses keep their connection") {
  RecordingServer fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.SendProper(earlier_shape);
    fixture.SendProper({.status = 404, .order = HeaderOrder::kIdLast});
    fixture.SendProper({.body = "chunked", .framing = Framing::kChunked});
    fixture.SendProper({.body = ""});
    fixture.SendProper({.status = 204, .body = ""});
    fixture.SendProper({.body = std::string(300'000, 'b')});
    const BufferedResponse response =
        fixture.SendNext([&](const RawRequest& request) {
          return RawResponse{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                             fixture.Record(request, {})};
        });
    CHECK(response.status == 200);
    fixture.CheckTrue(response);
  }
  CHECK(fixture.server.connections() == 1);
}

// Guards against requests that fail, or change their connection unseen, because
// a server has closed an idle connection.
TEST_CASE("a server that closes idle connections fails no request") {
  RecordingServer fixture;
  for (int i = 0; i < 20; ++i) {
    const BufferedResponse response = fixture.SendNext([&](const RawRequest&
                                                               request) {
      return RawResponse{fixture.Record(request, {}), ConnectionAction::kClose};
    });
    CHECK(response.status == 200);
  }
}

}  // namespace
}  // namespace parsleyquay
