#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_CONTEXT_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_CONTEXT_H_

#include <memory>
#include <random>
#include <string>

#include "coordination/coordination_store.h"
#include "dissemination/member_table.h"
#include "event/event_loop.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/wire_protocol.h"
#include "http/http_client.h"
#include "peer/peer_transport.h"
#include "routing/routing_table.h"

namespace parsleyquay {

// What the parts of one instance share. Each part changes only what is its
// own: the configuration desk `routing`, the mesh agent `members` and
// `peer_transport`.
struct GatewayContext {
  GatewayContext(EventLoop& loop,
                 GatewaySettings settings,
                 HttpClient& http,
                 CoordinationStore coordination,
                 WireProtocol protocol)
      : loop(loop),
        settings(std::move(settings)),
        http(http),
        coordination(std::move(coordination)),
        protocol(std::move(protocol)),
        random(std::random_device()()) {}

  EventLoop& loop;
  GatewaySettings settings;
  HttpClient& http;
  CoordinationStore coordination;
  WireProtocol protocol;
  std::mt19937_64 random;
  std::string incarnation;
  GatewayMetrics metrics;
  std::shared_ptr<const RoutingTable> routing;  // null until one is known
  MemberTable members;
  // The store named an earlier life of this instance at start, and so all other
  // members as well: the fleet is not just coming up for the first time.
  bool has_previous_incarnation = false;
  std::unique_ptr<PeerTransport>
      peer_transport;  // null until the shared secret is known
  bool is_leaving = false;
  std::optional<TimePoint> drain_deadline;  // when this instance ends
  std::size_t active_requests = 0;

  TimePoint Now() const { return this->loop.Now(); }
  std::size_t member_count() const {
    return std::max<std::size_t>(1, this->members.members.size());
  }
  std::uint64_t configuration_version() const {
    return this->routing ? this->routing->configuration().version : 0;
  }
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_CONTEXT_H_
