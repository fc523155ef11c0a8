#include "gateway/address_selection.h"

#include <algorithm>
#include <random>

namespace parsleyquay {

namespace {

// A caller that has lost some of its addresses still has others.
constexpr std::size_t kFewestNear = 3;
constexpr std::size_t kMostAddresses = 64;  // that callers take of an answer

// Two thirds of what callers may keep: a leaving instance is forgotten sooner.
Duration AddressListTtl(Duration longest) {
  return longest * 2 / 3;
}

}  // namespace

AddressList SelectInstanceAddresses(const MemberTable& members,
                                    const std::string& failure_domain,
                                    Duration lifetime,
                                    std::uint64_t random,
                                    TimePoint now) {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const auto& [name, entry] : members.members) {
    const MemberStatus& status = entry.status;
    if (!IsAlive(entry, now) || !status.is_ready || status.is_leaving) {
      continue;
    }
    all.push_back(status.record.request_address);
    if (status.record.failure_domain == failure_domain) {
      near.push_back(status.record.request_address);
    }
  }
  AddressList address_list{near.size() >= kFewestNear ? near : all,
                           AddressListTtl(lifetime)};
  std::mt19937_64 generator(random);
  std::ranges::shuffle(address_list.addresses, generator);
  address_list.addresses.resize(
      std::min(address_list.addresses.size(), kMostAddresses));
  return address_list;
}

}  // namespace parsleyquay
