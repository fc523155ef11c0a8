#ifndef PARSLEYQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_
#define PARSLEYQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/view.h"
#include "membership/gossip_message.h"

namespace parsleyquay {

// Length of a view lease: how long a member may act on its view after it last
// confirmed that its log offset is current. A member that is cut off stops
// acting within this time, and a takeover waits for it to pass.
constexpr Duration kViewLeaseDuration = milliseconds(2'500);

// Added to kViewLeaseDuration before leases of an earlier view count as
// expired. The clocks of two machines drift apart by less than this during a
// lease.
constexpr Duration kClockDriftMargin = milliseconds(300);

// Time without a reply to a gossip request after which its target is suspected.
constexpr Duration kReplyTimeout = milliseconds(500);

// Time that a suspected member has to reply to any member before it is removed.
constexpr Duration kSuspicionTimeout = milliseconds(1'500);

// The log counts as unavailable if its tail was not confirmed for this long.
constexpr Duration kOutageThreshold = milliseconds(1'200);

// During an outage of the log, each member sends gossip requests to all others
// once in this period.
constexpr Duration kOutageGossipPeriod = milliseconds(1'500);

// A gossip request that awaits its reply.
struct PendingGossipRequest {
  std::string target;
  TimePoint sent_at;

  bool operator==(const PendingGossipRequest&) const = default;
};

// Contents of the latest reply of a member.
struct LastReply {
  TimePoint requested_at;    // when the request was sent, before the reply
  std::uint64_t offset = 0;  // log offset of the member
  long load_permille = 0;    // as in GossipMessage
  bool is_blocked_by_gap = false;

  bool operator==(const LastReply&) const = default;
};

// One instance's state of the membership protocol. The instance acts on its
// view (spends tokens, records claims, owns keys) only while it holds a view
// lease, which requires a recent confirmation that its log offset is current.
struct MembershipState {
  std::string name;
  std::string incarnation;
  std::string peer_address;
  std::uint64_t offset = 0;
  std::uint64_t view_version = 0;
  std::vector<std::string> names;                   // members in name order
  std::map<std::string, std::string> incarnations;  // by member name
  bool is_member = false;
  bool is_leaving = false;
  // The log has dropped records that this member has not read, and has no
  // snapshot that contains them. From then on the member applies records only
  // from the log and not from other members.
  bool is_blocked_by_gap = false;
  long load_permille = 0;             // as in GossipMessage
  std::uint64_t settled_version = 0;  // sent to others; see Takeover
  Bitmap view_holders;                // members known to hold this view
  // Last time at which the log's tail is known not to have been beyond
  // `offset`.
  std::optional<TimePoint> tail_confirmed_at;
  std::map<std::uint64_t, PendingGossipRequest> pending_requests;  // by nonce
  std::map<std::string, LastReply> last_replies;  // by member name
  std::map<std::string, TimePoint> suspects;      // start of suspicion, by name
  std::set<std::string> leaving;                  // members that announced it

  bool operator==(const MembershipState&) const = default;
};

MembershipState MakeMembership(std::string name,
                               std::string incarnation,
                               std::string peer_address);

// Applies the view at a newer log offset. Ignored unless `offset` is greater
// than the present one.
MembershipState ApplyView(MembershipState state,
                          const View& view,
                          std::uint64_t offset);

// Records that a read of the log, sent at `requested_at`, returned this tail
// offset. It confirms the state's offset unless the tail is ahead of it.
MembershipState RecordLogTail(MembershipState state,
                              std::uint64_t tail_offset,
                              TimePoint requested_at);

struct GossipStep {
  MembershipState state;
  std::optional<GossipMessage> message;  // to send to the peer, if any
  bool is_behind = false;                // the peer has a newer log offset
};

// Creates a gossip request to a member and records it as pending.
GossipStep MakeGossipRequest(MembershipState state,
                             const std::string& target,
                             std::uint64_t nonce,
                             TimePoint now);

// Processes a gossip message. For a request, the result has the reply to it.
GossipStep HandleGossip(MembershipState state,
                        const GossipMessage& message,
                        TimePoint now);

// Clears the suspicion of a member that replied to an indirect probe. Ignored
// for another incarnation.
MembershipState HandleProbeSuccess(MembershipState state,
                                   const ProbeSuccess& success);

// Removes gossip requests that are kReplyTimeout old and suspects their
// targets.
MembershipState ExpireGossipRequests(MembershipState state, TimePoint now);

// Returns the members that have been suspected for kSuspicionTimeout or longer.
std::vector<std::string> FindUnresponsiveMembers(const MembershipState& state,
                                                 TimePoint now);

// Whether neither the log nor a peer has confirmed the log's tail within
// kOutageThreshold.
bool IsLogUnavailable(const MembershipState& state, TimePoint now);

// Returns the number of members to send gossip requests to in each interval.
std::size_t GossipRequestsPerInterval(const MembershipState& state,
                                      Duration interval,
                                      TimePoint now);

// Returns the latest time since which a majority of the view, including this
// member, has replied with this member's offset. Returns std::nullopt if the
// last replies with this offset do not make up a majority.
std::optional<TimePoint> MajorityConfirmedAt(const MembershipState& state,
                                             TimePoint now);

// Whether a majority of the view, including this member, has reported within
// kViewLeaseDuration that it is blocked by a gap in the log, and no reply in
// that time had a newer offset. Blocked members apply records only from the
// log, so no majority has read the dropped records or ever will: none took
// effect.
bool IsMajorityBlockedByGap(const MembershipState& state, TimePoint now);

// Returns the time at which the member's view lease expires unless its offset
// is confirmed again: kViewLeaseDuration after the last confirmation by the
// log's tail or by a majority. Returns TimePoint::min() if there is no lease.
TimePoint ViewLeaseExpiresAt(const MembershipState& state, TimePoint now);

// Whether the member holds a view lease and so may act on its view.
bool HasViewLease(const MembershipState& state, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_
