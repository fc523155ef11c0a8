// Guards against instances that stay with an old configuration, or fall back to
// an older one, when messages are lost, aggregators die or are behind, and the
// store returns with older data, in random schedules of these faults.

#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>

#include "dissemination/configuration_source.h"
#include "dissemination/configuration_transfer.h"
#include "dissemination/operator_change_codec.h"
#include "dissemination/operator_state.h"
#include "dissemination/transfer_queue.h"

namespace parsleyquay {
namespace {

constexpr int kInstances = 9;
constexpr int kSeeds = 300;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kDigestInterval = milliseconds(250);
constexpr Duration kSilence = milliseconds(1'100);  // of an aggregator
constexpr Duration kStoreDelay =
    milliseconds(150);                     // of a member that is behind
constexpr Duration kInForce = seconds(2);  // after the last fault

std::string KeyOf(const OperatorChange& change) {
  if (const auto* withdrawal = std::get_if<DomainWithdrawal>(&change)) {
    return "d" + withdrawal->failure_domain;
  }
  const auto* rollout = std::get_if<RolloutRequestChange>(&change);
  return rollout ? "r" + rollout->service : "c";
}

// The operators' feed in the store.
struct Feed {
  std::uint64_t era = 0;
  std::vector<OperatorChange> changes;

  FeedPosition end() const { return {this->era, this->changes.size()}; }

  // Returns the newest change of each key. A deleted key has none.
  std::vector<OperatorChange> Snapshot() const {
    std::map<std::string, OperatorChange> newest;
    for (const OperatorChange& change : this->changes) {
      newest[KeyOf(change)] = change;
    }
    std::vector<OperatorChange> snapshot;
    for (const auto& [key, change] : newest) {
      const auto* rollout = std::get_if<RolloutRequestChange>(&change);
      if (!rollout || rollout->request) {
        snapshot.push_back(change);
      }
    }
    return snapshot;
  }
};

struct Instance {
  std::string name;
  bool is_alive = true;
  bool is_behind = false;  // cannot read the store for some time
  std::optional<FeedPosition> position;
  std::uint64_t known_era = 0;
  std::uint64_t applied_era = 0;
  OperatorState state;
  FleetConfiguration configuration;
  // Whether the store returned before this instance had read all changes. What
  // was deleted then may be kept: the first state of an era does not tell.
  bool has_missed_deletions = false;
  FeedPosition announced;  // the newest that another instance has read
  std::optional<TimePoint> lagging_since;
  RequestSchedule schedule;
  TransferAssembly assembly;
  TransferQueue queue;
};

// One failure domain whose first two live instances read the store. All
// decisions and messages are the real ones; only transport, store and clock are
// fakes, and the first instances are ranked first.
class Simulation {
 public:
  explicit Simulation(unsigned seed) : random(seed) {
    for (int i = 0; i < kInstances; ++i) {
      Instance instance;
      instance.name = "i-" + std::to_string(i);
      this->instances.push_back(std::move(instance));
    }
    // In half of the runs only aggregators reach the store, so that the others
    // depend on transfers. The store then keeps its data, since the first state
    // of a new era is read by each instance.
    this->is_store_for_all = this->Draw(2) == 0;
    this->Publish();
  }

  void Run() {
    this->RunFor(seconds(1));
    const int faults = 4 + this->Draw(8);
    for (int i = 0; i < faults; ++i) {
      this->InjectFault();
      this->RunFor(milliseconds(this->Draw(700)));
    }
    this->loss = 0;
    for (Instance& instance : this->instances) {
      instance.is_behind = false;
    }
    this->Publish();
    this->RunFor(kInForce);
  }

  // Checks that each live instance has what a continuous reader has.
  void CheckEnd() {
    for (const Instance& instance : this->instances) {
      if (!instance.is_alive) {
        continue;
      }
      CAPTURE(instance.name);
      REQUIRE(instance.position);
      CHECK(ToText(*instance.position) == ToText(this->feed.end()));
      CHECK(instance.configuration == this->newest_configuration);
      OperatorState state = instance.state;
      if (instance.has_missed_deletions) {
        this->DropEarlierEras(state);
      }
      CHECK(WithdrawnDomains(state) == WithdrawnDomains(this->reader.state));
      CHECK(RequestsIn(state) == RequestsIn(this->reader.state));
    }
  }

  std::uint64_t transfers = 0;     // taken over
  std::uint64_t member_reads = 0;  // of the store

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::size_t receiver = 0;
    std::string method;
    Json::Value parameters;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->number) >
             std::pair(other.at, other.number);
    }
  };

  void DropEarlierEras(OperatorState& state) const {
    const auto is_earlier = [&](const auto& item) {
      return item.second.era < this->feed.era;
    };
    std::erase_if(state.withdrawals, is_earlier);
    std::erase_if(state.rollout_requests, is_earlier);
  }

  static std::map<std::string, RolloutRequest> RequestsIn(
      const OperatorState& state) {
    std::map<std::string, RolloutRequest> requests;
    for (const auto& [service, known] : state.rollout_requests) {
      if (known.request) {
        requests[service] = *known.request;
      }
    }
    return requests;
  }

  int Draw(int limit) {
    return static_cast<int>(this->random() % static_cast<unsigned>(limit));
  }

  void InjectFault() {
    switch (this->Draw(7)) {
      case 0:
        this->loss = 0.1 * this->Draw(7);
        break;
      case 1:  // in the middle of the answers
        this->Publish();
        this->RunFor(milliseconds(this->Draw(60)));
        this->KillReader();
        break;
      case 2:
        this->instances[static_cast<std::size_t>(this->Draw(kInstances))]
            .is_behind = true;
        break;
      case 3:
        if (this->is_store_for_all) {
          this->ReturnWithOlderData();
        }
        break;
      case 4:
        this->Restart();
        break;
      default:
        this->Publish();
    }
  }

  void Publish() {
    const std::string subject = std::to_string(this->Draw(3));
    switch (this->Draw(3)) {
      case 0:
        this->feed.changes.emplace_back(
            DomainWithdrawal{subject, this->Draw(2) == 0});
        break;
      case 1:
        this->feed.changes.emplace_back(RolloutRequestChange{
            subject, this->Draw(2) == 0 ? std::nullopt
                                        : std::optional(RolloutRequest{
                                              subject, "v2", seconds(1)})});
        break;
      default:
        break;
    }
    ++this->newest_configuration.version;
    this->newest_configuration.workspaces.clear();
    const int workspaces = this->Draw(400);
    for (int i = 0; i < workspaces; ++i) {
      this->newest_configuration.workspaces["w-" + std::to_string(i)] = {
          .key_digests = {
              std::string(64, static_cast<char>('a' + this->Draw(26)))}};
    }
    this->feed.changes.emplace_back(this->newest_configuration);
    this->Read(this->reader);
  }

  // What was written since the copy is written again.
  void ReturnWithOlderData() {
    for (Instance& instance : this->instances) {
      instance.has_missed_deletions = instance.has_missed_deletions ||
                                      instance.position != this->feed.end();
    }
    const auto kept = std::min(
        this->feed.changes.size(),
        static_cast<std::size_t>(
            this->Draw(static_cast<int>(this->feed.changes.size()) + 1)));
    const auto middle =
        this->feed.changes.begin() + static_cast<std::ptrdiff_t>(kept);
    const std::vector<OperatorChange> lost(middle, this->feed.changes.end());
    this->feed.changes.erase(middle, this->feed.changes.end());
    ++this->feed.era;
    this->Read(this->reader);
    this->RunFor(milliseconds(this->Draw(300)));
    this->feed.changes.insert(this->feed.changes.end(), lost.begin(),
                              lost.end());
    this->Read(this->reader);
  }

  // The two instances that read the store: aggregator and standby. A later one
  // takes over once its predecessor has been silent for kSilence.
  std::vector<std::size_t> Readers() const {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      const auto killed = this->killed_at.find(i);
      const bool is_ranked = killed == this->killed_at.end() ||
                             this->now - killed->second < kSilence;
      if (is_ranked && readers.size() < 2) {
        readers.push_back(i);
      }
    }
    return readers;
  }

  void KillReader() {
    const std::vector<std::size_t> readers = this->Readers();
    const std::size_t index = readers[static_cast<std::size_t>(this->Draw(2))];
    if (this->killed_at.size() < 3 && !this->killed_at.contains(index)) {
      this->instances[index].is_alive = false;
      this->killed_at[index] = this->now;
    }
  }

  // The new incarnation has heard of no position. If it reads the store, it
  // does not learn what was deleted before.
  void Restart() {
    const auto index = static_cast<std::size_t>(this->Draw(kInstances));
    if (this->instances[index].is_alive) {
      Instance restarted;
      restarted.name = this->instances[index].name;
      this->instances[index] = std::move(restarted);
    }
  }

  void RunFor(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kStep;
      while (!this->events.empty() && this->events.top().at <= this->now) {
        const Event event = this->events.top();
        this->events.pop();
        Instance& receiver = this->instances[event.receiver];
        if (receiver.is_alive) {
          this->Receive(receiver, event.method, event.parameters);
        }
      }
      this->ReadAndAnnounce();
      for (Instance& instance : this->instances) {
        if (instance.is_alive) {
          this->Update(instance);
        }
      }
    }
  }

  void ReadAndAnnounce() {
    const bool is_digest_due =
        this->now - this->digest_sent_at >= kDigestInterval;
    for (const std::size_t index : this->Readers()) {
      Instance& reader = this->instances[index];
      if (!reader.is_alive) {
        continue;
      }
      const auto before = reader.position;
      if (!reader.is_behind) {
        this->Read(reader);
      }
      if (reader.position && (reader.position != before || is_digest_due)) {
        Json::Value digest;
        digest["f"] = reader.name;
        digest["e"] = Json::UInt64(reader.position->era);
        digest["p"] = Json::UInt64(reader.position->offset);
        for (const Instance& other : this->instances) {
          this->Send(other.name, "digest", digest);
        }
      }
    }
    if (is_digest_due) {
      this->digest_sent_at = this->now;
    }
  }

  void Send(const std::string& receiver,
            const std::string& method,
            const Json::Value& parameters) {
    const int copies = this->Draw(10) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->Draw(1'000) < static_cast<int>(this->loss * 1'000)) {
        continue;
      }
      this->events.push(
          {this->now + milliseconds(this->Draw(30)), this->next_event++,
           static_cast<std::size_t>(std::stoi(receiver.substr(2))), method,
           parameters});
    }
  }

  void Receive(Instance& instance,
               const std::string& method,
               const Json::Value& parameters) {
    if (method == "digest") {
      const FeedPosition position{parameters["e"].asUInt64(),
                                  parameters["p"].asUInt64()};
      instance.known_era = std::max(instance.known_era, position.era);
      instance.announced = std::max(instance.announced, position);
    } else if (method == kConfigurationRequestMethod) {
      const auto request = DecodeConfigurationRequest(parameters);
      REQUIRE(request);
      AddRequest(instance.queue, *request, this->now);
    } else {
      const auto fragment = DecodeFragment(parameters);
      REQUIRE(fragment);
      this->OnFragment(instance, *fragment);
    }
  }

  void OnFragment(Instance& instance, const ConfigurationFragment& fragment) {
    const FeedPosition position = fragment.id.position;
    instance.known_era = std::max(instance.known_era, position.era);
    if (!IsAcceptablePosition(position, instance.position,
                              instance.known_era) ||
        AddFragment(instance.assembly, fragment, this->now) !=
            FragmentResult::kComplete) {
      return;
    }
    auto changes = DecodeOperatorChanges(TakeText(instance.assembly));
    REQUIRE(changes.has_value());
    if (instance.position) {
      CHECK(position.era == instance.position->era);
      CHECK(position.offset > instance.position->offset);
    }
    instance.position = position;
    instance.applied_era = position.era;
    ++this->transfers;
    this->Apply(instance, ApplyPeerState(instance.state, std::move(*changes),
                                         position.era));
  }

  void Apply(Instance& instance, const std::vector<OperatorChange>& changes) {
    for (const OperatorChange& change : changes) {
      const auto* configuration = std::get_if<FleetConfiguration>(&change);
      if (configuration &&
          configuration->version > instance.configuration.version) {
        instance.configuration = *configuration;
      }
    }
  }

  void Read(Instance& instance) {
    if (instance.position == this->feed.end()) {
      return;
    }
    const bool is_snapshot =
        !instance.position || instance.position->era != this->feed.era;
    const std::vector<OperatorChange> changes =
        is_snapshot
            ? this->feed.Snapshot()
            : std::vector<OperatorChange>(
                  this->feed.changes.begin() +
                      static_cast<std::ptrdiff_t>(instance.position->offset),
                  this->feed.changes.end());
    const bool is_first_of_era = instance.applied_era != this->feed.era;
    ApplyReadChanges(
        instance.state, changes,
        is_snapshot ? ChangeSetKind::kSnapshot : ChangeSetKind::kIncremental,
        is_first_of_era, this->feed.era);
    this->Apply(instance, changes);
    instance.applied_era = this->feed.era;
    instance.known_era = std::max(instance.known_era, this->feed.era);
    instance.position = this->feed.end();
  }

  // As ConfigurationSharing and ConfigurationWatcher do.
  void Update(Instance& instance) {
    const auto make_transfer = [&](std::uint64_t version) {
      std::vector<OperatorChange> changes =
          ListChanges(instance.state, instance.position->era);
      if (version < instance.configuration.version) {
        changes.emplace_back(instance.configuration);
      }
      return std::make_shared<const ConfigurationTransfer>(
          MakeTransfer(*instance.position, EncodeOperatorChanges(changes)));
    };
    const TransferSource source{instance.name,
                                instance.position.value_or(FeedPosition()),
                                make_transfer};
    for (const OutgoingFragment& outgoing : TakeFragments(
             instance.queue, source, BytesPerInterval(20), this->now)) {
      this->Send(outgoing.member, kConfigurationFragmentMethod,
                 EncodeFragment(outgoing.fragment));
    }
    if (instance.announced <= instance.position.value_or(FeedPosition())) {
      instance.lagging_since.reset();
      instance.schedule = {};
      instance.assembly = {};
      return;
    }
    instance.lagging_since = instance.lagging_since.value_or(this->now);
    std::vector<std::string> members;
    for (const std::size_t reader : this->Readers()) {
      if (this->instances[reader].name != instance.name) {
        members.push_back(this->instances[reader].name);
      }
    }
    if (const auto member =
            NextToAsk(instance.schedule, members,
                      instance.assembly.progressed_at, this->now)) {
      this->Send(*member, kConfigurationRequestMethod,
                 EncodeConfigurationRequest({instance.name, instance.position,
                                             instance.configuration.version,
                                             instance.announced}));
    }
    if (this->is_store_for_all && !instance.is_behind &&
        this->now - *instance.lagging_since >= kStoreDelay) {
      this->Read(instance);
      ++this->member_reads;
    }
  }

  std::mt19937 random;
  TimePoint now = TimePoint(seconds(1'000));
  TimePoint digest_sent_at;
  std::vector<Instance> instances;
  std::map<std::size_t, TimePoint> killed_at;
  Instance reader;  // reads each change at once
  Feed feed;
  FleetConfiguration newest_configuration;
  std::priority_queue<Event> events;
  std::uint64_t next_event = 0;
  double loss = 0;
  bool is_store_for_all = true;
};

TEST_CASE("every live instance ends with the newest configuration") {
  std::uint64_t transfers = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed);
    simulation.Run();
    simulation.CheckEnd();
    transfers += simulation.transfers;
  }
  CHECK(transfers > 0);
}

}  // namespace
}  // namespace parsleyquay
