#ifndef PARSLEYQUAY_FLEET_VIEW_H_
#define PARSLEYQUAY_FLEET_VIEW_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyquay {

// One entry instance as the log knows it. A restarted process joins with a
// new incarnation.
struct Member {
  std::string name;
  std::string incarnation;
  std::string http_address;  // "ip:port" for callers
  std::string peer_address;  // "ip:port" for other instances
  std::string failure_domain;

  bool operator==(const Member&) const = default;
};

// The members at one offset of the log. Every reader of that offset computes
// the same view.
struct View {
  std::uint64_t version = 0;  // offset after the last membership record
  std::map<std::string, Member> members;

  bool operator==(const View&) const = default;
};

// A member of an earlier view, without its addresses.
struct PastMember {
  std::string name;
  std::string incarnation;
  std::string failure_domain;

  auto operator<=>(const PastMember&) const = default;
};

// An earlier view, kept while rights or memories that it gave may matter.
struct PastView {
  std::uint64_t version = 0;
  long replaced_at_ms = 0;  // platform time of the record that ended it
  std::vector<PastMember> members;

  bool operator==(const PastView&) const = default;
};

// The number of members that is more than half of `member_count`.
std::size_t MajorityOf(std::size_t member_count);

// The homes of a key: the first `count` members in rendezvous order, of
// different failure domains as far as there are enough.
std::vector<std::string> FindOwners(const std::string& key,
                                    std::vector<PastMember> members,
                                    std::size_t count);

std::vector<PastMember> ToPastMembers(const View& view);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_VIEW_H_
