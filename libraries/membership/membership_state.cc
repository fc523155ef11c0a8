#include "membership/membership_state.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace parsleyquay {

namespace {

bool IsKnown(const MembershipState& state, const std::string& name) {
  return std::ranges::binary_search(state.names, name);
}

std::size_t BitOf(const MembershipState& state, const std::string& name) {
  const auto found = std::ranges::lower_bound(state.names, name);
  return static_cast<std::size_t>(found - state.names.begin());
}

GossipMessage Describe(const MembershipState& state,
                       GossipKind kind,
                       std::uint64_t nonce,
                       TimePoint now) {
  GossipMessage message;
  message.kind = kind;
  message.sender = state.name;
  message.incarnation = state.incarnation;
  message.reply_address = state.peer_address;
  message.nonce = nonce;
  message.offset = state.offset;
  message.view_version = state.view_version;
  message.settled_version = state.settled_version;
  message.is_held_by_all = CountBits(state.view_holders) == state.names.size();
  if (!message.is_held_by_all) {
    message.view_holders = state.view_holders;
  }
  if (state.tail_confirmed_at) {
    message.tail_confirmed_age_ms =
        ToMilliseconds(now - *state.tail_confirmed_at) + 1;
  }
  message.is_leaving = state.is_leaving;
  message.is_blocked_by_gap = state.is_blocked_by_gap;
  message.load_permille = state.load_permille;
  return message;
}

bool IsPresentIncarnation(const MembershipState& state,
                          const GossipMessage& message) {
  const auto known = state.incarnations.find(message.sender);
  return known != state.incarnations.end() &&
         known->second == message.incarnation;
}

void MergeHolders(MembershipState& state, const GossipMessage& message) {
  const bool is_held_by_all =
      message.is_held_by_all && message.view_version == state.view_version;
  if (is_held_by_all) {
    for (std::size_t bit = 0; bit < state.names.size(); ++bit) {
      state.view_holders = WithBit(std::move(state.view_holders), bit);
    }
    return;
  }
  if (message.view_version != state.view_version ||
      message.view_holders.bytes.size() != state.view_holders.bytes.size()) {
    return;
  }
  state.view_holders = UnionOf(state.view_holders, message.view_holders);
}

// Evidence counts from when the question was sent, so that neither a slow
// network nor a pause can make it look younger than it is.
void UseReply(MembershipState& state, const GossipMessage& reply) {
  const auto request = state.pending_requests.find(reply.nonce);
  if (request == state.pending_requests.end() ||
      request->second.target != reply.sender) {
    return;
  }
  const TimePoint asked_at = request->second.sent_at;
  state.pending_requests.erase(request);
  if (!IsPresentIncarnation(state, reply)) {
    return;
  }
  state.suspects.erase(reply.sender);
  state.last_replies[reply.sender] = {
      asked_at, reply.offset, reply.load_permille, reply.is_blocked_by_gap};
  if (!reply.tail_confirmed_age_ms || reply.offset > state.offset) {
    return;
  }
  const TimePoint evidence_at =
      asked_at - milliseconds(*reply.tail_confirmed_age_ms);
  state.tail_confirmed_at =
      std::max(state.tail_confirmed_at.value_or(evidence_at), evidence_at);
}

void ApplyMembers(MembershipState& state, const View& view) {
  state.names.clear();
  state.incarnations.clear();
  for (const auto& [name, member] : view.members) {
    state.names.push_back(name);
    state.incarnations[name] = member.incarnation;
  }
  const auto is_gone = [&](const auto& entry) {
    return !view.members.contains(entry.first);
  };
  std::erase_if(state.last_replies, is_gone);
  std::erase_if(state.suspects, is_gone);
  std::erase_if(state.leaving, [&](const std::string& name) {
    return !view.members.contains(name);
  });
  state.view_holders = MakeBitmap(state.names.size());
}

}  // namespace

MembershipState MakeMembership(std::string name,
                               std::string incarnation,
                               std::string peer_address) {
  MembershipState state;
  state.name = std::move(name);
  state.incarnation = std::move(incarnation);
  state.peer_address = std::move(peer_address);
  return state;
}

MembershipState ApplyView(MembershipState state,
                          const View& view,
                          std::uint64_t offset) {
  if (offset <= state.offset) {
    return state;
  }
  state.offset = offset;
  if (view.version != state.view_version) {
    state.view_version = view.version;
    ApplyMembers(state, view);
  }
  const auto self = view.members.find(state.name);
  state.is_member = self != view.members.end() &&
                    self->second.incarnation == state.incarnation;
  if (state.is_member) {
    state.view_holders = WithBit(state.view_holders, BitOf(state, state.name));
  }
  return state;
}

MembershipState RecordLogTail(MembershipState state,
                              std::uint64_t tail_offset,
                              TimePoint asked_at) {
  if (tail_offset <= state.offset) {
    state.tail_confirmed_at =
        std::max(state.tail_confirmed_at.value_or(asked_at), asked_at);
  }
  return state;
}

GossipStep MakeGossipRequest(MembershipState state,
                             const std::string& target,
                             std::uint64_t nonce,
                             TimePoint now) {
  state.pending_requests[nonce] = {target, now};
  GossipMessage request = Describe(state, GossipKind::kRequest, nonce, now);
  return {std::move(state), std::move(request), false};
}

GossipStep HandleGossip(MembershipState state,
                        const GossipMessage& message,
                        TimePoint now) {
  const bool is_behind = message.offset > state.offset;
  MergeHolders(state, message);
  if (message.is_leaving && IsPresentIncarnation(state, message)) {
    state.leaving.insert(message.sender);
  }
  if (message.kind == GossipKind::kReply) {
    UseReply(state, message);
    return {std::move(state), std::nullopt, is_behind};
  }
  GossipMessage reply = Describe(state, GossipKind::kReply, message.nonce, now);
  return {std::move(state), std::move(reply), is_behind};
}

MembershipState HandleProbeSuccess(MembershipState state,
                                   const ProbeSuccess& success) {
  const auto known = state.incarnations.find(success.target);
  if (known != state.incarnations.end() &&
      known->second == success.incarnation) {
    state.suspects.erase(success.target);
  }
  return state;
}

MembershipState ExpireGossipRequests(MembershipState state, TimePoint now) {
  for (const auto& [nonce, request] : state.pending_requests) {
    const bool is_late = now - request.sent_at >= kReplyTimeout;
    if (is_late && IsKnown(state, request.target)) {
      state.suspects.try_emplace(request.target, now);
    }
  }
  std::erase_if(state.pending_requests, [&](const auto& entry) {
    return now - entry.second.sent_at >= kReplyTimeout;
  });
  return state;
}

std::vector<std::string> FindUnresponsiveMembers(const MembershipState& state,
                                                 TimePoint now) {
  std::vector<std::string> silent;
  for (const auto& [name, since] : state.suspects) {
    if (now - since >= kSuspicionTimeout) {
      silent.push_back(name);
    }
  }
  return silent;
}

bool IsLogUnavailable(const MembershipState& state, TimePoint now) {
  return !state.tail_confirmed_at ||
         now - *state.tail_confirmed_at >= kOutageThreshold;
}

std::size_t GossipRequestsPerInterval(const MembershipState& state,
                                      Duration interval,
                                      TimePoint now) {
  if (!IsLogUnavailable(state, now)) {
    return 1;
  }
  const double intervals = static_cast<double>(kOutageGossipPeriod.count()) /
                           static_cast<double>(interval.count());
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(state.names.size()) / intervals));
}

std::optional<TimePoint> MajorityConfirmedAt(const MembershipState& state,
                                             TimePoint now) {
  if (!state.is_member) {
    return std::nullopt;
  }
  std::vector<TimePoint> support = {now};
  for (const auto& [name, last_reply] : state.last_replies) {
    if (last_reply.offset == state.offset && name != state.name) {
      support.push_back(last_reply.requested_at);
    }
  }
  const std::size_t majority = MajorityOf(state.names.size());
  if (support.size() < majority) {
    return std::nullopt;
  }
  const auto weakest =
      support.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::ranges::nth_element(support, weakest, std::greater<>{});
  return *weakest;
}

bool IsMajorityBlockedByGap(const MembershipState& state, TimePoint now) {
  if (!state.is_member || !state.is_blocked_by_gap) {
    return false;
  }
  std::size_t behind = 1;
  for (const auto& [name, last_reply] : state.last_replies) {
    const bool is_fresh = now - last_reply.requested_at < kViewLeaseDuration;
    if (!is_fresh || name == state.name) {
      continue;
    }
    if (last_reply.offset > state.offset) {
      return false;
    }
    behind += last_reply.is_blocked_by_gap ? 1 : 0;
  }
  return behind >= MajorityOf(state.names.size());
}

TimePoint ViewLeaseExpiresAt(const MembershipState& state, TimePoint now) {
  if (!state.is_member) {
    return TimePoint::min();
  }
  TimePoint evidence_at = TimePoint::min();
  if (state.tail_confirmed_at) {
    evidence_at = *state.tail_confirmed_at;
  }
  if (const auto support_at = MajorityConfirmedAt(state, now)) {
    evidence_at = std::max(evidence_at, *support_at);
  }
  const bool has_evidence = evidence_at != TimePoint::min();
  return has_evidence ? evidence_at + kViewLeaseDuration : evidence_at;
}

bool HasViewLease(const MembershipState& state, TimePoint now) {
  return now < ViewLeaseExpiresAt(state, now);
}

}  // namespace parsleyquay
