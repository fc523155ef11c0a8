#ifndef PARSLEYQUAY_COORDINATION_COORDINATION_STORE_H_
#define PARSLEYQUAY_COORDINATION_COORDINATION_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/change_feed.h"
#include "coordination/member_record.h"
#include "coordination/server_listing.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// Operators took a failure domain out, or gave it back.
struct DomainWithdrawal {
  std::string failure_domain;
  bool is_withdrawn = true;

  bool operator==(const DomainWithdrawal&) const = default;
};

using OperatorChange = std::variant<FleetConfiguration, DomainWithdrawal>;

// The newest word on one backend server; nothing when it was taken off the
// list.
struct ServerChange {
  std::string server;
  std::optional<ServerListing> listing;

  bool operator==(const ServerChange&) const = default;
};

// The newest record of one instance; nothing when it has left.
struct MemberChange {
  std::string name;
  std::optional<MemberRecord> record;

  bool operator==(const MemberChange&) const = default;
};

// The duties that the group has dealt to this instance.
struct ShardAssignment {
  std::uint64_t generation = 0;
  std::vector<long> shards;  // numbers below `ShardGroup::shard_count`

  bool operator==(const ShardAssignment&) const = default;
};

// A group that deals numbered duties to its members, each to one at a time.
// Who has not renewed for `lifetime` may lose its duties to others.
struct ShardGroup {
  long shard_count = 0;

  // Joins or renews; nothing when the group cannot be reached.
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
  kConflict,  // somebody else was first
  kUnknown,   // no answer: it may be done, or be done later
};

// What the fleet has from outside: the operators' word, the list of backend
// servers, and a place for what its instances agree on.
struct CoordinationStore {
  ChangeFeed<OperatorChange> operators;
  ChangeFeed<ServerChange> servers;
  ChangeFeed<MemberChange> members;
  ShardGroup shard_group;

  // Writes or takes back the record of this instance.
  std::function<void(const MemberChange&, std::function<void(PublishOutcome)>)>
      publish_member;

  // Reads the secret that all instances share; makes one if there is none.
  std::function<void(const std::string& proposal,
                     std::function<void(std::optional<std::string>)>)>
      get_or_create_secret;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_COORDINATION_STORE_H_
