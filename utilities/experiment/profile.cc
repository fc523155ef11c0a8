#include "experiment/profile.h"

#include <sstream>

namespace parsleyquay {

namespace {

std::vector<ProfileWorkspace> EightWorkspaces() {
  return {{"large-1", 120, 60}, {"large-2", 80, 40}, {"middle-1", 30, 20},
          {"middle-2", 30, 20}, {"small-1", 10, 10}, {"small-2", 10, 10},
          {"small-3", 5, 10},   {"small-4", 5, 10}};
}

void WriteRoute(std::ostringstream& text,
                const std::string& name,
                const std::string& path,
                const std::string& service,
                const std::string& work_class,
                const std::string& open) {
  text << "[route " << name << "]\npath = " << path << "\nservice = " << service
       << "\nclass = " << work_class << "\nopen = " << open << "\n\n";
}

}  // namespace

Profile SmallProfile() {
  Profile profile;
  profile.name = "small";
  profile.services = {{"main", 6}};
  profile.workspaces = {{"alpha", 100, 40}, {"beta", 50, 20}};
  return profile;
}

Profile RegistryProfile() {
  Profile profile;
  profile.name = "registry";
  profile.instances = 40;
  profile.failure_domains = 4;
  profile.services = {
      {"lookup", 10}, {"whois", 15}, {"transfer", 10}, {"reverse", 10}};
  profile.workspaces = EightWorkspaces();
  profile.instance_delay_ms = 1.5;
  return profile;
}

Profile HighwaterProfile() {
  Profile profile = RegistryProfile();
  profile.name = "highwater";
  profile.services = {
      {"survey", 10}, {"drawing", 20}, {"casting", 10}, {"install", 10}};
  return profile;
}

std::string DeclarationText(const Profile& profile) {
  std::ostringstream text;
  text << "[class read]\ntarget_latency_ms = 100\ntarget_percent = 99\n"
          "idempotent = yes\ndeadline_ms = 4000\n\n"
          "[class write]\ntarget_latency_ms = 500\ntarget_percent = 99\n"
          "idempotent = no\ndeadline_ms = 4000\n\n";
  for (const ProfileService& service : profile.services) {
    text << "[service " << service.name
         << "]\nfloor_percent = " << profile.floor_percent << "\n\n";
    WriteRoute(text, "work-" + service.name, "/work/" + service.name,
               service.name, "read", "no");
    WriteRoute(text, "order-" + service.name, "/order/" + service.name,
               service.name, "write", "no");
  }
  const std::string& first = profile.services.front().name;
  WriteRoute(text, "download", "/download", first, "read", "no");
  WriteRoute(text, "open", "/open", first, "read", "yes");
  for (const ProfileWorkspace& workspace : profile.workspaces) {
    text << "[workspace " << workspace.name
         << "]\nrate_per_second = " << workspace.rate_per_second
         << "\nburst = " << workspace.burst << "\n\n";
  }
  return text.str();
}

}  // namespace parsleyquay
