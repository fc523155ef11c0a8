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

MembershipState MakeNode(const std::string& name, int count = 5) {
  return ApplyView(MakeMembership(name, "inc", name), MakeView(count), 1);
}

// Lets `asker` question `asked`, with the times of question and answer.
MembershipState ExchangeGossip(MembershipState asker,
                               MembershipState asked,
                               TimePoint sent_at,
                               TimePoint answered_at) {
  GossipStep request =
      MakeGossipRequest(std::move(asker), asked.name, 7, sent_at);
  GossipStep reply =
      HandleGossip(std::move(asked), *request.message, answered_at);
  return HandleGossip(std::move(request.state), *reply.message, answered_at)
      .state;
}

TEST_CASE("a member acts for the freshness limit after its own read") {
  const MembershipState node = RecordLogTail(MakeNode("m0"), 1, kStart);
  CHECK(HasViewLease(node, kStart + kViewLeaseDuration - milliseconds(1)));
  CHECK_FALSE(HasViewLease(node, kStart + kViewLeaseDuration));
}

TEST_CASE("a read of a longer log is no evidence for an old offset") {
  CHECK_FALSE(HasViewLease(RecordLogTail(MakeNode("m0"), 2, kStart), kStart));
}

TEST_CASE("relayed evidence ages from the question, however late the answer") {
  const MembershipState reader = RecordLogTail(MakeNode("m1"), 1, kStart);
  const TimePoint asked = kStart + milliseconds(500);
  // The answer is held up for two seconds on its way.
  const MembershipState node = ExchangeGossip(MakeNode("m0"), reader, asked,
                                              kStart + milliseconds(2'500));
  // The reader's clock says 2.5 s of age, counted from the question.
  CHECK_FALSE(HasViewLease(node, kStart + milliseconds(2'501)));
}

TEST_CASE("without the log, a majority that answered carries a member") {
  MembershipState node = MakeNode("m0");
  node = ExchangeGossip(std::move(node), MakeNode("m1"), kStart, kStart);
  CHECK_FALSE(HasViewLease(node, kStart + milliseconds(1)));  // two of five
  node = ExchangeGossip(std::move(node), MakeNode("m2"), kStart, kStart);
  CHECK(HasViewLease(node, kStart + milliseconds(1)));  // three of five
  CHECK_FALSE(HasViewLease(node, kStart + kViewLeaseDuration));
}

TEST_CASE("members with another offset support no one") {
  MembershipState ahead = ApplyView(MakeNode("m2"), MakeView(5), 2);
  MembershipState node = MakeNode("m0");
  node = ExchangeGossip(std::move(node), MakeNode("m1"), kStart, kStart);
  node = ExchangeGossip(std::move(node), std::move(ahead), kStart, kStart);
  CHECK_FALSE(HasViewLease(node, kStart + milliseconds(1)));
}

MembershipState BehindGap(MembershipState state) {
  state.is_blocked_by_gap = true;
  return state;
}

TEST_CASE("a gap is bridged only where a majority stands behind it") {
  const TimePoint now = kStart + milliseconds(1);
  MembershipState node = BehindGap(MakeNode("m0"));
  node = ExchangeGossip(std::move(node), BehindGap(MakeNode("m1")), kStart,
                        kStart);
  node = ExchangeGossip(std::move(node), MakeNode("m2"), kStart, kStart);
  CHECK_FALSE(IsMajorityBlockedByGap(node, now));  // m2 may read on
  node = ExchangeGossip(std::move(node), BehindGap(MakeNode("m3")), kStart,
                        kStart);
  CHECK(IsMajorityBlockedByGap(node, now));
  CHECK_FALSE(IsMajorityBlockedByGap(node, kStart + kViewLeaseDuration));
  node.is_blocked_by_gap = false;
  CHECK_FALSE(IsMajorityBlockedByGap(node, now));
}

TEST_CASE("a gap is not bridged while a member is known to hold more") {
  MembershipState node = BehindGap(MakeNode("m0"));
  for (const std::string name : {"m1", "m2", "m3"}) {
    node = ExchangeGossip(std::move(node), BehindGap(MakeNode(name)), kStart,
                          kStart);
  }
  const MembershipState ahead = ApplyView(MakeNode("m4"), MakeView(5), 2);
  node = ExchangeGossip(std::move(node), ahead, kStart, kStart);
  CHECK_FALSE(IsMajorityBlockedByGap(node, kStart + milliseconds(1)));
}

TEST_CASE("a member that does not answer is suspected and then silent") {
  MembershipState node =
      MakeGossipRequest(MakeNode("m0"), "m3", 1, kStart).state;
  const TimePoint late = kStart + kReplyTimeout;
  node = ExpireGossipRequests(std::move(node), late);
  CHECK(node.suspects.contains("m3"));
  CHECK(FindUnresponsiveMembers(node, late).empty());
  CHECK(FindUnresponsiveMembers(node, late + kSuspicionTimeout) ==
        std::vector<std::string>{"m3"});
  node = HandleProbeSuccess(std::move(node), {"m3", "inc"});
  CHECK(FindUnresponsiveMembers(node, late + kSuspicionTimeout).empty());
}

TEST_CASE("an answer of an earlier incarnation counts for nothing") {
  MembershipState old = MakeNode("m1");
  old.incarnation = "older";
  const MembershipState node = ExchangeGossip(
      MakeNode("m0"), RecordLogTail(std::move(old), 1, kStart), kStart, kStart);
  CHECK_FALSE(HasViewLease(node, kStart + milliseconds(1)));
  CHECK(node.last_replies.empty());
}

TEST_CASE(
    "gossip reads back as it was written, and malformed text is refused") {
  const GossipMessage message =
      *MakeGossipRequest(RecordLogTail(MakeNode("m0"), 1, kStart), "m1", 9,
                         kStart)
           .message;
  CHECK(GossipMessageFromJson(ToJson(message)) == message);
  Json::Value broken = ToJson(message);
  broken["hold"] = "zz";
  CHECK_FALSE(GossipMessageFromJson(broken));
}

TEST_CASE("a message of a later version, with fields unknown here, is read") {
  GossipMessage message;
  message.sender = "m1";
  message.incarnation = "inc";
  message.reply_address = "127.0.0.1:1";
  message.offset = 12;
  message.view_version = 3;
  message.tail_confirmed_age_ms = 40;
  Json::Value json = ToJson(message);
  json["a_field_of_tomorrow"]["with"] = "content";
  const auto read = GossipMessageFromJson(json);
  REQUIRE(read);
  CHECK(*read == message);
}

}  // namespace
}  // namespace parsleyquay
