// Several instances' rollout controllers with a store and messages that the
// test controls. The clock is paused and advanced by the test.

#include "gateway/rollout_controller.h"

#include <catch2/catch.hpp>

#include "platform/platform_wire_protocol.h"
#include "support/await.h"
#include "support/fake_feed.h"

namespace parsleyquay {
namespace {

constexpr Duration kStep = milliseconds(50);
constexpr int kServers = 3;  // of each version

struct FakeStore {
  std::vector<RolloutStatus> writes;
  bool is_available = true;

  void Read(const std::function<void(std::optional<RolloutStatusPage>)>& done) {
    if (!this->is_available) {
      return done(std::nullopt);
    }
    RolloutStatusPage page{.position = {.offset = this->writes.size()}};
    if (!this->writes.empty()) {
      page.statuses = {this->writes.back()};
    }
    done(page);
  }

  void Write(const RolloutStatus& status,
             FeedPosition position,
             const std::function<void(PublishOutcome)>& done) {
    if (!this->is_available) {
      return done(PublishOutcome::kUnknown);
    }
    if (position.offset != this->writes.size()) {
      return done(PublishOutcome::kConflict);
    }
    this->writes.push_back(status);
    done(PublishOutcome::kDone);
  }

  long CountTerminal() const {
    return std::ranges::count_if(this->writes, [](const RolloutStatus& status) {
      return IsTerminal(status.phase);
    });
  }
};

struct Instance {
  Instance(EventLoop& loop, FakeStore& store, int number)
      : feed(loop), http(loop) {
    GatewaySettings settings;
    settings.name = "g-" + std::to_string(number);
    settings.bounds.rollout_exposure_share = 0.1;
    settings.bounds.rollout_exposure_slack = 50;
    settings.bounds.rollback_time = seconds(5);
    CoordinationStore coordination;
    coordination.servers = this->feed.feed();
    coordination.read_rollout_statuses = [&store](const auto& done) {
      store.Read(done);
    };
    coordination.write_rollout_status =
        [&store](const RolloutStatus& status, FeedPosition position,
                 const auto& done) { store.Write(status, position, done); };
    this->context = std::make_unique<GatewayContext>(
        loop, settings, this->http, std::move(coordination),
        platform::MakePlatformWireProtocol());
    this->discovery = std::make_unique<ServerDiscovery>(
        *this->context,
        ServerDiscovery::Handlers{.on_new_incarnation = [](const auto&) {},
                                  .on_news = [] {},
                                  .on_gap = [](const auto&) {},
                                  .on_read = [](bool) {}});
    this->controller = std::make_unique<RolloutController>(
        *this->context, *this->discovery,
        RolloutController::Handlers{
            .owns_shard_of = [this](const auto&) { return this->is_driver; },
            .on_news = [] {}});
  }

  std::optional<RolloutStatus> status() const {
    const auto news = this->controller->News();
    return news.empty() ? std::nullopt : std::optional(news.front().status);
  }

  bool is_driver = false;
  bool is_paused = false;
  bool hears = true;
  long exposed = 0;
  FakeFeed<ServerChange> feed;
  HttpClient http;
  std::unique_ptr<GatewayContext> context;
  std::unique_ptr<ServerDiscovery> discovery;
  std::unique_ptr<RolloutController> controller;
};

struct Fleet {
  explicit Fleet(int size = 6) {
    for (int i = 0; i < size; ++i) {
      this->instances.push_back(
          std::make_unique<Instance>(this->loop, this->store, i));
    }
    for (const auto& instance : this->instances) {
      for (const auto& other : this->instances) {
        const MemberRecord record{.name = other->context->settings.name};
        UpdateMemberRecord(instance->context->members, record,
                           this->loop.Now());
      }
      for (int i = 0; i < kServers; ++i) {
        this->List(*instance, "old-" + std::to_string(i), "v1");
        this->List(*instance, "new-" + std::to_string(i), "v2");
      }
      instance->discovery->Start();
    }
    REQUIRE(RunLoopUntil(
        this->loop,
        [&] {
          return std::ranges::all_of(this->instances, [](const auto& instance) {
            return instance->discovery->has_been_loaded();
          });
        },
        seconds(2)));
    this->loop.clock().Pause();
    this->instances[0]->is_driver = true;
  }

  static void List(Instance& instance,
                   const std::string& server,
                   const std::string& version) {
    instance.feed.Append({server, ServerListing{.service = "work",
                                                .address = "127.0.0.1:1",
                                                .failure_domain = "x",
                                                .version = version,
                                                .incarnation = 1,
                                                .sequence = 1}});
  }

  void Request() {
    for (const auto& instance : this->instances) {
      instance->controller->OnRequestChange(
          {"work", RolloutRequest{"work", "v2", seconds(12)}});
    }
  }

  // Runs the fleet with about one request in each step at each instance.
  void RunFor(Duration duration) {
    for (Duration passed; passed < duration; passed += kStep) {
      OutcomeSummary outcomes;
      for (const auto& instance : this->instances) {
        this->SendRequest(*instance, outcomes);
      }
      for (const auto& instance : this->instances) {
        if (!instance->is_paused) {
          instance->controller->OnOutcomes(outcomes);
          instance->controller->Tick();
        }
      }
      this->Exchange();
      this->loop.clock().Advance(kStep);
    }
  }

  void SendRequest(Instance& instance, OutcomeSummary& outcomes) {
    const auto filters = instance.controller->FiltersFor("work", false);
    ++this->requests;
    const bool is_new = filters.front().Permits("new-0", "v2", 0) ||
                        filters.front().Permits("new-1", "v2", 0) ||
                        filters.front().Permits("new-2", "v2", 0);
    const std::string version = is_new ? "v2" : "v1";
    instance.exposed += is_new ? 1 : 0;
    instance.controller->CountAttempt("work", version);
    const bool is_failure = is_new && this->is_bad;
    const auto observation = instance.controller->Observe(
        "work", version, "r", is_failure, milliseconds(60));
    if (observation) {
      AddObservation(outcomes.version_outcomes,
                     "new-" + std::to_string(this->requests % kServers),
                     *observation);
    }
  }

  void Exchange() {
    for (const auto& from : this->instances) {
      for (const auto& to : this->instances) {
        const bool is_connected =
            from->hears && to->hears && !from->is_paused && !to->is_paused;
        if (is_connected || from == to) {
          to->context->members.members.at(from->context->settings.name)
              .last_heard_at = this->loop.Now();
          to->controller->OnNews(from->controller->News());
        }
      }
    }
  }

  long exposed() const {
    long sum = 0;
    for (const auto& instance : this->instances) {
      sum += instance->exposed;
    }
    return sum;
  }

  // Below the bound for as many requests as have been sent.
  bool is_within_bound() const {
    return static_cast<double>(this->exposed()) <=
           0.1 * static_cast<double>(this->requests) + 50;
  }

  bool all_are(RolloutPhase phase) const {
    return std::ranges::all_of(this->instances, [&](const auto& instance) {
      return instance->status() && instance->status()->phase == phase;
    });
  }

  EventLoop loop;
  FakeStore store;
  std::vector<std::unique_ptr<Instance>> instances;
  bool is_bad = false;
  long requests = 0;
};

TEST_CASE("all instances use the new version when a good rollout completes") {
  Fleet fleet;
  fleet.Request();
  fleet.RunFor(seconds(7));
  CHECK(fleet.all_are(RolloutPhase::kTrial));
  CHECK(fleet.exposed() > 30);
  CHECK(fleet.is_within_bound());
  fleet.RunFor(seconds(4));
  CHECK(fleet.all_are(RolloutPhase::kCompleted));
  CHECK(fleet.store.CountTerminal() == 1);
  const auto filters =
      fleet.instances[3]->controller->FiltersFor("work", false);
  CHECK_FALSE(filters.back().Permits("old-0", "v1", 0));
  CHECK_FALSE(fleet.instances[3]->controller->MayReceive("work", "v1"));
}

TEST_CASE("no instance uses a bad version after its rollback") {
  Fleet fleet;
  fleet.is_bad = true;
  fleet.Request();
  fleet.RunFor(seconds(9));
  CHECK(fleet.all_are(RolloutPhase::kRolledBack));
  CHECK(fleet.is_within_bound());
  CHECK(fleet.store.CountTerminal() == 1);
  const long before = fleet.exposed();
  fleet.RunFor(seconds(5));
  CHECK(fleet.exposed() == before);
  CHECK_FALSE(fleet.instances[3]->controller->MayReceive("work", "v2"));
}

TEST_CASE("without the bounds, a request for a rollout changes nothing") {
  Fleet fleet;
  fleet.instances[1]->context->settings.bounds.rollback_time.reset();
  fleet.instances[1]->controller->OnRequestChange(
      {"work", RolloutRequest{"work", "v2", seconds(12)}});
  CHECK(fleet.instances[1]->controller->FiltersFor("work", false) ==
        std::vector{VersionFilter{}});
}

// Guards against two rollouts, or two ends, when the store assigns the shard to
// two instances at a time.
TEST_CASE("two concurrent drivers finish a rollout once") {
  Fleet fleet;
  fleet.instances[1]->is_driver = true;
  fleet.instances[1]->hears = false;
  fleet.Request();
  fleet.RunFor(seconds(5));
  CHECK(fleet.is_within_bound());
  fleet.instances[1]->hears = true;
  fleet.RunFor(seconds(7));
  CHECK(fleet.all_are(RolloutPhase::kCompleted));
  CHECK(fleet.store.CountTerminal() == 1);
}

TEST_CASE("a driver that resumes late does not exceed the exposure") {
  Fleet fleet;
  fleet.is_bad = true;
  fleet.Request();
  fleet.RunFor(seconds(1));
  fleet.instances[0]->is_paused = true;
  fleet.instances[1]->is_driver = true;
  fleet.RunFor(seconds(9));
  CHECK(fleet.store.CountTerminal() == 1);
  const long before = fleet.exposed();
  fleet.instances[0]->is_paused = false;
  fleet.RunFor(seconds(2));
  CHECK(fleet.all_are(RolloutPhase::kRolledBack));
  CHECK(fleet.store.CountTerminal() == 1);
  CHECK(fleet.exposed() - before <= 1);
}

TEST_CASE("a rollout survives the loss of its driver at every step") {
  for (const Duration lost_at : {seconds(0), seconds(2), seconds(5), seconds(8),
                                 seconds(9), seconds(10)}) {
    INFO("driver lost at " << ToSeconds(lost_at) << " s");
    Fleet fleet;
    fleet.Request();
    fleet.RunFor(lost_at);
    fleet.instances[0]->is_paused = true;
    fleet.RunFor(milliseconds(500));
    fleet.instances[1]->is_driver = true;
    fleet.RunFor(seconds(12) - lost_at - milliseconds(500));
    CHECK(fleet.instances[2]->status()->phase == RolloutPhase::kCompleted);
    CHECK(fleet.store.CountTerminal() == 1);
  }
}

// The shard of a lost instance has no owner for some seconds.
TEST_CASE("a rollout is completed in time while its shard has no owner") {
  Fleet fleet;
  fleet.Request();
  fleet.RunFor(seconds(5));
  fleet.instances[0]->is_paused = true;
  fleet.RunFor(seconds(6));
  CHECK(fleet.instances[2]->status()->phase == RolloutPhase::kCompleted);
  CHECK(fleet.store.CountTerminal() == 1);
}

TEST_CASE("an instance without news sends nothing to the new version") {
  Fleet fleet;
  fleet.Request();
  fleet.instances[4]->hears = false;
  fleet.RunFor(seconds(4));
  CHECK(fleet.instances[4]->exposed == 0);
  fleet.instances[4]->hears = true;
  fleet.RunFor(seconds(2));
  fleet.instances[4]->hears = false;
  fleet.RunFor(kStatusLifetime + kStep);
  const long before = fleet.instances[4]->exposed;
  fleet.RunFor(seconds(5));
  CHECK(fleet.instances[4]->exposed == before);
}

TEST_CASE("a rollback takes effect at once although the store is away") {
  Fleet fleet;
  fleet.Request();
  fleet.RunFor(seconds(3));
  fleet.store.is_available = false;
  fleet.is_bad = true;
  fleet.RunFor(seconds(6));
  CHECK(fleet.all_are(RolloutPhase::kStopping));
  CHECK(fleet.is_within_bound());
  const long before = fleet.exposed();
  fleet.RunFor(seconds(2));
  CHECK(fleet.exposed() == before);
  fleet.store.is_available = true;
  fleet.RunFor(seconds(1));
  CHECK(fleet.all_are(RolloutPhase::kRolledBack));
}

TEST_CASE("a rollout is completed when the store comes back") {
  Fleet fleet;
  fleet.Request();
  fleet.RunFor(seconds(6));
  fleet.store.is_available = false;
  fleet.RunFor(milliseconds(4'500));
  CHECK(fleet.all_are(RolloutPhase::kSwitching));
  fleet.store.is_available = true;
  fleet.RunFor(seconds(1));
  CHECK(fleet.all_are(RolloutPhase::kCompleted));
  CHECK(fleet.store.CountTerminal() == 1);
}

// Guards against a rollout that begins again, with new exposure, when the store
// has lost its status.
TEST_CASE("a store that returns with older data does not restart a rollout") {
  Fleet fleet;
  fleet.is_bad = true;
  fleet.Request();
  fleet.RunFor(seconds(9));
  REQUIRE(fleet.all_are(RolloutPhase::kRolledBack));
  const long before = fleet.exposed();
  fleet.store.writes.clear();
  for (const auto& instance : fleet.instances) {
    instance->controller->OnStoreRestored();
  }
  fleet.Request();
  fleet.RunFor(seconds(2));
  CHECK(fleet.exposed() == before);
  REQUIRE(fleet.store.CountTerminal() == 1);
  CHECK(fleet.store.writes.back().phase == RolloutPhase::kRolledBack);
}

TEST_CASE("an older status in the store grants no exposure again") {
  Fleet fleet;
  fleet.Request();
  fleet.RunFor(seconds(4));
  const long before = fleet.exposed();
  REQUIRE_FALSE(fleet.store.writes.empty());
  fleet.store.writes.resize(1);
  for (const auto& instance : fleet.instances) {
    instance->controller->OnStoreRestored();
  }
  fleet.RunFor(seconds(3));
  CHECK(fleet.exposed() >= before);
  CHECK(fleet.is_within_bound());
  fleet.RunFor(seconds(4));
  CHECK(fleet.all_are(RolloutPhase::kCompleted));
}

}  // namespace
}  // namespace parsleyquay
