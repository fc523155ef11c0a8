// Tests that the request of a client that has closed its connection is ended at
// the server, also if the client had sent more before.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/raw_connection.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

// A closed connection must have ended the request at the server by then.
constexpr Duration kEndedWithin = milliseconds(500);

std::string RequestText(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        const std::string& rest = "\r\n") {
  return method + " " + target +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
         "\r\nRequest-Deadline: 5000\r\nAuthorization: Bearer shop-key\r\n" +
         rest;
}

ScriptedServer::Script NoResponse() {
  return [](const RawRequest&) { return RawResponse{}; };
}

// Responds with the headers and a first part of a long body.
ScriptedServer::Script PartOfResponse() {
  return [](const RawRequest& request) {
    std::string response =
        SignedOkResponse(request, std::string(3'000'000, 'x'));
    response.resize(2'000'000);
    return RawResponse{response};
  };
}

struct SlowServer : OneServer {
  explicit SlowServer(ScriptedServer::Script script = NoResponse())
      : OneServer(std::move(script)) {
    this->route_timeout = seconds(5);
    this->Configure(2);
  }

  bool HasRequestAtServer() {
    return this->Await([&] {
      return this->server.open_connections() == 1 &&
             !this->server.requests().empty();
    });
  }

  bool EndsInTime() {
    return this->Await([&] { return this->server.open_connections() == 0; },
                       kEndedWithin);
  }
};

TEST_CASE("a client that disconnects after pipelined requests is noticed") {
  const auto [name, first, more] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"a request", RequestText("GET", "/safe/1", "r-1"),
            RequestText("GET", "/safe/2", "r-2")},
           {"a request after a body",
            RequestText("POST", "/once/1", "r-1", "Content-Length: 4\r\n\r\n") +
                "body",
            RequestText("POST", "/once/2", "r-2", "Content-Length: 4\r\n\r\n") +
                "body"},
           {"part of a request", RequestText("GET", "/safe/1", "r-1"),
            "GET /sa"},
           {"no request", RequestText("GET", "/safe/1", "r-1"),
            std::string(20'000, 'b')}}));
  const bool sends_at_once = GENERATE(true, false);
  INFO(name << (sends_at_once ? " at once" : " later"));
  SlowServer fixture;
  RawConnection client(fixture.settings.request_address);
  REQUIRE(client.Send(sends_at_once ? first + more : first));
  REQUIRE(fixture.HasRequestAtServer());
  if (!sends_at_once) {
    REQUIRE(client.Send(more));
    fixture.RunFor(milliseconds(50));
  }
  client.Close();
  CHECK(fixture.EndsInTime());
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE("a client that disconnects within the response is noticed") {
  SlowServer fixture(PartOfResponse());
  RawConnection client(fixture.settings.request_address);
  REQUIRE(client.Send(RequestText("GET", "/bulk/1", "r-1") +
                      RequestText("GET", "/bulk/2", "r-2")));
  REQUIRE(fixture.Await([&] { return client.Receive().size() > 1'900'000; }));
  fixture.RunFor(milliseconds(50));
  client.Close();
  CHECK(fixture.EndsInTime());
  CHECK(fixture.server.requests().size() == 1);
}

// Guards against an abort of libmicrohttpd, which would also hide the check
// that failed in a test.
TEST_CASE("a gateway is destroyed while requests wait for a server") {
  const bool is_responding = GENERATE(false, true);
  SlowServer fixture(is_responding ? PartOfResponse() : NoResponse());
  RawConnection client(fixture.settings.request_address);
  REQUIRE(client.Send(RequestText("GET", "/bulk/1", "r-1")));
  RawConnection sending(fixture.settings.request_address);
  REQUIRE(sending.Send(
      RequestText("POST", "/once/1", "r-2", "Content-Length: 9\r\n\r\n") +
      "body"));
  REQUIRE(fixture.HasRequestAtServer());
  if (is_responding) {
    REQUIRE(fixture.Await([&] { return client.Receive().size() > 1'900'000; }));
  }
  fixture.gateway.reset();
  CHECK(client.HasEnded());
  CHECK(sending.HasEnded());
  CHECK(fixture.EndsInTime());
}

// Guards against dropping what a client has sent in advance.
TEST_CASE("pipelined requests are answered in order") {
  const bool sends_at_once = GENERATE(true, false);
  SlowServer fixture([](const RawRequest& request) {
    return RawResponse{
        .bytes = SignedOkResponse(
            request, "for " + RawHeader(request.head, "Request-Id") + ";"),
        .delay = milliseconds(100)};
  });
  const std::vector<std::string> requests = {
      RequestText("GET", "/safe/1", "r-1"),
      RequestText("POST", "/once/2", "r-2", "Content-Length: 4\r\n\r\n") +
          "body",
      RequestText("POST", "/once/3", "r-3",
                  "Transfer-Encoding: chunked\r\n\r\n") +
          "4\r\nbody\r\n0\r\n\r\n",
      RequestText("GET", "/safe/4", "r-4")};
  RawConnection client(fixture.settings.request_address);
  if (sends_at_once) {
    std::string all;
    for (const std::string& request : requests) {
      all += request;
    }
    REQUIRE(client.Send(all));
  } else {
    for (const std::string& request : requests) {
      REQUIRE(client.Send(request));
      fixture.RunFor(milliseconds(20));
    }
  }
  CHECK(fixture.Await(
      [&] { return client.Receive().find("for r-4;") != std::string::npos; }));
  std::size_t at = 0;
  for (const char* body : {"for r-1;", "for r-2;", "for r-3;", "for r-4;"}) {
    const std::size_t found = client.Receive().find(body, at);
    CHECK(found != std::string::npos);
    at = std::min(found, client.Receive().size());
  }
  CHECK(fixture.server.requests().size() == requests.size());
  CHECK_FALSE(client.HasEnded());
}

}  // namespace
}  // namespace parsleyquay
