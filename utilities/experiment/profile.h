#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_PROFILE_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_PROFILE_H_

#include <string>
#include <vector>

namespace parsleyquay {

struct ProfileWorkspace {
  std::string name;
  double rate_per_second = 0;
  double burst = 0;

  bool operator==(const ProfileWorkspace&) const = default;
};

struct ProfileService {
  std::string name;
  int servers = 0;

  bool operator==(const ProfileService&) const = default;
};

// The fleet, the services and the workspace limits of one modelled
// organisation.
struct Profile {
  std::string name;
  int instances = 3;
  int failure_domains = 2;
  std::vector<ProfileService> services;
  std::vector<ProfileWorkspace> workspaces;
  double floor_percent = 50;
  double instance_delay_ms = 0;  // one way, of datagrams between instances
  double work_ms = 5;            // median time that a server works on a request
  double work_time_spread = 0.3;  // sigma of its log-normal distribution

  bool operator==(const Profile&) const = default;
};

// A fleet small enough for a quick test.
Profile SmallProfile();
Profile RegistryProfile();
Profile HighwaterProfile();

// Returns the declaration of a profile in its text format. Every service S has
// the routes /work/S (idempotent) and /order/S (not idempotent). The first
// service also has /download and /open, both idempotent; /open needs no key.
std::string DeclarationText(const Profile& profile);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_PROFILE_H_
