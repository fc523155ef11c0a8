#include "gateway/address_selection.h"

#include <algorithm>
#include <random>

namespace parsleyquay {

namespace {

// A caller that has lost some of its addresses still has others.
constexpr std::size_t kFewestNear = 3;
constexpr std::size_t kMostAddresses = 64;  // that callers take of an answer

// Two thirds of what callers may keep: a leaving instance is forgotten sooner.
Duration AnswerLifetime(Duration longest) {
  return longest * 2 / 3;
}

}  // namespace

AddressAnswer SelectInstanceAddresses(const MemberTable& members,
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
  AddressAnswer answer{near.size() >= kFewestNear ? near : all,
                       AnswerLifetime(lifetime)};
  std::mt19937_64 generator(random);
  std::ranges::shuffle(answer.addresses, generator);
  answer.addresses.resize(std::min(answer.addresses.size(), kMostAddresses));
  return answer;
}

}  // namespace parsleyquay
