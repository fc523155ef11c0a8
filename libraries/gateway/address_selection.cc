#include "gateway/address_selection.h"

#include <algorithm>
#include <random>

namespace parsleyquay {

namespace {

// With at least three addresses a client that loses some still has others.
constexpr std::size_t kMinOwnDomainInstances = 3;
// Clients use at most this many addresses of one response.
constexpr std::size_t kMaxAddressesPerResponse = 64;

// Returns two thirds of the time that clients may cache addresses, so that they
// stop using a leaving instance sooner.
Duration AddressListTtl(Duration longest) {
  return longest * 2 / 3;
}

}  // namespace

AddressList SelectInstanceAddresses(const MemberTable& members,
                                    const std::string& failure_domain,
                                    Duration max_ttl,
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
  AddressList address_list{near.size() >= kMinOwnDomainInstances ? near : all,
                           AddressListTtl(max_ttl)};
  std::mt19937_64 generator(random);
  std::ranges::shuffle(address_list.addresses, generator);
  address_list.addresses.resize(
      std::min(address_list.addresses.size(), kMaxAddressesPerResponse));
  return address_list;
}

}  // namespace parsleyquay
