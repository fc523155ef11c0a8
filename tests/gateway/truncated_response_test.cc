// A backend server stops within its response, at any byte, and closes or resets
// the connection. The client must never get a part of the response that looks
// complete.

#include <catch2/catch.hpp>
#include <string>

#include "support/gateway_fixture.h"

namespace parsleyquay {
namespace {

constexpr char kBody[] = "twelve bytes";
constexpr char kInterimResponse[] =
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

enum class Framing { kLength, kChunked, kUntilClose };

struct WholeResponse {
  std::string bytes;
  std::size_t head_size = 0;
};

WholeResponse MakeWholeResponse(const RawRequest& request,
                                Framing framing,
                                bool has_interim_response) {
  std::string head = has_interim_response ? kInterimResponse : "";
  // The headers that the gateway checks come first, so that a response that is
  // cut after them can only be recognized by its missing end.
  head += "HTTP/1.1 200 OK\r\nRequest-Id: " +
          RawHeader(request.head, "Request-Id") +
          "\r\nResponse-Signature: sig\r\nX-More: 1\r\n";
  std::string body = kBody;
  if (framing == Framing::kLength) {
    head += "Content-Length: 12\r\n";
  } else if (framing == Framing::kChunked) {
    head += "Transfer-Encoding: chunked\r\n";
    body = "7\r\ntwelve \r\n5\r\nbytes\r\n0\r\n\r\n";
  }
  head += "\r\n";
  return {head + body, head.size()};
}

struct Cut {
  Framing framing = Framing::kLength;
  bool has_interim_response = false;
  ConnectionAction action = ConnectionAction::kClose;
  std::size_t size = 0;  // the bytes that are sent
};

class TruncatingServer : public GatewayFixture {
 public:
  TruncatingServer() {
    this->AddServer("s-1", [this](const RawRequest& request) {
      const WholeResponse whole = MakeWholeResponse(
          request, this->cut.framing, this->cut.has_interim_response);
      if (!this->is_cutting) {
        return RawResponse{SignedOkResponse(request, kBody)};
      }
      return RawResponse{whole.bytes.substr(0, this->cut.size),
                         this->cut.action};
    });
    this->Configure();
    REQUIRE(this->AwaitReady());
  }

  BufferedResponse SendCut(const std::string& method, const Cut& new_cut) {
    this->cut = new_cut;
    const bool is_on_kept_connection = method == "GET";
    if (is_on_kept_connection) {
      this->is_cutting = false;
      this->Send("GET", "/safe/1");
    }
    this->is_cutting = true;
    return method == "GET" ? this->Send("GET", "/safe/1")
                           : this->Send("POST", "/once/1", {}, "x");
  }

 private:
  Cut cut;
  bool is_cutting = false;
};

bool LooksComplete(const BufferedResponse& response) {
  return response.result.outcome == CallOutcome::kComplete &&
         response.status == 200;
}

void CheckAllCuts(const std::string& method, Framing framing) {
  TruncatingServer fixture;
  const bool has_interim_response = GENERATE(false, true);
  const ConnectionAction action =
      GENERATE(ConnectionAction::kClose, ConnectionAction::kReset);
  const WholeResponse whole = MakeWholeResponse({"\r\nRequest-Id: r-1", ""},
                                                framing, has_interim_response);
  // A body without framing that ends with its connection is complete wherever
  // it ends.
  const bool is_end_of_body_unknown =
      framing == Framing::kUntilClose && action == ConnectionAction::kClose;
  const std::size_t end =
      is_end_of_body_unknown ? whole.head_size : whole.bytes.size();
  for (std::size_t size = 0; size < end; ++size) {
    const BufferedResponse response =
        fixture.SendCut(method, {framing, has_interim_response, action, size});
    INFO(method << " cut after " << size << " of " << whole.bytes.size());
    if (LooksComplete(response)) {
      CHECK(response.body == kBody);
    } else if (response.result.outcome == CallOutcome::kComplete) {
      CHECK(response.status == 502);
    }
  }
}

TEST_CASE("a truncated response to a request on a fresh connection") {
  const Framing framing =
      GENERATE(Framing::kLength, Framing::kChunked, Framing::kUntilClose);
  CheckAllCuts("POST", framing);
}

TEST_CASE("a truncated response to a request on a kept connection") {
  const Framing framing =
      GENERATE(Framing::kLength, Framing::kChunked, Framing::kUntilClose);
  CheckAllCuts("GET", framing);
}

TEST_CASE("a truncated response to an idempotent request is fetched again") {
  GatewayFixture fixture;
  int failures = 0;
  const auto script = [&](const RawRequest& request) {
    if (failures++ == 0) {
      return RawResponse{
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
          "Response-Signature: sig\r\n",
          ConnectionAction::kClose};
    }
    return RawResponse{SignedOkResponse(request, kBody)};
  };
  fixture.AddServer("s-1", script);
  fixture.AddServer("s-2", script);
  fixture.Configure();
  REQUIRE(fixture.AwaitReady());
  const BufferedResponse response = fixture.Send("GET", "/safe/1");
  CHECK(response.status == 200);
  CHECK(response.body == kBody);
  CHECK(failures == 2);
}

}  // namespace
}  // namespace parsleyquay
