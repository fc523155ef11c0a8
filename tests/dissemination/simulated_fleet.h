#ifndef PARSLEYQUAY_TESTS_DISSEMINATION_SIMULATED_FLEET_H_
#define PARSLEYQUAY_TESTS_DISSEMINATION_SIMULATED_FLEET_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dissemination/aggregator_election.h"
#include "dissemination/digest.h"
#include "dissemination/member_table.h"
#include "dissemination/member_updates.h"
#include "dissemination/rejoin.h"

namespace parsleyquay {

// One instance: its real member table, decisions and messages.
struct SimulatedMember {
  MemberStatus status;
  bool is_running = true;
  MemberTable table;
  MemberUpdates updates;
  AggregatorElection election;
  RejoinState rejoin;
  OutcomeSummary received_outcomes;
  std::uint64_t configuration_version = 0;
  TimePoint started_at;
  TimePoint heartbeat_sent_at;
  TimePoint digest_sent_at;
  TimePoint views_sent_at;
  bool is_digest_due = false;
  std::uint64_t sent_messages = 0;
};

// A fleet of instances that exchange the real, encoded messages over a fake
// network with a fake clock, as DisseminationAgent and MembershipSync do over
// UDP. All times and losses derive from the seed.
class SimulatedFleet {
 public:
  SimulatedFleet(int instances, int domains, unsigned seed);

  void RunFor(Duration duration);

  void Kill(const std::string& name);
  // Starts a new incarnation, which has read the members' records.
  void Restart(const std::string& name);
  // Partitions the network: only members with the same group number can
  // exchange messages. Members that are not listed have number 0.
  void Partition(std::map<std::string, int> groups);
  void SetLoss(double probability) { this->loss = probability; }
  // Sets and announces the shards of a member.
  void Own(const std::string& name, std::vector<long> shards);
  void SetConfigurationVersion(const std::string& name, std::uint64_t version);

  // Returns a description of each running member that does not know exactly the
  // running owner of a shard. Claims of killed members do not count.
  std::vector<std::string> ListUnknownOwners() const;
  // Returns a description of each failure domain whose running members follow
  // different aggregators, or one that does not run.
  std::vector<std::string> ListDisagreements() const;

  TimePoint Now() const { return this->now; }
  std::mt19937& random_source() { return this->random; }
  std::map<std::string, SimulatedMember> members;  // by name
  // The messages delivered, by method.
  std::map<std::string, std::uint64_t> message_counts;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->number) >
             std::pair(other.at, other.number);
    }
  };

  void Schedule(Duration delay, std::function<void()> run);
  void Send(SimulatedMember& from,
            const std::string& to,
            const std::string& method,
            const Json::Value& parameters);
  void SendDigestParts(SimulatedMember& from,
                       const std::vector<std::string>& to,
                       Digest digest);
  void Start(SimulatedMember& member);
  void Tick(const std::string& name, const std::string& incarnation);
  void UpdateRole(SimulatedMember& member);
  void SendHeartbeat(SimulatedMember& member);
  void SendDigest(SimulatedMember& member);
  void SendDigestSoon(SimulatedMember& member);
  void SendDigestToAll(SimulatedMember& member);
  void SendRejoinMessages(SimulatedMember& member,
                          const RejoinMessages& messages);
  void ForwardMember(SimulatedMember& member,
                     const std::string& changed,
                     MemberUpdateResult result);
  void SendNextMemberList(SimulatedMember& member);
  void Receive(SimulatedMember& member,
               const std::string& method,
               const Json::Value& parameters);
  void OnDigest(SimulatedMember& member, const Digest& digest);

  std::mt19937 random;
  TimePoint now = TimePoint(seconds(1'000));
  std::priority_queue<Event> events;
  std::uint64_t next_event = 0;
  std::map<std::string, int> groups;
  double loss = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_DISSEMINATION_SIMULATED_FLEET_H_
