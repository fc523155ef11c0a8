// For which services a request that was not served counts as failed.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gateway/load_balancer.h"
#include "platform/platform_wire_protocol.h"

namespace parsleyquay {
namespace {

// Guards against healthy servers that get no requests while the requests of
// their route fail at another service of the route.
TEST_CASE("a failed request counts for all services of its route") {
  EventLoop loop;
  HttpClient http(loop);
  GatewayContext context(loop, GatewaySettings(), http, CoordinationStore(),
                         platform::MakePlatformWireProtocol());
  ServerDiscovery discovery(context, {});
  RolloutController rollouts(context, discovery, {});
  std::vector<std::string> failed;
  LoadBalancer load_balancer(
      context, discovery, rollouts, [](const OutcomeReport&) {},
      [&](const std::string& service) { failed.push_back(service); });
  const HostRoute route{.services = {{"archive", 1}, {"live", 4}}};
  load_balancer.ReportFailedRequest("live", route);
  CHECK(failed == std::vector<std::string>{"archive", "live"});
  failed.clear();
  // The route may have changed since the service was chosen.
  load_balancer.ReportFailedRequest("former", {.services = {{"live", 1}}});
  CHECK(failed == std::vector<std::string>{"former", "live"});
}

}  // namespace
}  // namespace parsleyquay
