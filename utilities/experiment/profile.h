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

// The size and the load of one organisation that an experiment models.
struct Profile {
  std::string name;
  int instances = 3;
  int failure_domains = 2;
  std::vector<ProfileService> services;
  std::vector<ProfileWorkspace> workspaces;
  double floor_percent = 50;
  double instance_delay_ms = 0;  // one way, between instances
  double work_ms = 5;
  double work_time_spread = 0.3;

  bool operator==(const Profile&) const = default;
};

// A fleet small enough for a quick test.
Profile SmallProfile();
Profile RegistryProfile();
Profile HighwaterProfile();

// The declaration of a profile. Every service K has the routes
// /work/K (may be repeated) and /order/K (may not), and the first also
// /download (may be repeated) and /open (open to all).
std::string DeclarationText(const Profile& profile);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_PROFILE_H_
