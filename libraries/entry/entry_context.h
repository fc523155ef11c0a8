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

// What the parts of one instance share. Each part changes only what is its
// own: the log follower `fleet`, the member agent `membership` and `takeover`.
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
  // Of 40 bits, which keeps the messages that carry it short.
  std::uint64_t NextNonce() { return this->random() >> 24; }
  bool has_view_lease() const {
    return HasViewLease(this->membership, this->Now());
  }

  // Peer address of a member, "" when there is no such member.
  std::string PeerAddressOf(const std::string& name) const;
  bool is_self(const std::string& name) const {
    return name == this->settings.name;
  }
  // This instance's place in an order of the members that differs from one
  // occasion to the next; it spreads out what one of them has to do.
  long RankAmongMembers(const std::string& occasion) const;
  // Whether operators have taken this instance's failure domain out.
  bool is_own_domain_withdrawn() const {
    return this->fleet.withdrawn_domains.contains(
        this->settings.failure_domain);
  }
};

// A token that shows one instance to another over HTTP.
std::string MakeFleetToken(const std::string& fleet_key);
constexpr char kFleetTokenHeader[] = "X-Parsleyquay-Fleet";

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_CONTEXT_H_
