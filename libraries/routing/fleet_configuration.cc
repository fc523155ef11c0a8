#include "routing/fleet_configuration.h"

namespace parsleyquay {

const WorkspaceConfiguration& GetWorkspaceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& workspace) {
  static const WorkspaceConfiguration default_configuration;
  const auto found = configuration.workspaces.find(workspace);
  return found == configuration.workspaces.end() ? default_configuration
                                                 : found->second;
}

const ServiceConfiguration& GetServiceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& service) {
  static const ServiceConfiguration default_configuration;
  const auto found = configuration.services.find(service);
  return found == configuration.services.end() ? default_configuration
                                               : found->second;
}

}  // namespace parsleyquay
