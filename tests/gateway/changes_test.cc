// Changes of servers, failure domains and configurations: how an instance
// learns of them, and which servers it then uses.

#include <catch2/catch.hpp>
#include <string>

#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

// Guards against requests to a server that the instance itself has heard to be
// leaving, although the store does not say so, or is unavailable.
TEST_CASE("a server that says that it leaves gets no further requests") {
  const std::string status = GENERATE("200 OK", "500 Oops", "503 Full");
  const std::string headers =
      "Response-Signature: sig\r\nServer-Leaving: 1\r\n";
  TwoServers fixture([&](const RawRequest& request) {
    const std::string refusal =
        status == "503 Full" ? "Not-Executed: 1\r\n" : "";
    return RawResponse{MakeResponse(request, status, headers + refusal, "x")};
  });
  fixture.SendUntilBad("GET", "/safe/1");
  fixture.ListServer("s-bad", fixture.bad.address());  // a renewal
  fixture.RunFor(seconds(1));
  fixture.servers.SetAvailable(false);
  const std::size_t before = fixture.bad.requests().size();
  for (int i = 0; i < 60; ++i) {
    CHECK(fixture.Send("GET", "/safe/1").status == 200);
  }
  CHECK(fixture.bad.requests().size() == before);
}

TEST_CASE("a draining server gets no further requests") {
  OneServer fixture(Good("hello"));
  CHECK(fixture.Send("GET", "/safe/1").status == 200);
  fixture.ListServer("s-1", fixture.server.address(), true);
  fixture.RunFor(milliseconds(1'000));
  CHECK(fixture.Send("GET", "/safe/1").status == 503);
  CHECK(fixture.server.requests().size() == 1);
}

// Guards against a server that stays in use after its list entry has vanished.
// The entry may only have expired during an outage of the store, so the server
// stays in use for kLapseGracePeriod, but no longer.
TEST_CASE(
    "a server whose entry vanishes after a store outage is used for the grace "
    "period only") {
  OneServer fixture(Good("hello"));
  fixture.servers.SetAvailable(false);
  fixture.RunFor(milliseconds(2'500));
  fixture.servers.SetAvailable(true);
  const TimePoint regained_by = fixture.loop.Now() + seconds(1);
  fixture.RunFor(milliseconds(2'000));
  fixture.servers.Append({"s-1", std::nullopt});
  CHECK(fixture.Send("GET", "/safe/1").status == 200);
  fixture.RunFor(regained_by + kLapseGracePeriod + milliseconds(100) -
                 fixture.loop.Now());
  CHECK(fixture.Send("GET", "/safe/1").status == 503);
}

TEST_CASE("servers in a withdrawn failure domain get no further requests") {
  OneServer fixture(Good("hello"));
  fixture.operators.Append(DomainWithdrawal{"x", true});
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.Send("GET", "/safe/1").status == 503);
  fixture.operators.Append(DomainWithdrawal{"x", false});
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.Send("GET", "/safe/1").status == 200);
}

TEST_CASE("an older configuration is ignored") {
  OneServer fixture(Good("hello"));
  fixture.operators.Append(FleetConfiguration{.version = 5});
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.Send("GET", "/safe/1").status == 404);
  fixture.Configure(4);
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.Send("GET", "/safe/1").status == 404);
}

TEST_CASE("an instance keeps serving while the store is unavailable") {
  OneServer fixture(Good("hello"));
  fixture.operators.SetAvailable(false);
  fixture.servers.SetAvailable(false);
  fixture.RunFor(seconds(4));
  CHECK(fixture.Send("GET", "/safe/1").status == 200);
}

TEST_CASE("a request in progress gets a response before the instance exits") {
  OneServer fixture([](const RawRequest&) { return RawResponse{}; });
  GatewaySettings settings = fixture.settings;
  settings.bounds.termination_grace_period = seconds(1);
  fixture.gateway->UpdateSettings(settings);
  std::optional<int> status;
  fixture.caller.Fetch(
      {.method = "POST",
       .address = settings.request_address,
       .target = "/once/1",
       .headers = {{"Host", "a.example"},
                   {"Request-Id", "r-1"},
                   {"Authorization", "Bearer shop-key"}}},
      "x", [&](const BufferedResponse& response) { status = response.status; });
  REQUIRE(fixture.Await([&] { return !fixture.server.requests().empty(); }));
  fixture.gateway->BeginShutdown();
  // The process exits after nine tenths of the grace period.
  REQUIRE(fixture.Await([&] { return status.has_value(); }, milliseconds(900)));
  CHECK(status == 504);
}

TEST_CASE("a request that comes too late in a shutdown is not executed") {
  OneServer fixture(Good("hello"));
  GatewaySettings settings = fixture.settings;
  settings.bounds.termination_grace_period = seconds(1);
  fixture.gateway->UpdateSettings(settings);
  fixture.gateway->BeginShutdown();
  fixture.RunFor(milliseconds(400));
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 503);
  CHECK_FALSE(HeaderValueOrEmpty(response.headers, "Retry-After").empty());
  CHECK(fixture.server.requests().empty());
}

TEST_CASE("an instance that shuts down still serves requests") {
  OneServer fixture(Good("hello"));
  fixture.gateway->BeginShutdown();
  CHECK(fixture.Get(fixture.settings.readiness_address, "/api/ready").status ==
        503);
  const BufferedResponse response = fixture.Send("POST", "/once/1", {}, "x");
  CHECK(response.status == 200);
  CHECK(HeaderValueOrEmpty(response.headers, "Connection") == "close");
}

}  // namespace
}  // namespace parsleyquay
