#ifndef PARSLEYQUAY_STEERING_ADDRESS_LIST_H_
#define PARSLEYQUAY_STEERING_ADDRESS_LIST_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_state.h"

namespace parsleyquay {

// An instance whose address may be returned to a caller.
struct SteeringCandidate {
  std::string name;
  std::string http_address;
  std::string failure_domain;
  bool is_excluded =
      false;  // leaving, suspected, or in a withdrawn failure domain
  bool is_overloaded = false;  // listed after the other instances

  bool operator==(const SteeringCandidate&) const = default;
};

// The addresses that a caller is to use, in order of preference, and how long
// it may use them.
struct AddressList {
  std::vector<std::string> addresses;
  Duration ttl = Duration(0);

  bool operator==(const AddressList&) const = default;
};

// How long callers may cache a list of addresses. An instance that leaves keeps
// serving for this long.
constexpr Duration kAddressTtl = seconds(10);
constexpr std::size_t kMaxAddresses = 4;

// Returns the instances that own the shards of the workspace's rate limit, so
// that most requests need no message between instances, then the other
// instances: in rendezvous order the first of each failure domain, then the
// rest. `random` rotates the owners, so that callers spread over them. Excluded
// instances are left out; overloaded ones come last.
AddressList ChooseAddresses(const std::string& workspace,
                            std::size_t shard_count,
                            const std::vector<SteeringCandidate>& candidates,
                            std::uint64_t random);

// Encodes the list as the body of a response.
Json::Value ToJson(const AddressList& address_list);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_STEERING_ADDRESS_LIST_H_
