#ifndef PARSLEYQUAY_COORDINATION_COORDINATION_STORE_H_
#define PARSLEYQUAY_COORDINATION_COORDINATION_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/change_feed.h"
#include "coordination/member_record.h"
#include "coordination/server_listing.h"
#include "coordination/store_era.h"
#include "rollout/rollout_status.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// Operators have withdrawn a failure domain from use, or restored it.
struct DomainWithdrawal {
  std::string failure_domain;
  bool is_withdrawn = true;

  bool operator==(const DomainWithdrawal&) const = default;
};

// Operators have requested a rollout for the service, or std::nullopt if they
// have deleted the record of the request.
struct RolloutRequestChange {
  std::string service;
  std::optional<RolloutRequest> request;

  bool operator==(const RolloutRequestChange&) const = default;
};

using OperatorChange =
    std::variant<FleetConfiguration, DomainWithdrawal, RolloutRequestChange>;

// The newest listing of one backend server, or std::nullopt if it is no longer
// listed.
struct ServerChange {
  std::string server;
  std::optional<ServerListing> listing;

  bool operator==(const ServerChange&) const = default;
};

// The newest record of one instance, or std::nullopt if it has left the fleet.
struct MemberChange {
  std::string name;
  std::optional<MemberRecord> record;

  bool operator==(const MemberChange&) const = default;
};

// The shards that the group has assigned to this instance.
struct ShardAssignment {
  // Changes with every reassignment. Generations are issued again in a later
  // era of the store.
  std::uint64_t generation = 0;
  std::vector<long> shards;  // numbers below `ShardGroup::shard_count`
  std::uint64_t era = 0;

  bool operator==(const ShardAssignment&) const = default;
};

// Returns whether the store has not reassigned shards between the two.
inline bool IsSameGeneration(const ShardAssignment& one,
                             const ShardAssignment& other) {
  return one.era == other.era && one.generation == other.generation;
}

// A group that assigns numbered shards to its members, each shard to one member
// at a time. The membership is a lease: a member that has not renewed it for
// `lifetime` may lose its shards to others.
struct ShardGroup {
  long shard_count = 0;

  // Joins the group or renews the membership. Passes std::nullopt if the store
  // cannot be reached. `known_generation` is that of the assignment which the
  // member has in the present era, 0 if it has none.
  std::function<void(const std::string& member,
                     Duration lifetime,
                     std::uint64_t known_generation,
                     std::function<void(std::optional<ShardAssignment>)>)>
      renew;
  std::function<void(const std::string& member, std::function<void()> on_done)>
      leave;
};

enum class PublishOutcome {
  kDone,
  kConflict,  // another writer was first
  kUnknown,   // no response: the write may still be applied
};

// What the instances have written to the store about themselves.
struct FleetRecords {
  std::optional<std::string> secret;  // shared by all instances
  std::vector<MemberChange> members;
  FeedPosition end;  // where the records end

  bool operator==(const FleetRecords&) const = default;
};

// The statuses of all rollouts, and the position that a write which depends on
// them has to state.
struct RolloutStatusPage {
  std::vector<RolloutStatus> statuses;
  FeedPosition position;

  bool operator==(const RolloutStatusPage&) const = default;
};

// The interface to the store that coordinates the fleet: the operators'
// configuration, the list of backend servers, the instances' records and the
// assignment of shards.
struct CoordinationStore {
  ChangeFeed<OperatorChange> operators;
  ChangeFeed<ServerChange> servers;
  ChangeFeed<MemberChange> members;
  ShardGroup shard_group;

  // Writes or removes the record of this instance.
  std::function<void(const MemberChange&, std::function<void(PublishOutcome)>)>
      publish_member;

  // Reads all records of the instances. Passes std::nullopt if the store is
  // unavailable.
  std::function<void(std::function<void(std::optional<FleetRecords>)>)>
      read_fleet_records;

  // Writes the secret that all instances share, on condition that the records
  // still end at `end`.
  std::function<void(const std::string& secret,
                     FeedPosition end,
                     std::function<void(PublishOutcome)>)>
      publish_secret;

  // Reads the statuses of all rollouts. Passes std::nullopt if the store is
  // unavailable.
  std::function<void(std::function<void(std::optional<RolloutStatusPage>)>)>
      read_rollout_statuses;

  // Writes the status of a rollout, on condition that no status has been
  // written since the read that returned `position`.
  std::function<void(const RolloutStatus&,
                     FeedPosition position,
                     std::function<void(PublishOutcome)>)>
      write_rollout_status;

  // The newest era that the store or a peer has stated.
  std::shared_ptr<StoreEra> era = std::make_shared<StoreEra>();
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_COORDINATION_STORE_H_
