// Several instances of one failure domain that all act as its aggregator, as
// happens briefly after many restarts.

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "base/rendezvous.h"
#include "dissemination/digest.h"
#include "peer/peer_transport.h"
#include "support/gateway_fixture.h"

namespace parsleyquay {
namespace {

// A digest with more outcomes is not forwarded, so that a test ends even if the
// outcomes multiply without bound.
constexpr long kMaxForwardedOutcomes = 1L << 26;

constexpr Duration kForwardInterval = milliseconds(5);

// Another aggregator, which forwards all outcomes that it receives, as
// instances of earlier versions do.
struct EchoingPeer {
  EchoingPeer(GatewayFixture& fixture,
              const std::string& name,
              const std::string& failure_domain)
      : record({.name = name,
                .failure_domain = failure_domain,
                .request_address = FreeAddress(),
                .peer_address = FreeAddress(),
                .incarnation = "i-" + name}),
        timer(fixture.loop, [this, &fixture] { this->Forward(fixture); }) {
    RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(
              this->transport,
              PeerTransport::Create(
                  fixture.loop, this->record.peer_address, fixture.secret,
                  {kDigestMethod, "heartbeat", "members_wanted"},
                  [this, &fixture](const std::string& method,
                                   const Json::Value& parameters) {
                    if (method == kDigestMethod) {
                      this->OnDigest(fixture, parameters);
                    }
                  }));
          return {};
        },
        [](const Error& error) { FAIL(ToString(error)); });
    fixture.members.Append({name, this->record});
    this->timer.StartRepeating(kForwardInterval);
  }

  void OnDigest(GatewayFixture& fixture, const Json::Value& parameters) {
    const TimePoint now = fixture.loop.Now();
    const auto digest = DecodeDigest(parameters, now);
    REQUIRE(digest);
    const auto received = static_cast<long>(CountOutcomes(digest->outcomes));
    if (digest->sender == fixture.settings.name) {
      this->heard_from_gateway += received;
      this->announced_position = digest->operator_position;
    }
    if (received <= kMaxForwardedOutcomes) {
      MergeSummary(this->unsent, digest->outcomes);
    }
  }

  void Forward(GatewayFixture& fixture) {
    if (!this->unsent.is_empty()) {
      this->SendOutcomes(fixture, std::exchange(this->unsent, {}));
    }
  }

  void SendOutcomes(GatewayFixture& fixture, const OutcomeSummary& outcomes) {
    const Digest digest{.sender = this->record.name, .outcomes = outcomes};
    this->transport->SendToAll(this->others, kDigestMethod,
                               EncodeDigest(digest, fixture.loop.Now()));
  }

  MemberRecord record;
  std::unique_ptr<PeerTransport> transport;
  std::vector<std::string> others;  // peer addresses
  OutcomeSummary unsent;
  long heard_from_gateway = 0;
  FeedPosition announced_position;  // in the gateway's newest digest
  Timer timer;
};

// Returns names of members that rank behind the gateway as aggregators.
std::vector<std::string> NamesRankedBehind(const std::string& gateway,
                                           std::size_t count) {
  std::vector<std::string> names;
  for (int i = 0; names.size() < count; ++i) {
    const std::string name = "peer-" + std::to_string(i);
    if (RankByRendezvous("aggregator", {gateway, name}).front() == gateway) {
      names.push_back(name);
    }
  }
  return names;
}

// The gateway and peer b are in failure domain "x".
struct ThreeAggregators : GatewayFixture {
  explicit ThreeAggregators(const std::string& domain_of_a = "x") {
    this->AddServer("s-1", [](const RawRequest& request) {
      return RawResponse{SignedOkResponse(request, "fine")};
    });
    this->Configure(1);
    REQUIRE(this->AwaitReady());
    REQUIRE(this->Await([&] { return !this->secret.empty(); }));
    const auto names = NamesRankedBehind(this->settings.name, 2);
    this->a = std::make_unique<EchoingPeer>(*this, names[0], domain_of_a);
    this->b = std::make_unique<EchoingPeer>(*this, names[1], "x");
    this->a->others = {this->settings.peer_address,
                       this->b->record.peer_address};
    this->b->others = {this->settings.peer_address,
                       this->a->record.peer_address};
    // The gateway rereads the member records some time after its start.
    this->RunFor(seconds(2));
  }

  OutcomeSummary OneFailure() const {
    OutcomeSummary outcomes;
    AddOutcome(outcomes, {"s-1", ServerOutcome::kFailed, -1}, this->loop.Now());
    return outcomes;
  }

  std::unique_ptr<EchoingPeer> a;
  std::unique_ptr<EchoingPeer> b;
};

// Guards against outcomes that aggregators of one failure domain forward to
// each other again and again, each time counted as new ones.
TEST_CASE(
    "outcomes of an aggregator in the same failure domain are not forwarded") {
  ThreeAggregators fleet;
  fleet.b->others = {};
  fleet.a->SendOutcomes(fleet, fleet.OneFailure());
  fleet.RunFor(milliseconds(600));
  CHECK(fleet.a->heard_from_gateway == 0);
  CHECK(fleet.b->heard_from_gateway == 0);
}

TEST_CASE(
    "outcomes of an aggregator in another failure domain are forwarded once") {
  ThreeAggregators fleet("y");
  fleet.a->others = {fleet.settings.peer_address};
  fleet.b->others = {};
  fleet.a->SendOutcomes(fleet, fleet.OneFailure());
  fleet.RunFor(milliseconds(600));
  CHECK(fleet.a->heard_from_gateway == 0);
  CHECK(fleet.b->heard_from_gateway == 1);
}

// Guards against instances that miss a configuration because their aggregator,
// which the store turns away, does not tell them that it exists.
TEST_CASE(
    "an aggregator without the store announces changes that others read") {
  constexpr FeedPosition kNewPosition = {.offset = 100};
  ThreeAggregators fleet("y");
  fleet.operators.SetAvailable(false);
  fleet.a->transport->Send(fleet.settings.peer_address, kDigestMethod,
                           EncodeDigest({.sender = fleet.a->record.name,
                                         .operator_position = kNewPosition},
                                        fleet.loop.Now()));
  CHECK(fleet.Await([&] { return fleet.b->announced_position == kNewPosition; },
                    seconds(1)));
}

// Guards against computation proportional to a count in a message: it would
// block the event loop of the instance that receives it.
TEST_CASE("a digest of very many outcomes does not block the event loop") {
  constexpr long kManyOutcomes = 1L << 28;
  ThreeAggregators fleet("y");
  OutcomeSummary outcomes = fleet.OneFailure();
  outcomes.servers["s-1"].counts[ServerOutcome::kFailed] = kManyOutcomes;
  fleet.a->SendOutcomes(fleet, outcomes);
  const TimePoint told_at = fleet.loop.Now();
  REQUIRE(fleet.Await([&] {
    return fleet.Get(fleet.settings.metrics_address, "/")
               .body.find("outcomes_told") != std::string::npos;
  }));
  CHECK(fleet.loop.Now() - told_at < milliseconds(500));
}

// Guards against a configuration change that takes effect late because the
// instance is busy with outcomes that three aggregators multiply.
TEST_CASE(
    "a configuration takes effect in time while aggregators echo outcomes") {
  constexpr Duration kInForce = seconds(2);
  constexpr std::uint64_t kNewVersion = 2;
  ThreeAggregators fleet;
  fleet.a->SendOutcomes(fleet, fleet.OneFailure());
  fleet.RunFor(milliseconds(300));
  fleet.Configure(kNewVersion);
  const TimePoint published_at = fleet.loop.Now();
  const std::string expected = "configuration_version 2";
  REQUIRE(fleet.Await([&] {
    return fleet.Get(fleet.settings.metrics_address, "/").body.find(expected) !=
           std::string::npos;
  }));
  CHECK(fleet.loop.Now() - published_at < kInForce);
}

}  // namespace
}  // namespace parsleyquay
