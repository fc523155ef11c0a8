#include "membership/membership_state.h"

#include <catch2/catch.hpp>

#include "membership/gossip_message.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart{seconds(1000)};

View MakeView(int count) {
  View view;
  view.version = 1;
  for (int i = 0; i < count; ++i) {
    const std::string name = "m" + std::to_string(i);
    view.members[name] = {name, "inc", "", name, "d"};
  }
  return view;
}

MembershipState MakeMember(const std::string& name, int count = 5) {
  return ApplyView(MakeMembership(name, "inc", name), MakeView(count), 1);
}

// Exchanges a gossip request and its reply. Returns the state of the requester.
MembershipState ExchangeGossip(MembershipState requester,
                               MembershipState responder,
                               TimePoint sent_at,
                               TimePoint replied_at) {
  GossipStep request =
      MakeGossipRequest(std::move(requester), responder.name, 7, sent_at);
  GossipStep reply =
      HandleGossip(std::move(responder), *request.message, replied_at);
  return HandleGossip(std::move(request.state), *reply.message, replied_at)
      .state;
}

TEST_CASE("a read of the log grants a view lease of its full duration") {
  const MembershipState member = RecordLogTail(MakeMember("m0"), 1, kStart);
  CHECK(HasViewLease(member, kStart + kViewLeaseDuration - milliseconds(1)));
  CHECK_FALSE(HasViewLease(member, kStart + kViewLeaseDuration));
}

TEST_CASE("a read with a newer tail does not confirm an old offset") {
  CHECK_FALSE(HasViewLease(RecordLogTail(MakeMember("m0"), 2, kStart), kStart));
}

TEST_CASE("a relayed confirmation ages from the request, however late") {
  const MembershipState reader = RecordLogTail(MakeMember("m1"), 1, kStart);
  const TimePoint sent_at = kStart + milliseconds(500);
  // The reply is delayed by two seconds.
  const MembershipState member = ExchangeGossip(
      MakeMember("m0"), reader, sent_at, kStart + milliseconds(2'500));
  // The reader reports an age of 2.5 s, which counts from the request.
  CHECK_FALSE(HasViewLease(member, kStart + milliseconds(2'501)));
}

TEST_CASE("without the log, replies of a majority grant a view lease") {
  MembershipState member = MakeMember("m0");
  member = ExchangeGossip(std::move(member), MakeMember("m1"), kStart, kStart);
  CHECK_FALSE(HasViewLease(member, kStart + milliseconds(1)));  // two of five
  member = ExchangeGossip(std::move(member), MakeMember("m2"), kStart, kStart);
  CHECK(HasViewLease(member, kStart + milliseconds(1)));  // three of five
  CHECK_FALSE(HasViewLease(member, kStart + kViewLeaseDuration));
}

TEST_CASE("members with another offset do not count to the majority") {
  MembershipState ahead = ApplyView(MakeMember("m2"), MakeView(5), 2);
  MembershipState member = MakeMember("m0");
  member = ExchangeGossip(std::move(member), MakeMember("m1"), kStart, kStart);
  member = ExchangeGossip(std::move(member), std::move(ahead), kStart, kStart);
  CHECK_FALSE(HasViewLease(member, kStart + milliseconds(1)));
}

MembershipState BlockedByGap(MembershipState state) {
  state.is_blocked_by_gap = true;
  return state;
}

TEST_CASE("a gap is bridged only if it blocks a majority") {
  const TimePoint now = kStart + milliseconds(1);
  MembershipState member = BlockedByGap(MakeMember("m0"));
  member = ExchangeGossip(std::move(member), BlockedByGap(MakeMember("m1")),
                          kStart, kStart);
  member = ExchangeGossip(std::move(member), MakeMember("m2"), kStart, kStart);
  CHECK_FALSE(IsMajorityBlockedByGap(member, now));  // m2 is not blocked
  member = ExchangeGossip(std::move(member), BlockedByGap(MakeMember("m3")),
                          kStart, kStart);
  CHECK(IsMajorityBlockedByGap(member, now));
  CHECK_FALSE(IsMajorityBlockedByGap(member, kStart + kViewLeaseDuration));
  member.is_blocked_by_gap = false;
  CHECK_FALSE(IsMajorityBlockedByGap(member, now));
}

TEST_CASE("a gap is not bridged if a member has a newer offset") {
  MembershipState member = BlockedByGap(MakeMember("m0"));
  for (const std::string name : {"m1", "m2", "m3"}) {
    member = ExchangeGossip(std::move(member), BlockedByGap(MakeMember(name)),
                            kStart, kStart);
  }
  const MembershipState ahead = ApplyView(MakeMember("m4"), MakeView(5), 2);
  member = ExchangeGossip(std::move(member), ahead, kStart, kStart);
  CHECK_FALSE(IsMajorityBlockedByGap(member, kStart + milliseconds(1)));
}

TEST_CASE("a member that does not reply is suspected, then unresponsive") {
  MembershipState member =
      MakeGossipRequest(MakeMember("m0"), "m3", 1, kStart).state;
  const TimePoint late = kStart + kReplyTimeout;
  member = ExpireGossipRequests(std::move(member), late);
  CHECK(member.suspects.contains("m3"));
  CHECK(FindUnresponsiveMembers(member, late).empty());
  CHECK(FindUnresponsiveMembers(member, late + kSuspicionTimeout) ==
        std::vector<std::string>{"m3"});
  member = HandleProbeSuccess(std::move(member), {"m3", "inc"});
  CHECK(FindUnresponsiveMembers(member, late + kSuspicionTimeout).empty());
}

TEST_CASE("a reply of an earlier incarnation is ignored") {
  MembershipState old = MakeMember("m1");
  old.incarnation = "older";
  const MembershipState member =
      ExchangeGossip(MakeMember("m0"), RecordLogTail(std::move(old), 1, kStart),
                     kStart, kStart);
  CHECK_FALSE(HasViewLease(member, kStart + milliseconds(1)));
  CHECK(member.last_replies.empty());
}

TEST_CASE("gossip decodes to an equal message, malformed text is rejected") {
  const GossipMessage message =
      *MakeGossipRequest(RecordLogTail(MakeMember("m0"), 1, kStart), "m1", 9,
                         kStart)
           .message;
  CHECK(GossipMessageFromJson(ToJson(message)) == message);
  Json::Value broken = ToJson(message);
  broken["hold"] = "zz";
  CHECK_FALSE(GossipMessageFromJson(broken));
}

TEST_CASE("unknown fields of a later version are ignored") {
  GossipMessage message;
  message.sender = "m1";
  message.incarnation = "inc";
  message.reply_address = "127.0.0.1:1";
  message.offset = 12;
  message.view_version = 3;
  message.tail_confirmed_age_ms = 40;
  Json::Value json = ToJson(message);
  json["a_field_of_tomorrow"]["with"] = "content";
  const auto decoded = GossipMessageFromJson(json);
  REQUIRE(decoded);
  CHECK(*decoded == message);
}

}  // namespace
}  // namespace parsleyquay
