#ifndef PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_FIXTURES_H_
#define PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_FIXTURES_H_

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "support/gateway_fixture.h"

namespace parsleyquay {

// Returns a script that responds to every request with status 200.
inline ScriptedServer::Script Good(const std::string& body = "fine") {
  return [body](const RawRequest& request) {
    return RawResponse{SignedOkResponse(request, body)};
  };
}

// A gateway with one server.
struct OneServer : GatewayFixture {
  explicit OneServer(ScriptedServer::Script script)
      : server(this->AddServer("s-1", std::move(script))) {
    this->Configure();
    REQUIRE(this->AwaitReady());
  }
  ScriptedServer& server;
};

// Two servers, one of which fails. Requests are sent until the failing one has
// received one, so that every test exercises the failure.
struct TwoServers : GatewayFixture {
  explicit TwoServers(ScriptedServer::Script bad_script)
      : bad(this->AddServer("s-bad", std::move(bad_script))),
        good(this->AddServer("s-good", Good())) {
    this->Configure();
    REQUIRE(this->AwaitReady());
  }
  // Returns the response to the first request that reached the failing server.
  BufferedResponse SendUntilBad(const std::string& method,
                                const std::string& target,
                                const std::string& body = "") {
    for (int i = 0; i < 300; ++i) {
      const std::size_t before = this->bad.requests().size();
      const BufferedResponse response = this->Send(method, target, {}, body);
      if (this->bad.requests().size() > before) {
        return response;
      }
    }
    FAIL("the bad server was never used");
    return {};
  }
  ScriptedServer& bad;
  ScriptedServer& good;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_FIXTURES_H_
