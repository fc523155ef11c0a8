#include "fleet/view.h"

#include <algorithm>
#include <set>

#include "base/rendezvous.h"

namespace parsleyquay {

std::size_t MajorityOf(std::size_t member_count) {
  return member_count / 2 + 1;
}

std::vector<std::string> FindOwners(const std::string& key,
                                    std::vector<PastMember> members,
                                    std::size_t count) {
  std::ranges::sort(members, std::greater<>{}, [&](const PastMember& member) {
    return RendezvousWeight(key, member.name);
  });
  std::vector<std::string> owners;
  std::vector<std::string> spare;
  std::set<std::string> domains;
  for (const PastMember& member : members) {
    if (owners.size() == count) {
      break;
    }
    const bool is_new_domain = domains.insert(member.failure_domain).second;
    (is_new_domain ? owners : spare).push_back(member.name);
  }
  for (const std::string& name : spare) {
    if (owners.size() == count) {
      break;
    }
    owners.push_back(name);
  }
  return owners;
}

std::vector<PastMember> ToPastMembers(const View& view) {
  std::vector<PastMember> members;
  members.reserve(view.members.size());
  for (const auto& [name, member] : view.members) {
    members.push_back({name, member.incarnation, member.failure_domain});
  }
  return members;
}

}  // namespace parsleyquay
