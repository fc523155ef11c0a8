#ifndef PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
#define PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event/timer.h"
#include "gateway/gateway.h"
#include "http/http_client.h"
#include "support/fake_feed.h"
#include "support/scripted_server.h"

namespace parsleyquay {

// Runs one gateway in this process on loopback, with change feeds and backend
// servers that the test controls.
class GatewayFixture {
 public:
  explicit GatewayFixture(AdmissionLimits admission = {},
                          bool has_pooled_retries = false);

  // Publishes a configuration with four routes to the service "work": /safe/,
  // /bulk/ and /open/ are idempotent, /once/ is not; /bulk/ has large responses
  // and /open/ is public. Workspace "shop" has the API key "shop-key".
  void Configure(std::uint64_t version = 1);

  // Starts a scripted server and lists it for "work".
  ScriptedServer& AddServer(const std::string& id,
                            ScriptedServer::Script script);
  void ListServer(const std::string& id,
                  const std::string& address,
                  bool is_draining = false);

  // Sends a request with the id "r-1" and the API key, and waits for its
  // completion. `headers` replace default headers of the same name.
  BufferedResponse Send(const std::string& method,
                        const std::string& target,
                        HeaderList headers = {},
                        const std::string& body = "");
  BufferedResponse Get(const std::string& address, const std::string& target);

  // Runs the event loop until the condition holds or the timeout expires.
  // Returns whether the condition holds.
  bool Await(const std::function<bool()>& condition,
             Duration timeout = seconds(5));
  void RunFor(Duration duration);
  bool AwaitReady();

  EventLoop loop;
  HttpClient gateway_client{loop};
  HttpClient caller{loop};
  FakeFeed<OperatorChange> operators{loop};
  FakeFeed<ServerChange> servers{loop};
  FakeFeed<MemberChange> members{loop};
  GatewaySettings settings;
  // Of the routes that Configure() publishes.
  Duration route_timeout = milliseconds(1'200);
  std::string secret;  // of the fleet; empty until the gateway requests it
  std::unique_ptr<Gateway> gateway;
  std::vector<std::unique_ptr<ScriptedServer>> scripted;

 private:
  CoordinationStore MakeCoordinationStore();
  std::uint64_t next_sequence = 1;
};

// Returns a complete, signed response with status 200 and the id of the
// request.
std::string SignedOkResponse(const RawRequest& request,
                             const std::string& body);

// Returns a complete response with the id of the request and the given status
// line, additional headers and body. `more_headers` must end with a line break.
std::string MakeResponse(const RawRequest& request,
                         const std::string& status,
                         const std::string& more_headers,
                         const std::string& body);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
