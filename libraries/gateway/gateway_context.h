#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_CONTEXT_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_CONTEXT_H_

#include <memory>
#include <optional>
#include <random>
#include <set>
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

class ProxiedRequest;

// State shared by the components of one instance. Only the configuration
// watcher modifies `routing`. Only the dissemination agent and its parts modify
// `members` and `peer_transport`.
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
  // Null until the first configuration has been read.
  std::shared_ptr<const RoutingTable> routing;
  MemberTable members;
  // Whether the store had a member record of an earlier incarnation of this
  // instance. If so, it lists the other members too: the fleet is not starting
  // for the first time.
  bool has_previous_incarnation = false;
  // Whether the member records have been read from the store since the start.
  bool has_read_members = false;
  // Null until the secret that all instances share is known.
  std::unique_ptr<PeerTransport> peer_transport;
  bool is_leaving = false;  // graceful shutdown has begun
  // Latest deadline of requests during a graceful shutdown; unset before.
  std::optional<TimePoint> drain_deadline;
  // When a leaving instance begins to accept only requests whose own deadline
  // is earlier than `drain_deadline`, so that it has to break off none of them.
  TimePoint full_deadline_since;
  std::set<ProxiedRequest*> active_requests;

  TimePoint Now() const { return this->loop.Now(); }

  // The number of known members, at least 1.
  std::size_t member_count() const {
    return std::max<std::size_t>(1, this->members.members.size());
  }

  // 0 until the first configuration has been read.
  std::uint64_t configuration_version() const {
    return this->routing ? this->routing->configuration().version : 0;
  }
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_CONTEXT_H_
