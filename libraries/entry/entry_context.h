#ifndef PARSLEYQUAY_ENTRY_ENTRY_CONTEXT_H_
#define PARSLEYQUAY_ENTRY_ENTRY_CONTEXT_H_

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "burn/burn_counters.h"
#include "entry/entry_counters.h"
#include "entry/entry_settings.h"
#include "event/event_loop.h"
#include "fleet/fleet_state.h"
#include "http/http_client.h"
#include "membership/membership_state.h"
#include "membership/takeover.h"
#include "peer/peer_transport.h"
#include "platform/platform_client.h"

namespace parsleyquay {

// State that the components of one instance share. Only FleetLogReplica writes
// `fleet`. MembershipManager owns `membership` and `takeover`; FleetLogReplica
// updates the position of the log's tail in `membership`, and EntryInstance the
// load.
struct EntryContext {
  EntryContext(EventLoop& loop, EntrySettings settings);

  EventLoop& loop;
  const EntrySettings settings;
  HttpClient http;
  PlatformClient platform;
  std::unique_ptr<PeerTransport> peer_transport;
  std::mt19937_64 random;
  std::string incarnation;
  FleetState fleet;
  MembershipState membership;
  Takeover takeover;
  EntryCounters counters;
  BurnCounters burn_counters;
  bool is_leaving = false;
  std::size_t active_requests = 0;

  TimePoint Now() const { return this->loop.Now(); }
  // Returns a random 40-bit number; the length keeps messages short.
  std::uint64_t NextNonce() { return this->random() >> 24; }
  // Whether this instance may act on its view: serve requests, spend tokens and
  // reply as an owner.
  bool has_view_lease() const {
    return HasViewLease(this->membership, this->Now());
  }

  // Returns a member's peer address, "" if there is no such member.
  std::string PeerAddressOf(const std::string& name) const;
  bool is_self(const std::string& name) const {
    return name == this->settings.name;
  }
  // Returns this instance's rank, from 0, in the rendezvous order of the
  // members for `hash_key`. Work that any one member may do is done by the
  // first; the others act only after a delay that grows with their rank.
  long RankAmongMembers(const std::string& hash_key) const;
  // Whether operators have withdrawn this instance's failure domain.
  bool is_own_domain_withdrawn() const {
    return this->fleet.withdrawn_domains.contains(
        this->settings.failure_domain);
  }
};

// Returns the token with which instances authenticate to each other over HTTP,
// derived from the fleet's shared secret.
std::string MakeFleetToken(const std::string& fleet_key);
constexpr char kFleetTokenHeader[] = "X-Parsleyquay-Fleet";

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_CONTEXT_H_
