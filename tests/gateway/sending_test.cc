// When the client of backend servers sends a request, and how often.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "support/await.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

struct ClientAndServer {
  // Sends a request if `may_send` allows it. Returns how it ended.
  CallResult Send(bool may_send, ConnectionUse use) {
    std::optional<CallResult> result;
    CallHandlers handlers;
    handlers.may_send = [this, may_send](const CallConnection& used) {
      this->connection = used;
      return may_send;
    };
    handlers.on_done = [&](const CallResult& ended) { result = ended; };
    this->client.Start({.address = this->server.address(),
                        .target = "/",
                        .connection_use = use},
                       std::move(handlers));
    REQUIRE(RunLoopUntil(
        this->loop, [&] { return result.has_value(); }, seconds(2)));
    return *result;
  }

  EventLoop loop;
  ScriptedServer server{loop, Good()};
  HttpClient client{loop};
  CallConnection connection;
};

// Guards against a request that reaches a server which began to leave while the
// request waited for its connection.
TEST_CASE("a request that may not be sent any more is not sent") {
  ClientAndServer fixture;
  CHECK(fixture.Send(false, ConnectionUse::kReusable).outcome ==
        CallOutcome::kNeverSent);
  CHECK_FALSE(fixture.connection.is_reused);
  CHECK(fixture.Send(true, ConnectionUse::kReusable).outcome ==
        CallOutcome::kComplete);
  CHECK(fixture.Send(false, ConnectionUse::kReusable).outcome ==
        CallOutcome::kNeverSent);
  CHECK(fixture.connection.is_reused);
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE("a call knows whether its connection is new") {
  ClientAndServer fixture;
  fixture.Send(true, ConnectionUse::kReusable);
  CHECK_FALSE(fixture.connection.is_reused);
  fixture.Send(true, ConnectionUse::kReusable);
  CHECK(fixture.connection.is_reused);
  fixture.Send(true, ConnectionUse::kFresh);
  CHECK_FALSE(fixture.connection.is_reused);
}

// Reads the request and closes the connection without a response.
RawResponse Vanish(const RawRequest&) {
  return RawResponse{"", ConnectionAction::kClose};
}

// Guards against a request that runs twice at one server under one id: the
// server then records a failure, and the client gets a success.
TEST_CASE("a request on a reused connection that breaks runs once") {
  const ConnectionAction action =
      GENERATE(ConnectionAction::kClose, ConnectionAction::kReset);
  OneServer fixture(Good());
  REQUIRE(fixture.Send("GET", "/safe/1").status == 200);
  int received = 0;
  fixture.server.SetScript([&](const RawRequest& request) {
    return ++received == 1 ? RawResponse{"", action} : Good()(request);
  });
  CHECK(fixture.Send("GET", "/safe/1").status == 502);
  CHECK(received == 1);
}

TEST_CASE(
    "a request whose reused connection breaks is sent to another server") {
  TwoServers fixture(Good("first"));
  REQUIRE(fixture.SendUntilBad("GET", "/safe/1").status == 200);
  fixture.bad.SetScript(Vanish);
  const BufferedResponse response = fixture.SendUntilBad("GET", "/safe/1");
  CHECK(response.status == 200);
  CHECK(response.body == "fine");
}

}  // namespace
}  // namespace parsleyquay
