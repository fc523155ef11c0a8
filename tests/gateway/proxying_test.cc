// What the gateway sends to backend servers and to clients over real
// connections, after valid responses and after every kind of failure.

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

ScriptedServer::Script Status(const std::string& status,
                              const std::string& headers = "") {
  return [status, headers](const RawRequest& request) {
    return RawResponse{MakeResponse(request, status, headers, "x")};
  };
}

TEST_CASE(
    "a request is forwarded unchanged except for the headers that the gateway "
    "sets") {
  OneServer fixture(Good("hello"));
  const BufferedResponse response =
      fixture.Send("POST", "/once/a%2fb/../c?q=1&r=%20",
                   {{"Tenant", "forged"},
                    {"Expected-Instance", "forged"},
                    {"X-Custom", "kept"},
                    {"X-Hop", "dropped"},
                    {"Connection", "X-Hop"}},
                   "body-bytes");
  CHECK(response.status == 200);
  CHECK(response.body == "hello");
  CHECK(HeaderValueOrEmpty(response.headers, "Response-Signature") == "sig");
  CHECK(HeaderValueOrEmpty(response.headers, "Request-Id") == "r-1");
  REQUIRE(fixture.server.requests().size() == 1);
  const RawRequest& sent = fixture.server.requests()[0];
  CHECK(sent.head.starts_with("POST /once/a%2fb/../c?q=1&r=%20 HTTP/1.1\r\n"));
  CHECK(sent.body == "body-bytes");
  CHECK(RawHeader(sent.head, "Host") == "a.example");
  CHECK(RawHeader(sent.head, "Request-Id") == "r-1");
  CHECK(RawHeader(sent.head, "Tenant") == "shop");
  CHECK(RawHeader(sent.head, "Expected-Instance") == "s-1");
  CHECK(RawHeader(sent.head, "X-Custom") == "kept");
  CHECK(sent.head.find("forged") == std::string::npos);
  for (const char* absent :
       {"Authorization", "X-Hop", "Expect", "Accept", "User-Agent"}) {
    CHECK(RawHeader(sent.head, absent).empty());
  }
  const int left = std::stoi(RawHeader(sent.head, "Request-Deadline"));
  CHECK(left <= 1'000);
  CHECK(left > 800);
}

TEST_CASE("the deadline sent to a server does not exceed the route's timeout") {
  OneServer fixture(Good("hello"));
  fixture.Send("GET", "/safe/1", {{"Request-Deadline", "60000"}});
  CHECK(std::stoi(RawHeader(fixture.server.requests().at(0).head,
                            "Request-Deadline")) <= 1'200);
}

TEST_CASE(
    "a request before the first configuration is rejected as not executed") {
  GatewayFixture fixture;
  CHECK(fixture.Get(fixture.settings.readiness_address, "/api/ready").status ==
        503);
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 503);
  CHECK_FALSE(HeaderValueOrEmpty(response.headers, "Retry-After").empty());
}

TEST_CASE("requests without a valid key or a route are rejected") {
  OneServer fixture(Good("hello"));
  CHECK(
      fixture.Send("GET", "/safe/1", {{"Authorization", "Bearer no"}}).status ==
      401);
  CHECK(fixture.Send("GET", "/safe/1", {{"Authorization", "Basic shop-key"}})
            .status == 401);
  CHECK(fixture.Send("GET", "/none/1").status == 404);
  CHECK(fixture.Send("GET", "/safe/1", {{"Host", "b.example"}}).status == 404);
  CHECK(fixture.server.requests().empty());
  CHECK(
      fixture.Send("GET", "/open/1", {{"Authorization", "Bearer no"}}).status ==
      200);
  const std::string& head = fixture.server.requests().at(0).head;
  CHECK(RawHeader(head, "Authorization").empty());
  CHECK(RawHeader(head, "Tenant").empty());
}

TEST_CASE("a chunked request body is forwarded completely") {
  OneServer fixture(Good("hello"));
  const std::string body(150'000, 'b');
  std::size_t sent = 0;
  std::optional<int> status;
  CallHandlers handlers;
  handlers.read_body = [&](char* buffer, std::size_t capacity) {
    const std::size_t size = std::min(capacity, body.size() - sent);
    std::copy_n(body.data() + sent, size, buffer);
    sent += size;
    return BodyChunk{size > 0 ? BodyState::kData : BodyState::kEnd, size};
  };
  handlers.on_head = [&](int got, const HeaderList&) { status = got; };
  fixture.caller.Start({.method = "POST",
                        .address = fixture.settings.request_address,
                        .target = "/once/1",
                        .headers = {{"Host", "a.example"},
                                    {"Request-Id", "r-1"},
                                    {"Request-Deadline", "1000"},
                                    {"Authorization", "Bearer shop-key"}},
                        .has_body = true},
                       std::move(handlers));
  REQUIRE(fixture.Await([&] { return status.has_value(); }));
  CHECK(*status == 200);
  const RawRequest& request = fixture.server.requests().at(0);
  CHECK(static_cast<std::size_t>(std::count(
            request.body.begin(), request.body.end(), 'b')) >= body.size());
}

TEST_CASE(
    "a non-idempotent request is not sent again after a connection reset") {
  TwoServers fixture([](const RawRequest&) {
    return RawResponse{"", ConnectionAction::kReset};
  });
  const std::size_t good_before = fixture.good.requests().size();
  const BufferedResponse response =
      fixture.SendUntilBad("POST", "/once/1", "x");
  CHECK(response.status == 502);
  CHECK(fixture.bad.requests().size() == 1);
  CHECK(fixture.good.requests().size() >= good_before);
}

TEST_CASE("a request that a server did not execute is sent to another one") {
  for (const char* status : {"503 Full", "429 Full"}) {
    TwoServers fixture(Status(status, "Not-Executed: 1\r\n"));
    const BufferedResponse response =
        fixture.SendUntilBad("POST", "/once/1", "x");
    CHECK(response.status == 200);
    CHECK(response.body == "fine");
  }
  TwoServers fixture(Status("421 Misdirected", "Instance-Id: other\r\n"));
  CHECK(fixture.SendUntilBad("POST", "/once/1", "x").body == "fine");
}

TEST_CASE("a rejection by all servers is reported as not executed") {
  OneServer fixture(Status("503 Full", "Not-Executed: 1\r\n"));
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 503);
  CHECK(HeaderValueOrEmpty(response.headers, "Not-Executed").empty());
  CHECK_FALSE(HeaderValueOrEmpty(response.headers, "Retry-After").empty());
}

TEST_CASE("a server's own rejection is not reported as not executed") {
  for (const char* status : {"503 Busy", "429 Busy", "408 Slow"}) {
    OneServer fixture(Status(status, "Response-Signature: sig\r\n"));
    const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
    CHECK(response.status == 502);
    CHECK(HeaderValueOrEmpty(response.headers, "Response-Signature").empty());
  }
}

// Guards against a rejection that is passed on as it is, since its body is
// longer than what is buffered of a response. The client would take it as not
// executed.
TEST_CASE("a server's own long rejection is not reported as not executed") {
  const std::string status = GENERATE("503 Busy", "429 Busy", "408 Slow");
  const std::size_t body_bytes = GENERATE(100'000, 2'000'000);
  INFO(status << ", " << body_bytes << " bytes");
  OneServer fixture([&](const RawRequest& request) {
    return RawResponse{
        MakeResponse(request, status, "", std::string(body_bytes, 'x'))};
  });
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK((response.status == 502 || response.status == 504));
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE(
    "a server error is forwarded unchanged for a non-idempotent request") {
  OneServer fixture(Status("500 Oops", "Response-Signature: sig\r\n"));
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 500);
  CHECK(HeaderValueOrEmpty(response.headers, "Response-Signature") == "sig");
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE("an idempotent request is sent again after a failure") {
  const auto wrong_id = [](const RawRequest& request) {
    RawRequest other = request;
    other.head = "GET / HTTP/1.1\r\nRequest-Id: r-other";
    return RawResponse{SignedOkResponse(other, "not yours")};
  };
  const auto cut_short = [](const RawRequest& request) {
    const std::string whole = SignedOkResponse(request, "cut short");
    return RawResponse{whole.substr(0, whole.size() - 3),
                       ConnectionAction::kClose};
  };
  const auto garbage = [](const RawRequest&) {
    return RawResponse{"\x01\x02\x03 no answer at all\r\n\r\n",
                       ConnectionAction::kClose};
  };
  const std::vector<ScriptedServer::Script> scripts = {
      Status("500 Oops", "Response-Signature: sig\r\n"),
      Status("200 OK"),  // not signed
      Status("200 OK", "Response-Signature: sig\r\nContent-Encoding: gzip\r\n"),
      wrong_id,
      cut_short,
      garbage,
      [](const RawRequest&) {
        return RawResponse{"", ConnectionAction::kReset};
      }};
  for (const ScriptedServer::Script& script : scripts) {
    TwoServers fixture(script);
    const BufferedResponse response = fixture.SendUntilBad("GET", "/safe/1");
    CHECK(response.status == 200);
    CHECK(response.body == "fine");
  }
}

TEST_CASE("a response to another request never reaches the client") {
  OneServer fixture([](const RawRequest& request) {
    RawRequest other = request;
    other.head = "GET / HTTP/1.1\r\nRequest-Id: r-other";
    return RawResponse{SignedOkResponse(other, "not yours")};
  });
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 502);
  CHECK(response.body.find("not yours") == std::string::npos);
}

TEST_CASE("a second response to one request is discarded") {
  OneServer fixture([](const RawRequest& request) {
    return RawResponse{SignedOkResponse(request, "first") +
                       SignedOkResponse(request, "second")};
  });
  for (int i = 0; i < 5; ++i) {
    const BufferedResponse response = fixture.Send(
        "GET", "/safe/1", {{"Request-Id", "r-" + std::to_string(i)}});
    CHECK(response.status == 200);
    CHECK(response.body == "first");
    CHECK(HeaderValueOrEmpty(response.headers, "Request-Id") ==
          "r-" + std::to_string(i));
  }
}

std::string WithoutLength(const RawRequest& request, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " +
         RawHeader(request.head, "Request-Id") +
         "\r\nResponse-Signature: sig\r\nConnection: close\r\n\r\n" + body;
}

// Guards against a client being told "not executed" about a request that was
// executed, when the server repeats the rejection of an earlier request on a
// reused connection.
TEST_CASE("a rejection of another request is not applied to this one") {
  const auto repeat_refusal = [](const RawRequest& request) {
    RawRequest earlier = request;
    earlier.head = "GET / HTTP/1.1\r\nRequest-Id: r-earlier";
    return RawResponse{
        MakeResponse(earlier, "503 Full", "Not-Executed: 1\r\n", "x")};
  };
  SECTION(
      "a non-idempotent request is not sent again nor reported as not "
      "executed") {
    TwoServers fixture(repeat_refusal);
    const BufferedResponse response =
        fixture.SendUntilBad("POST", "/once/1", "x");
    CHECK(response.status == 502);
  }
  SECTION("an idempotent request is not reported as not executed") {
    OneServer fixture(repeat_refusal);
    CHECK(fixture.Send("GET", "/safe/1").status == 502);
  }
  SECTION("a rejection without a request id is not accepted") {
    OneServer fixture([](const RawRequest&) {
      return RawResponse{
          "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    CHECK(fixture.Send("POST", "/once/1", {}, "x").status == 502);
  }
}

// Guards against a server that sends endless data which is no valid response.
// It must take neither memory nor the time until the client's deadline.
TEST_CASE("endless data that is no valid response is not read to the end") {
  constexpr std::size_t kMostRead = 8 * 1024 * 1024;  // socket buffers included
  const std::string page(4'096, 'x');
  const std::string signed_head = "Response-Signature: sig\r\n";
  const auto failure = [](const std::string& status, const std::string& more) {
    return
        [status, more](const RawRequest& request, const std::string& endless) {
          return RawResponse{"HTTP/1.1 " + status + "\r\nRequest-Id: " +
                                 RawHeader(request.head, "Request-Id") +
                                 "\r\n" + more + "\r\n",
                             ConnectionAction::kKeep, endless};
        };
  };
  const std::map<std::string, ScriptedServer::Script> scripts = {
      {"no head at all",
       [&](const RawRequest&) {
         return RawResponse{"", ConnectionAction::kKeep, page};
       }},
      {"headers",
       [&](const RawRequest&) {
         return RawResponse{"HTTP/1.1 200 OK\r\n", ConnectionAction::kKeep,
                            "X-More: " + page + "\r\n"};
       }},
      {"one header",
       [&](const RawRequest&) {
         return RawResponse{
             "HTTP/1.1 200 OK\r\nX-More: ", ConnectionAction::kKeep, page};
       }},
      {"interim answers",
       [](const RawRequest&) {
         return RawResponse{"", ConnectionAction::kKeep,
                            "HTTP/1.1 102 Processing\r\n\r\n"};
       }},
      {"a failure",
       [&](const RawRequest& request) {
         return failure("500 Oops", signed_head)(request, page);
       }},
      {"a success that is not signed",
       [&](const RawRequest& request) {
         return failure("200 OK", "")(request, page);
       }},
      {"a refusal", [&](const RawRequest& request) {
         return failure("503 Full", "Not-Executed: 1\r\n")(request, page);
       }}};
  for (const auto& [name, script] : scripts) {
    for (const char* target : {"/once/1", "/safe/1"}) {
      INFO(name << " " << target);
      OneServer fixture(script);
      const TimePoint sent_at = fixture.loop.Now();
      const BufferedResponse response = fixture.Send("POST", target, {}, "x");
      CHECK(response.status == (name == "a refusal" ? 503 : 502));
      CHECK(fixture.loop.Now() - sent_at < milliseconds(500));
      CHECK(fixture.server.endless_bytes() < kMostRead);
      CHECK(fixture.Await(
          [&] { return fixture.server.open_connections() == 0; }));
    }
  }
}

// Guards against an instance that keeps all bytes of an endless response until
// its memory is used up, because the client does not read them.
TEST_CASE("an endless response is not read faster than its client reads it") {
  // What an instance may buffer of one response. Once the socket buffers are
  // full, whose size the kernel decides, it must read no more than that.
  constexpr std::size_t kMostBuffered = (640 + 64) * 1024;
  const std::string method = GENERATE("GET", "POST");
  const std::string page(4'096, 'x');
  OneServer fixture([&](const RawRequest& request) {
    return RawResponse{WithoutLength(request, ""), ConnectionAction::kKeep,
                       page};
  });
  CallRequest request{
      .method = method,
      .address = fixture.settings.request_address,
      .target = method == "GET" ? "/bulk/1" : "/once/1",
      .headers = {{"Host", "a.example"},
                  {"Request-Id", "r-1"},
                  {"Request-Deadline", "1000"},
                  {"Authorization", "Bearer shop-key"}},
      .connection_use = ConnectionUse::kFresh,
  };
  const auto call = fixture.caller.Start(
      request, {.on_data = [](std::string_view) { return false; }});
  fixture.RunFor(milliseconds(400));
  const std::size_t read_before = fixture.server.endless_bytes();
  fixture.RunFor(milliseconds(400));
  CHECK(fixture.server.requests().size() == 1);
  CHECK(fixture.server.endless_bytes() - read_before <= kMostBuffered);
  call->Cancel();
  CHECK(fixture.Await([&] { return fixture.server.open_connections() == 0; }));
}

TEST_CASE("a response without a length ends when its connection is closed") {
  OneServer fixture([](const RawRequest& request) {
    return RawResponse{WithoutLength(request, "all of it"),
                       ConnectionAction::kClose};
  });
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 200);
  CHECK(response.body == "all of it");
}

TEST_CASE(
    "a response without a length is incomplete when its connection is reset") {
  OneServer fixture([](const RawRequest& request) {
    return RawResponse{WithoutLength(request, "a part"),
                       ConnectionAction::kReset};
  });
  CHECK(fixture.Send("POST", "/once/1", {}, "x").status == 502);
}

TEST_CASE("a long response that breaks off does not look complete") {
  OneServer fixture([](const RawRequest& request) {
    const std::string whole =
        SignedOkResponse(request, std::string(200'000, 'l'));
    return RawResponse{whole.substr(0, 150'000), ConnectionAction::kClose};
  });
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  const bool looks_complete =
      response.result.outcome == CallOutcome::kComplete &&
      response.status == 200;
  CHECK_FALSE(looks_complete);
}

TEST_CASE("a long response is forwarded completely") {
  const std::string body(2'000'000, 'l');
  OneServer fixture(Good(body));
  CHECK(fixture.Send("POST", "/once/1", {}, "x").body == body);
  CHECK(fixture.Send("GET", "/bulk/1").body == body);
}

TEST_CASE(
    "a response before the body is read leaves no body bytes on a reused "
    "connection") {
  OneServer fixture(Status("400 Early", "Response-Signature: sig\r\n"));
  fixture.server.RespondBeforeBody();
  const std::string body(300'000, 'b');
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, body);
  CHECK(response.status == 400);
  fixture.Send("POST", "/once/2", {}, "x");
  // Anything else that the first connection receives is the rest of the body;
  // the next request has to use a new connection.
  for (const RawRequest& request : fixture.server.requests()) {
    CHECK(request.head.starts_with("POST /once/"));
  }
}

TEST_CASE("a request without a response gets an error at its deadline") {
  OneServer fixture([](const RawRequest&) { return RawResponse{}; });
  const TimePoint began = fixture.loop.Now();
  const BufferedResponse response =
      fixture.Send("POST", "/once/1", {{"Request-Deadline", "400"}}, "x");
  CHECK(response.status == 504);
  CHECK(fixture.loop.Now() - began < milliseconds(650));
}

TEST_CASE("an overdue request keeps waiting if no other server is available") {
  OneServer fixture([](const RawRequest&) { return RawResponse{}; });
  for (int i = 0; i < 20; ++i) {
    const TimePoint began = fixture.loop.Now();
    const BufferedResponse response =
        fixture.Send("GET", "/safe/1", {{"Request-Deadline", "800"}});
    CHECK(response.status == 504);
    CHECK(fixture.loop.Now() - began > milliseconds(750));
  }
}

TEST_CASE("an overdue idempotent request is sent to another server") {
  TwoServers fixture([](const RawRequest&) { return RawResponse{}; });
  const BufferedResponse response = fixture.SendUntilBad("GET", "/safe/1");
  CHECK(response.status == 200);
  CHECK(response.body == "fine");
}

TEST_CASE(
    "the request to the server is cancelled when the client disconnects") {
  OneServer fixture([](const RawRequest&) { return RawResponse{}; });
  const auto call =
      fixture.caller.Fetch({.method = "POST",
                            .address = fixture.settings.request_address,
                            .target = "/once/1",
                            .headers = {{"Host", "a.example"},
                                        {"Request-Id", "r-1"},
                                        {"Request-Deadline", "5000"},
                                        {"Authorization", "Bearer shop-key"}},
                            .connection_use = ConnectionUse::kFresh},
                           "x", [](const BufferedResponse&) {});
  REQUIRE(
      fixture.Await([&] { return fixture.server.open_connections() == 1; }));
  REQUIRE(fixture.Await([&] { return !fixture.server.requests().empty(); }));
  call->Cancel();
  CHECK(fixture.Await([&] { return fixture.server.open_connections() == 0; },
                      milliseconds(300)));
}

TEST_CASE("requests that exceed the size limits are rejected") {
  OneServer fixture(Good("hello"));
  CHECK(fixture.Send("GET", "/safe/1", {{"X-Long", std::string(17'000, 'h')}})
            .status == 431);
  CHECK(fixture.Send("POST", "/once/1", {{"Content-Length", "900000000"}}, "x")
            .status == 413);
  CHECK(fixture.server.requests().empty());
}

}  // namespace
}  // namespace parsleyquay
