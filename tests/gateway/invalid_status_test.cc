// A backend server in trouble sends a status that is none, in its final or in
// an interim head. The client must never get it as a response.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr int kBadGatewayStatus = 502;

const std::vector<std::string> invalid_statuses = {
    "000",  "001",  "099", "1000", "0200", "2000", "20", "2",   "",
    "-200", "+200", "-20", "+20",  "2x0",  "0x2",  "OK", "2 0", " 200"};

std::string FinalHead(const RawRequest& request, const std::string& status) {
  return "HTTP/1.1 " + status +
         " OK\r\nRequest-Id: " + RawHeader(request.head, "Request-Id") +
         "\r\nResponse-Signature: sig\r\nContent-Length: 4\r\n\r\nfine";
}

std::string InterimHead(const std::string& status) {
  return "HTTP/1.1 " + status + " Early Hints\r\nLink: x\r\n\r\n";
}

struct Request {
  std::string method;
  std::string target;
  std::string body;
};

void CheckRejected(GatewayFixture& fixture, const Request& request) {
  const BufferedResponse response =
      fixture.Send(request.method, request.target, {}, request.body);
  CHECK(response.result.outcome == CallOutcome::kComplete);
  CHECK(response.status == kBadGatewayStatus);
  CHECK(FindHeader(response.headers, "Response-Signature") == nullptr);
}

// Guards against a status such as 000 that reaches the client, and against an
// interim head with such a status that hides the final one, on new and on kept
// connections.
TEST_CASE("an invalid status never reaches the client") {
  const auto request =
      GENERATE(Request{"GET", "/safe/1", ""}, Request{"POST", "/once/1", "x"});
  const bool is_interim = GENERATE(false, true);
  const bool is_on_kept_connection = GENERATE(false, true);
  for (const std::string& status : invalid_statuses) {
    INFO(request.method << (is_interim ? ", interim" : ", final")
                        << (is_on_kept_connection ? ", kept" : ", new")
                        << ", status '" << status << "'");
    OneServer fixture(Good());
    if (is_on_kept_connection) {
      REQUIRE(fixture.Send("GET", "/safe/0").status == 200);
    }
    fixture.server.SetScript([&](const RawRequest& received) {
      return RawResponse{is_interim ? InterimHead(status) +
                                          SignedOkResponse(received, "fine")
                                    : FinalHead(received, status)};
    });
    CheckRejected(fixture, request);
  }
}

}  // namespace
}  // namespace parsleyquay
