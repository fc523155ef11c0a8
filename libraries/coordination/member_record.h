#ifndef PARSLEYQUAY_COORDINATION_MEMBER_RECORD_H_
#define PARSLEYQUAY_COORDINATION_MEMBER_RECORD_H_

#include <compare>
#include <string>

namespace parsleyquay {

// The resources of the machine that an instance runs on.
struct Capacity {
  double processor = 1;  // cores
  double link = 1'000;   // Mbit/s

  auto operator<=>(const Capacity&) const = default;
};

// The record by which the other instances of the fleet discover an instance.
struct MemberRecord {
  std::string name;
  std::string failure_domain;
  std::string request_address;  // "ip:port" for callers
  std::string peer_address;     // "ip:port" for other instances
  std::string incarnation;      // new with each start of the process
  Capacity capacity;

  auto operator<=>(const MemberRecord&) const = default;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_MEMBER_RECORD_H_
