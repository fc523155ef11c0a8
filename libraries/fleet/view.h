#ifndef PARSLEYQUAY_FLEET_VIEW_H_
#define PARSLEYQUAY_FLEET_VIEW_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyquay {

// One entry instance as recorded in the log. A restarted process joins with a
// new incarnation.
struct Member {
  std::string name;
  std::string incarnation;
  std::string http_address;  // "ip:port" for clients
  std::string peer_address;  // "ip:port" for other instances
  std::string failure_domain;

  bool operator==(const Member&) const = default;
};

// The members of the fleet at one offset of the log. All readers of the log
// compute the same view for the same offset.
struct View {
  std::uint64_t version = 0;  // offset after the last membership record
  std::map<std::string, Member> members;

  bool operator==(const View&) const = default;
};

// A member of a present or past view, without its addresses.
struct PastMember {
  std::string name;
  std::string incarnation;
  std::string failure_domain;

  auto operator<=>(const PastMember&) const = default;
};

// An earlier view, kept because its members may still hold leases or claims
// that were taken under it.
struct PastView {
  std::uint64_t version = 0;
  long replaced_at_ms = 0;  // platform time of the record that replaced it
  std::vector<PastMember> members;

  bool operator==(const PastView&) const = default;
};

// Returns the smallest number of members that is more than half of them.
std::size_t MajorityOf(std::size_t member_count);

// Returns the owners of a key: the `count` members that rank highest for it by
// rendezvous hashing, in this order. They are in different failure domains if
// there are enough domains; the rest are the highest-ranked other members.
// Returns fewer names if there are fewer members.
std::vector<std::string> FindOwners(const std::string& key,
                                    std::vector<PastMember> members,
                                    std::size_t count);

// Returns the members of the view in name order.
std::vector<PastMember> ToPastMembers(const View& view);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_VIEW_H_
