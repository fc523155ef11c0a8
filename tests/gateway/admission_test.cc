// A gateway whose service is overloaded: one server, which asks for pauses.

#include <algorithm>
#include <catch2/catch.hpp>

#include "gateway/retry_after.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr AdmissionLimits kLimits = {.max_waiting = 2,
                                     .max_waiting_bytes = 100'000};

// Sheds every request and asks for a pause in seconds.
ScriptedServer::Script Shed(const std::string& pause) {
  return [pause](const RawRequest& request) {
    return RawResponse{MakeResponse(
        request, "503 Service Unavailable",
        "Not-Executed: 1\r\nResponse-Signature: sig\r\nRetry-After: " + pause +
            "\r\n",
        "")};
  };
}

// A gateway whose only server has just asked for a pause.
struct PausedServer : GatewayFixture {
  explicit PausedServer(const std::string& pause,
                        AdmissionLimits limits = kLimits)
      : GatewayFixture(limits), server(this->AddServer("s-1", Shed(pause))) {
    this->route_timeout = seconds(10);
    this->Configure();
    REQUIRE(this->AwaitReady());
    REQUIRE(this->Send("GET", "/safe/1").status == 503);
    this->server.SetScript(Good());
    REQUIRE(this->server.requests().size() == 1);
  }

  // The gateway must not be destroyed while clients wait for it.
  ~PausedServer() {
    for (const std::shared_ptr<HttpCall>& call : this->calls) {
      call->Cancel();
    }
    this->AwaitWaiting(0);
  }

  // Starts a request without waiting for its response.
  void Start(std::optional<int>& status) {
    CallHandlers handlers;
    handlers.on_head = [&status](int received, const HeaderList&) {
      status = received;
    };
    this->calls.push_back(
        this->caller.Start({.method = "GET",
                            .address = this->settings.request_address,
                            .target = "/safe/1",
                            .headers = {{"Host", "a.example"},
                                        {"Request-Id", "r-2"},
                                        {"Authorization", "Bearer shop-key"}},
                            .connection_use = ConnectionUse::kFresh},
                           std::move(handlers)));
  }

  std::string Metrics() {
    return this->Get(this->settings.metrics_address, "/").body;
  }
  bool AwaitWaiting(int count) {
    return this->Await([&] {
      return this->Metrics().find("admission_waiting " + std::to_string(count) +
                                  "\n") != std::string::npos;
    });
  }

  ScriptedServer& server;
  std::vector<std::shared_ptr<HttpCall>> calls;
};

// Guards against requests to a server that has asked for a pause.
TEST_CASE("a server that asks for a pause gets nothing until its end") {
  PausedServer fixture("30", {});
  CHECK(fixture.Send("GET", "/safe/1").status == 503);
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE("a request waits for the end of a short pause") {
  PausedServer fixture("0.3");
  CHECK(fixture.Send("GET", "/safe/1").status == 200);
  CHECK(fixture.server.requests().size() == 2);
  CHECK(fixture.Metrics().find("admission_admitted{priority=\"0\"}") !=
        std::string::npos);
}

// Guards against waiting requests that are looked at only once no more arrive.
TEST_CASE("waiting requests are sent while others keep arriving") {
  PausedServer fixture("0.3",
                       {.max_waiting = 200, .max_waiting_bytes = 1'000'000});
  std::vector<std::optional<int>> statuses(60);
  for (std::optional<int>& status : statuses) {
    fixture.Start(status);
    fixture.RunFor(milliseconds(12));
  }
  CHECK(statuses.front() == 200);
  CHECK(fixture.Await([&] {
    return std::ranges::all_of(
        statuses, [](const auto& status) { return status.has_value(); });
  }));
}

TEST_CASE("a request that would wait too long is rejected at once") {
  PausedServer fixture("30");
  const BufferedResponse response = fixture.Send("GET", "/safe/1");
  CHECK(response.status == 503);
  CHECK(response.body.find("overloaded") != std::string::npos);
  CHECK(FindHeader(response.headers, "Retry-After"));
}

// Guards against requests of clients that have gone and still take a place in
// the queue, or are sent.
TEST_CASE("a request whose client disconnects is removed from the queue") {
  PausedServer fixture("4");
  std::optional<int> status;
  fixture.Start(status);
  REQUIRE(fixture.AwaitWaiting(1));
  fixture.calls.front()->Cancel();
  CHECK(fixture.AwaitWaiting(0));
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE("the queue is bounded in requests") {
  PausedServer fixture("4");
  std::optional<int> first;
  std::optional<int> second;
  fixture.Start(first);
  fixture.Start(second);
  REQUIRE(fixture.AwaitWaiting(2));
  CHECK(fixture.Send("GET", "/safe/1", {{"Request-Deadline", "9000"}}).status ==
        503);
  CHECK_FALSE((first || second));
}

TEST_CASE("the queue is bounded in bytes") {
  PausedServer fixture("4", {.max_waiting = 2, .max_waiting_bytes = 1'000});
  std::optional<int> status;
  fixture.Start(status);
  REQUIRE(fixture.AwaitWaiting(1));
  CHECK(fixture
            .Send("GET", "/safe/1", {{"Request-Deadline", "9000"}},
                  std::string(900, 'x'))
            .status == 503);
  CHECK_FALSE(status);
}

// Guards against waiting requests that are broken off when the instance exits.
TEST_CASE("a waiting request ends in time at a graceful shutdown") {
  PausedServer fixture("4");
  std::vector<std::optional<int>> statuses(2);
  fixture.Start(statuses[0]);
  fixture.Start(statuses[1]);
  REQUIRE(fixture.AwaitWaiting(2));
  fixture.gateway->BeginShutdown();
  CHECK(fixture.Await([&] { return statuses[0] == 503 && statuses[1] == 503; },
                      seconds(2)));
  CHECK(fixture.server.requests().size() == 1);
}

TEST_CASE("the delay of Retry-After is a number of seconds") {
  CHECK(ParseDelaySeconds("2") == seconds(2));
  CHECK(ParseDelaySeconds("0.25") == milliseconds(250));
  for (const char* text : {"", "-1", "1e3", ".5", "1.2.3", "999999",
                           "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    CHECK_FALSE(ParseDelaySeconds(text));
  }
}

}  // namespace
}  // namespace parsleyquay
