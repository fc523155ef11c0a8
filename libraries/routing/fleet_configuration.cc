#include "routing/fleet_configuration.h"

namespace parsleyquay {

const WorkspaceConfiguration& GetWorkspaceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& workspace) {
  static const WorkspaceConfiguration unlimited;
  const auto found = configuration.workspaces.find(workspace);
  return found == configuration.workspaces.end() ? unlimited : found->second;
}

const ServiceConfiguration& GetServiceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& service) {
  static const ServiceConfiguration usual;
  const auto found = configuration.services.find(service);
  return found == configuration.services.end() ? usual : found->second;
}

}  // namespace parsleyquay
