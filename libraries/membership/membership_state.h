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

// How long evidence allows a member to act. Every promise of "within seconds"
// rests on it.
constexpr Duration kViewLeaseDuration = milliseconds(2'500);

// What is added before a right passes on: the clocks of two machines drift
// apart by less than this in kViewLeaseDuration.
constexpr Duration kClockDriftMargin = milliseconds(300);

// How long a question waits before its target is suspected.
constexpr Duration kReplyTimeout = milliseconds(500);

// How long a suspected member has to answer anyone before it is removed.
constexpr Duration kSuspicionTimeout = milliseconds(1'500);

// The log counts as away once its newest evidence is older than this.
constexpr Duration kOutageThreshold = milliseconds(1'200);

// During an outage every member is questioned once in this time.
constexpr Duration kOutageGossipPeriod = milliseconds(1'500);

struct PendingGossipRequest {
  std::string target;
  TimePoint sent_at;

  bool operator==(const PendingGossipRequest&) const = default;
};

// What the latest answer of a member showed.
struct LastReply {
  TimePoint requested_at;  // the answer was given after this
  std::uint64_t offset = 0;
  long load_permille = 0;
  bool is_blocked_by_gap = false;

  bool operator==(const LastReply&) const = default;
};

// What one instance knows of the others. It acts (spends, serves a key, uses a
// right of its view) only while this shows that its log offset is current.
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
  // The log has dropped records that this member never read, and keeps no
  // snapshot of them. From then on it moves on by the log alone.
  bool is_blocked_by_gap = false;
  long load_permille = 0;
  std::uint64_t settled_version = 0;  // told to others; see Takeover
  Bitmap view_holders;                // members known to hold this view
  std::optional<TimePoint> tail_confirmed_at;
  std::map<std::uint64_t, PendingGossipRequest> pending_requests;  // by nonce
  std::map<std::string, LastReply> last_replies;
  std::map<std::string, TimePoint> suspects;  // since when
  std::set<std::string> leaving;              // members that said so

  bool operator==(const MembershipState&) const = default;
};

MembershipState MakeMembership(std::string name,
                               std::string incarnation,
                               std::string peer_address);

// Takes over the view and offset that the log gave. Never goes back.
MembershipState ApplyView(MembershipState state,
                          const View& view,
                          std::uint64_t offset);

// Notes that the log's tail was at `tail_offset` when asked at `asked_at`.
MembershipState RecordLogTail(MembershipState state,
                              std::uint64_t tail_offset,
                              TimePoint asked_at);

struct GossipStep {
  MembershipState state;
  std::optional<GossipMessage> message;  // to be sent to the peer
  bool is_behind = false;  // the peer holds a newer offset of the log
};

// Makes a question for a member.
GossipStep MakeGossipRequest(MembershipState state,
                             const std::string& target,
                             std::uint64_t nonce,
                             TimePoint now);

// Takes in a message; a question gets an answer.
GossipStep HandleGossip(MembershipState state,
                        const GossipMessage& message,
                        TimePoint now);

// Clears a suspicion because another instance got an answer.
MembershipState HandleProbeSuccess(MembershipState state,
                                   const ProbeSuccess& success);

// Turns questions that found no answer in time into suspicions.
MembershipState ExpireGossipRequests(MembershipState state, TimePoint now);

// Members that have been suspected for kSuspicionTimeout.
std::vector<std::string> FindUnresponsiveMembers(const MembershipState& state,
                                                 TimePoint now);

// Whether neither the log nor a peer has shown the log's tail of late.
bool IsLogUnavailable(const MembershipState& state, TimePoint now);

// How many members to question per interval.
std::size_t GossipRequestsPerInterval(const MembershipState& state,
                                      Duration interval,
                                      TimePoint now);

// A majority of the view, this member included, held this member's offset at
// some time after this; nothing when no majority has answered.
std::optional<TimePoint> MajorityConfirmedAt(const MembershipState& state,
                                             TimePoint now);

// Whether a majority of the view, this member included, has shown within
// kViewLeaseDuration that it stands behind a gap of the log, and no member
// holds more than this one. As those move on by the log alone, no majority
// holds, or will ever hold, a record of the gap: none was accepted.
bool IsMajorityBlockedByGap(const MembershipState& state, TimePoint now);

// The moment until which the member may use the rights of its view, by the
// evidence at hand.
TimePoint ViewLeaseExpiresAt(const MembershipState& state, TimePoint now);

bool HasViewLease(const MembershipState& state, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_MEMBERSHIP_STATE_H_
