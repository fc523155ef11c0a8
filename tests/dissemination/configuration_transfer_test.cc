// How the operators' changes get from an aggregator to the members: the text,
// its fragments, the state that results, and who asks and answers when.

#include "dissemination/configuration_transfer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>

#include "dissemination/configuration_source.h"
#include "dissemination/operator_change_codec.h"
#include "dissemination/operator_state.h"
#include "dissemination/transfer_queue.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));
constexpr std::size_t kNoLimit = 1'000'000;  // bytes in an interval

FleetConfiguration MakeConfiguration(std::uint64_t version, int workspaces) {
  FleetConfiguration configuration{.version = version};
  configuration.routes = {{.name = "r-\"1\"\\",
                           .host = "a.example",
                           .path_prefix = "/p/",
                           .services = {{"one", 0.1}, {"two", 1.0 / 3}},
                           .is_idempotent = true,
                           .timeout = Duration(1'234'567),
                           .latency_target = Duration(999),
                           .priority = 3,
                           .max_servers = 7},
                          {.name = "r-2", .is_bulk = true, .is_public = true}};
  configuration.services = {{"one", {5, Duration(77), 2.5}}, {"two", {}}};
  for (int i = 0; i < workspaces; ++i) {
    configuration.workspaces["w-" + std::to_string(i)] = {
        .key_digests = {std::string(64, 'a'), std::to_string(i)},
        .priority = i % 2 == 0 ? std::optional(i % 5) : std::nullopt,
        .requests_per_second = 0.1 * i,
        .burst = 1e9 / 7};
  }
  configuration.limits = {1, 2, Duration(3), Duration(4)};
  return configuration;
}

ConfigurationTransfer MakeLargeTransfer(FeedPosition position,
                                        unsigned seed = 1) {
  std::mt19937 random(seed);
  std::string text(40'000, ' ');
  std::ranges::generate(text, [&] { return static_cast<char>(random()); });
  return MakeTransfer(position, std::move(text));
}

std::vector<ConfigurationFragment> AllFragments(
    const ConfigurationTransfer& transfer,
    const std::string& sender = "agg") {
  std::vector<ConfigurationFragment> fragments;
  for (std::uint64_t i = 0; i < CountFragments(transfer); ++i) {
    const auto decoded =
        DecodeFragment(EncodeFragment(MakeFragment(transfer, sender, i)));
    REQUIRE(decoded);
    fragments.push_back(*decoded);
  }
  return fragments;
}

// Guards against a member with another configuration than the aggregator.
TEST_CASE("operators' changes are encoded without loss") {
  const std::vector<OperatorChange> changes = {
      MakeConfiguration(9'007'199'254'740'993, 5),
      DomainWithdrawal{"x", true},
      DomainWithdrawal{std::string("\x00\xff\n", 3), false},
      RolloutRequestChange{"one", RolloutRequest{"one", "v2", Duration(12)}},
      RolloutRequestChange{"two", std::nullopt},
      FleetConfiguration{}};
  // NOTE: Catch cannot print variants, so the comparison is in parentheses.
  CHECK((DecodeOperatorChanges(EncodeOperatorChanges(changes)) == changes));
  CHECK((DecodeOperatorChanges("[]") == std::vector<OperatorChange>()));
}

TEST_CASE("malformed texts are rejected") {
  for (const char* text :
       {"", "{}", "[1]", R"([["x","",1]])", R"([["c","",{}]])",
        R"([["c","",{"v":1,"r":[[1]],"l":[1,2,3,4]}]])", R"([["d",{},true]])",
        R"([["r","one",["one"]]])"}) {
    INFO(text);
    CHECK_FALSE(DecodeOperatorChanges(text).has_value());
  }
}

TEST_CASE("fragments are complete in any order and despite duplicates") {
  const ConfigurationTransfer transfer = MakeLargeTransfer({1, 7});
  std::vector<ConfigurationFragment> fragments = AllFragments(transfer);
  REQUIRE(fragments.size() == 4);
  std::ranges::reverse(fragments);
  TransferAssembly assembly;
  for (std::size_t i = 0; i + 1 < fragments.size(); ++i) {
    CHECK(AddFragment(assembly, fragments[i], kStart) ==
          FragmentResult::kAdded);
    CHECK(AddFragment(assembly, fragments[i], kStart) ==
          FragmentResult::kIgnored);
  }
  CHECK(AddFragment(assembly, fragments.back(), kStart) ==
        FragmentResult::kComplete);
  CHECK(TakeText(assembly) == transfer.text);
  CHECK(assembly == TransferAssembly());
}

// Guards against a transfer that never ends because its sender has died.
TEST_CASE("another member completes a transfer") {
  const ConfigurationTransfer transfer = MakeLargeTransfer({0, 7});
  const auto first = AllFragments(transfer, "dead");
  TransferAssembly assembly;
  AddFragment(assembly, first[0], kStart);
  AddFragment(assembly, first[2], kStart);
  SECTION("with the same content, from the missing fragments") {
    const auto second = AllFragments(transfer, "other");
    CHECK(AddFragment(assembly, second[1], kStart) == FragmentResult::kAdded);
    CHECK(AddFragment(assembly, second[3], kStart) ==
          FragmentResult::kComplete);
    CHECK(TakeText(assembly) == transfer.text);
  }
  SECTION("with other content, once the first has made no progress") {
    const ConfigurationTransfer different = MakeLargeTransfer({0, 7}, 2);
    const auto second = AllFragments(different, "other");
    CHECK(AddFragment(assembly, second[0], kStart) == FragmentResult::kIgnored);
    const TimePoint later = kStart + kTransferSilence;
    for (const ConfigurationFragment& fragment : second) {
      AddFragment(assembly, fragment, later);
    }
    CHECK(TakeText(assembly) == different.text);
  }
}

TEST_CASE("a transfer of a later position replaces one of an earlier") {
  const auto old_fragments = AllFragments(MakeLargeTransfer({0, 7}));
  const ConfigurationTransfer newer = MakeLargeTransfer({0, 8}, 2);
  TransferAssembly assembly;
  AddFragment(assembly, old_fragments[0], kStart);
  for (const ConfigurationFragment& fragment : AllFragments(newer)) {
    AddFragment(assembly, fragment, kStart);
    CHECK(AddFragment(assembly, old_fragments[1], kStart) ==
          FragmentResult::kIgnored);
    if (assembly.count == 1) {
      break;
    }
  }
  CHECK(TakeText(assembly) == newer.text);
}

TEST_CASE("a transfer with a wrong hash or length is dropped") {
  ConfigurationTransfer transfer = MakeLargeTransfer({0, 7});
  SECTION("hash") {
    transfer.text[5] ^= 1;
  }
  SECTION("more bytes than announced") {
    transfer.id.length -= 1;
  }
  SECTION("fewer bytes than announced") {
    transfer.id.length += 1;
  }
  TransferAssembly assembly;
  FragmentResult result = FragmentResult::kIgnored;
  for (const ConfigurationFragment& fragment : AllFragments(transfer)) {
    result = AddFragment(assembly, fragment, kStart);
  }
  CHECK(result == FragmentResult::kCorrupt);
  CHECK(assembly == TransferAssembly());
}

// Guards against memory that a sender can claim without a limit.
TEST_CASE("fragments beyond the limits are rejected") {
  ConfigurationFragment fragment =
      MakeFragment(MakeLargeTransfer({0, 7}), "agg", 0);
  SECTION("length") {
    fragment.id.length = kMaxTransferBytes + 1;
  }
  SECTION("count") {
    fragment.count = 1'000'000;
  }
  SECTION("index") {
    fragment.index = fragment.count;
  }
  SECTION("bytes") {
    fragment.bytes.resize(kFragmentBytes + 1);
  }
  CHECK_FALSE(DecodeFragment(EncodeFragment(fragment)));
}

TEST_CASE("a state of another era or an earlier position is rejected") {
  const FeedPosition own{2, 10};
  CHECK(IsAcceptablePosition({2, 11}, own, 2));
  CHECK_FALSE(IsAcceptablePosition({2, 10}, own, 2));
  CHECK_FALSE(IsAcceptablePosition({1, 99}, own, 2));
  CHECK_FALSE(IsAcceptablePosition({3, 11}, own, 3));  // has to read itself
  CHECK_FALSE(IsAcceptablePosition({3, 11}, own, 2));
  CHECK(IsAcceptablePosition({2, 1}, std::nullopt, 2));
  CHECK_FALSE(IsAcceptablePosition({1, 1}, std::nullopt, 2));
}

TEST_CASE("requests keep their content") {
  ConfigurationRequest request{"m", std::nullopt, 3, {1, 2}};
  CHECK(DecodeConfigurationRequest(EncodeConfigurationRequest(request)) ==
        request);
  request.position = FeedPosition{0, 0};
  CHECK(DecodeConfigurationRequest(EncodeConfigurationRequest(request)) ==
        request);
  CHECK_FALSE(DecodeConfigurationRequest(Json::Value(Json::objectValue)));
}

// Guards against a withdrawal or rollout request that a member keeps although
// it was deleted, or loses although the store has only lost it.
TEST_CASE("a peer's state replaces that of the same era") {
  const RolloutRequest request{"one", "v2", seconds(12)};
  OperatorState state;
  ApplyReadChanges(
      state, {DomainWithdrawal{"x"}, RolloutRequestChange{"one", request}},
      ChangeSetKind::kSnapshot, true, 1);
  SECTION("what is the same is not applied again") {
    const auto told = ListChanges(state, 1);
    CHECK(ApplyPeerState(state, told, 1).empty());
  }
  SECTION("what is missing was deleted") {
    const std::vector<OperatorChange> expected = {
        DomainWithdrawal{"x", false}, RolloutRequestChange{"one", {}}};
    CHECK((ApplyPeerState(state, {}, 1) == expected));
    CHECK(WithdrawnDomains(state).empty());
  }
  SECTION("what is missing and was read in an earlier era stays") {
    CHECK(ApplyPeerState(state, {}, 2).empty());
    CHECK(WithdrawnDomains(state) == std::set<std::string>{"x"});
  }
  SECTION("deletions that the peer knows are applied") {
    OperatorState other = state;
    ApplyReadChanges(other,
                     {DomainWithdrawal{"x", false},
                      RolloutRequestChange{"one", std::nullopt}},
                     ChangeSetKind::kIncremental, false, 2);
    CHECK(ApplyPeerState(state, ListChanges(other, 2), 2).size() == 2);
    CHECK(WithdrawnDomains(state).empty());
  }
  SECTION("what is kept from an earlier era is not told") {
    ApplyReadChanges(state, {DomainWithdrawal{"y"}}, ChangeSetKind::kSnapshot,
                     true, 2);
    const std::vector<OperatorChange> expected = {DomainWithdrawal{"y"}};
    CHECK((ListChanges(state, 2) == expected));
  }
  SECTION("a snapshot clears, except for the first one of an era") {
    OperatorState first = state;
    ApplyReadChanges(first, {}, ChangeSetKind::kSnapshot, true, 2);
    CHECK(WithdrawnDomains(first) == std::set<std::string>{"x"});
    ApplyReadChanges(first, {}, ChangeSetKind::kSnapshot, false, 2);
    CHECK(WithdrawnDomains(first).empty());
  }
}

// An instance that has read up to {0, 5} and can answer with a large text.
struct Answering {
  Answering() {
    this->source = {.name = "agg",
                    .position = {0, 5},
                    .make_transfer = [this](std::uint64_t) {
                      ++this->made;
                      return std::make_shared<const ConfigurationTransfer>(
                          MakeLargeTransfer({0, 5}));
                    }};
  }
  TransferQueue queue;
  TransferSource source;
  int made = 0;
};

// Guards against an aggregator whose link is filled by many starting members.
TEST_CASE("a limited number of bytes is sent in each interval") {
  const int members = GENERATE(4, 20);
  Answering answering;
  for (int i = 0; i < members; ++i) {
    AddRequest(answering.queue, {"m-" + std::to_string(i), {}, 0, {0, 5}},
               kStart);
  }
  std::map<std::string, int> sent;
  int intervals = 0;
  for (TimePoint now = kStart; !answering.queue.pending.empty();
       now += milliseconds(10)) {
    const auto fragments =
        TakeFragments(answering.queue, answering.source, 50'000, now);
    CHECK(fragments.size() <= 3);
    intervals += fragments.empty() ? 0 : 1;
    for (const OutgoingFragment& outgoing : fragments) {
      ++sent[outgoing.member];
    }
  }
  // 4 members of 3 full fragments of 16.6 KB and one of 5.9 KB each. The others
  // have read the store by then.
  CHECK(intervals == 6);
  CHECK(sent.size() == 4);
  CHECK(std::ranges::all_of(sent,
                            [](const auto& item) { return item.second == 4; }));
}

// Guards against a small change that reaches the members late because each has
// an interval of its own.
TEST_CASE("small fragments are limited by their number") {
  Answering answering;
  answering.source.make_transfer = [](std::uint64_t) {
    return std::make_shared<const ConfigurationTransfer>(
        MakeTransfer({0, 5}, "[]"));
  };
  for (int i = 0; i < 40; ++i) {
    AddRequest(answering.queue, {"m-" + std::to_string(i), {}, 0, {0, 5}},
               kStart);
  }
  const auto send = [&](Duration elapsed) {
    return TakeFragments(answering.queue, answering.source,
                         BytesPerInterval(10), kStart + elapsed)
        .size();
  };
  CHECK(send(Duration(0)) == kFragmentsPerInterval);
  CHECK(send(milliseconds(10)) == 0);
  CHECK(send(kTransferInterval) == 40 - kFragmentsPerInterval);
}

TEST_CASE("a link is filled to half at most, but for one fragment") {
  CHECK(BytesPerInterval(10) == 31'250);
  Answering answering;
  AddRequest(answering.queue, {"m", {}, 0, {0, 5}}, kStart);
  CHECK(TakeFragments(answering.queue, answering.source, BytesPerInterval(0.01),
                      kStart)
            .size() == 1);
}

TEST_CASE("a member has one transfer at a time") {
  Answering answering;
  const ConfigurationRequest request{"m", {}, 0, {0, 5}};
  AddRequest(answering.queue, request, kStart);
  CHECK(
      TakeFragments(answering.queue, answering.source, 40'000, kStart).size() ==
      2);
  AddRequest(answering.queue, request, kStart);
  const auto rest = TakeFragments(answering.queue, answering.source, kNoLimit,
                                  kStart + kTransferInterval);
  CHECK(rest.size() == 2);
  CHECK(answering.made == 1);
  CHECK(answering.queue.pending.empty());
}

// Guards against an aggregator that answers with a state that is too old.
TEST_CASE("a request waits until the state has been read") {
  Answering answering;
  AddRequest(answering.queue, {"m", FeedPosition{0, 3}, 0, {0, 6}}, kStart);
  AddRequest(answering.queue, {"same", FeedPosition{0, 5}, 0, {0, 5}}, kStart);
  CHECK(TakeFragments(answering.queue, answering.source, kNoLimit, kStart)
            .empty());
  SECTION("it is answered then") {
    answering.source.position = {0, 6};
    CHECK(TakeFragments(answering.queue, answering.source, kNoLimit,
                        kStart + milliseconds(20))
              .size() == 8);
  }
  SECTION("it is dropped after some time") {
    CHECK(TakeFragments(answering.queue, answering.source, kNoLimit,
                        kStart + seconds(1))
              .empty());
    CHECK(answering.queue.pending.empty());
  }
}

TEST_CASE("the aggregator is asked first, then the standby") {
  RequestSchedule schedule;
  const std::vector<std::string> members = {"agg", "standby"};
  const auto ask = [&](Duration elapsed, TimePoint progressed_at = {}) {
    return NextToAsk(schedule, members, progressed_at, kStart + elapsed);
  };
  CHECK(ask(Duration(0)) == "agg");
  CHECK_FALSE(ask(kAnswerTime - milliseconds(1)));
  SECTION("in time") {
    CHECK(ask(kAnswerTime) == "standby");
    CHECK_FALSE(ask(kAnswerTime * 3));
    CHECK(ask(kRequestRound) == "agg");
  }
  SECTION("not while the aggregator answers") {
    const TimePoint progressed_at = kStart + milliseconds(50);
    CHECK_FALSE(ask(kAnswerTime, progressed_at));
    CHECK(ask(milliseconds(50) + kAnswerTime, progressed_at) == "standby");
  }
}

TEST_CASE("only members that hear a serving aggregator do not read") {
  AggregatorElection election{.name = "m",
                              .role = {.is_without_aggregator = false},
                              .candidates = {"agg", "standby", "m"}};
  const auto decide = [&](bool is_served, Duration elapsed = seconds(9)) {
    return DecideSource(election, is_served, kStart + seconds(1),
                        kStart + elapsed);
  };
  CHECK(decide(true) == SourceDecision{ConfigurationSource::kAggregator,
                                       SourceReason::kFollowsAggregator});
  CHECK(decide(false) == SourceDecision{ConfigurationSource::kStore,
                                        SourceReason::kAggregatorServesNone});
  CHECK(decide(false, Duration(0)) ==
        SourceDecision{ConfigurationSource::kAggregator,
                       SourceReason::kStarting});
  CHECK(MembersToAsk(election, "") ==
        std::vector<std::string>{"agg", "standby"});
  CHECK(MembersToAsk(election, "standby") == std::vector<std::string>{
                                                 "standby",
                                                 "agg",
                                             });
  election.role.is_standby = true;
  CHECK(decide(true).reason == SourceReason::kIsStandby);
  election.role.is_aggregator = true;
  CHECK(decide(true).reason == SourceReason::kIsAggregator);
  election.role = {.is_without_aggregator = true};
  CHECK(decide(true) == SourceDecision{ConfigurationSource::kStore,
                                       SourceReason::kNoAggregator});
}

TEST_CASE("a starting instance waits for an aggregator for a short time") {
  AggregatorElection election;
  RequestSchedule schedule;
  const auto has_to_read = [&](Duration elapsed) {
    return HasToReadAtStart(election, schedule, kStart, kStart + elapsed);
  };
  CHECK_FALSE(has_to_read(milliseconds(299)));
  CHECK(has_to_read(milliseconds(300)));
  SECTION("longer if it has asked one") {
    NextToAsk(schedule, {"agg"}, {}, kStart + milliseconds(200));
    CHECK_FALSE(has_to_read(milliseconds(349)));
    CHECK(has_to_read(milliseconds(350)));
  }
  SECTION("not if it is one") {
    election.role.is_aggregator = true;
    CHECK(has_to_read(milliseconds(100)));
  }
}

}  // namespace
}  // namespace parsleyquay
