#include "steering/address_list.h"

#include <algorithm>

#include "limits/token_bucket_shard.h"

namespace parsleyquay {

namespace {

void AppendUnlessPresent(std::vector<std::string>& names,
                         const std::string& name) {
  if (std::ranges::find(names, name) == names.end()) {
    names.push_back(name);
  }
}

std::vector<PastMember> ToMembers(
    const std::vector<SteeringCandidate>& candidates) {
  std::vector<PastMember> members;
  for (const SteeringCandidate& candidate : candidates) {
    members.push_back({candidate.name, "", candidate.failure_domain});
  }
  return members;
}

// All candidates: homes of the shares first, then by rendezvous order.
std::vector<std::string> OrderCandidates(
    const std::string& workspace,
    std::size_t shard_count,
    const std::vector<SteeringCandidate>& candidates,
    std::uint64_t random) {
  const std::vector<PastMember> members = ToMembers(candidates);
  std::vector<std::string> order;
  for (std::size_t i = 0; i < shard_count; ++i) {
    const std::size_t shard = (i + random) % shard_count;
    for (const auto& owner :
         FindOwners(ShardKey(workspace, shard), members, 1)) {
      AppendUnlessPresent(order, owner);
    }
  }
  for (const auto& name : FindOwners(workspace, members, members.size())) {
    AppendUnlessPresent(order, name);
  }
  return order;
}

}  // namespace

AddressList ChooseAddresses(const std::string& workspace,
                            std::size_t shard_count,
                            const std::vector<SteeringCandidate>& candidates,
                            std::uint64_t random) {
  AddressList address_list;
  address_list.ttl = kAddressTtl;
  std::vector<std::string> overloaded;
  for (const std::string& name :
       OrderCandidates(workspace, shard_count, candidates, random)) {
    const auto candidate =
        std::ranges::find(candidates, name, &SteeringCandidate::name);
    if (candidate->is_excluded) {
      continue;
    }
    (candidate->is_overloaded ? overloaded : address_list.addresses)
        .push_back(candidate->http_address);
  }
  std::ranges::copy(overloaded, std::back_inserter(address_list.addresses));
  if (address_list.addresses.size() > kMaxAddresses) {
    address_list.addresses.resize(kMaxAddresses);
  }
  return address_list;
}

Json::Value ToJson(const AddressList& address_list) {
  Json::Value json;
  json["addresses"] = Json::arrayValue;
  for (const std::string& address : address_list.addresses) {
    json["addresses"].append(address);
  }
  json["lifetime_ms"] = Json::Int64(ToMilliseconds(address_list.ttl));
  return json;
}

}  // namespace parsleyquay
