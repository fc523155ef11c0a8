#ifndef PARSLEYQUAY_STEERING_ADDRESS_LIST_H_
#define PARSLEYQUAY_STEERING_ADDRESS_LIST_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_state.h"

namespace parsleyquay {

// An instance as the choice of addresses sees it.
struct SteeringCandidate {
  std::string name;
  std::string http_address;
  std::string failure_domain;
  bool is_excluded = false;    // leaving, suspected, or in a withdrawn domain
  bool is_overloaded = false;  // named only after the others

  bool operator==(const SteeringCandidate&) const = default;
};

// Which addresses a caller is to use, best first, and for how long.
struct AddressList {
  std::vector<std::string> addresses;
  Duration ttl = Duration(0);

  bool operator==(const AddressList&) const = default;
};

// How long callers may keep an answer; a leaving instance serves that long.
constexpr Duration kAddressTtl = seconds(10);
constexpr std::size_t kMaxAddresses = 4;

// Names the homes of the workspace's rate first, so that most requests need no
// message between instances, then others of further failure domains. `random`
// rotates the homes, so that callers spread over them.
AddressList ChooseAddresses(const std::string& workspace,
                            std::size_t shard_count,
                            const std::vector<SteeringCandidate>& candidates,
                            std::uint64_t random);

Json::Value ToJson(const AddressList& address_list);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_STEERING_ADDRESS_LIST_H_
