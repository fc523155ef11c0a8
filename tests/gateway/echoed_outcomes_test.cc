// Several instances of one failure domain that all act as its aggregator, as
// they do for a moment after many restarts.

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "base/rendezvous.h"
#include "dissemination/digest.h"
#include "peer/peer_transport.h"
#include "support/gateway_fixture.h"

namespace parsleyquay {
namespace {

// No more than this is told to the gateway, so that a test ends even where the
// outcomes grow without bound.
constexpr long kMostTold = 1L << 26;

constexpr Duration kPassOnInterval = milliseconds(5);

// Another aggregator of the gateway's failure domain, which passes on all that
// it hears, as instances of earlier versions do.
struct EchoingPeer {
  EchoingPeer(GatewayFixture& fixture,
              const std::string& name,
              const std::string& failure_domain)
      : record({.name = name,
                .failure_domain = failure_domain,
                .request_address = FreeAddress(),
                .peer_address = FreeAddress(),
                .incarnation = "i-" + name}),
        timer(fixture.loop, [this, &fixture] { this->PassOn(fixture); }) {
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
    this->timer.StartRepeating(kPassOnInterval);
  }

  void OnDigest(GatewayFixture& fixture, const Json::Value& parameters) {
    const TimePoint now = fixture.loop.Now();
    const auto digest = DecodeDigest(parameters, now);
    REQUIRE(digest);
    const auto heard = static_cast<long>(CountOutcomes(digest->outcomes));
    if (digest->sender == fixture.settings.name) {
      this->heard_from_gateway += heard;
    }
    if (heard <= kMostTold) {
      MergeSummary(this->unsent, digest->outcomes);
    }
  }

  void PassOn(GatewayFixture& fixture) {
    if (!this->unsent.is_empty()) {
      this->Tell(fixture, std::exchange(this->unsent, {}));
    }
  }

  void Tell(GatewayFixture& fixture, const OutcomeSummary& outcomes) {
    const Digest digest{.sender = this->record.name, .outcomes = outcomes};
    this->transport->SendToAll(this->others, kDigestMethod,
                               EncodeDigest(digest, fixture.loop.Now()));
  }

  MemberRecord record;
  std::unique_ptr<PeerTransport> transport;
  std::vector<std::string> others;  // peer addresses
  OutcomeSummary unsent;
  long heard_from_gateway = 0;
  Timer timer;
};

// Names of members whom the gateway precedes as an aggregator.
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

// The gateway is of failure domain "x", and so is peer b.
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
    // The records are read once more when all instances should have started.
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

// Guards against outcomes that aggregators of one failure domain pass back and
// forth, each time as if they were new.
TEST_CASE(
    "what an aggregator of the same failure domain says is not repeated") {
  ThreeAggregators fleet;
  fleet.b->others = {};
  fleet.a->Tell(fleet, fleet.OneFailure());
  fleet.RunFor(milliseconds(600));
  CHECK(fleet.a->heard_from_gateway == 0);
  CHECK(fleet.b->heard_from_gateway == 0);
}

TEST_CASE(
    "what an aggregator of another failure domain says is passed on once") {
  ThreeAggregators fleet("y");
  fleet.a->others = {fleet.settings.peer_address};
  fleet.b->others = {};
  fleet.a->Tell(fleet, fleet.OneFailure());
  fleet.RunFor(milliseconds(600));
  CHECK(fleet.a->heard_from_gateway == 0);
  CHECK(fleet.b->heard_from_gateway == 1);
}

// Guards against work in proportion to a number in a message: the instance that
// reads it must go on serving.
TEST_CASE("a digest of very many outcomes does not hold the loop") {
  constexpr long kManyOutcomes = 1L << 28;
  ThreeAggregators fleet("y");
  OutcomeSummary outcomes = fleet.OneFailure();
  outcomes.servers["s-1"].counts[ServerOutcome::kFailed] = kManyOutcomes;
  fleet.a->Tell(fleet, outcomes);
  const TimePoint told_at = fleet.loop.Now();
  REQUIRE(fleet.Await([&] {
    return fleet.Get(fleet.settings.metrics_address, "/")
               .body.find("outcomes_told") != std::string::npos;
  }));
  CHECK(fleet.loop.Now() - told_at < milliseconds(500));
}

// Guards against a change of configuration that comes into force late, since
// the instance is busy with outcomes that three aggregators multiply.
TEST_CASE("a configuration is in force in time while aggregators echo") {
  constexpr Duration kInForce = seconds(2);
  constexpr std::uint64_t kNewVersion = 2;
  ThreeAggregators fleet;
  fleet.a->Tell(fleet, fleet.OneFailure());
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
