#include "routing/fleet_configuration.h"

namespace parsleyquay {

const WorkspaceTerms& WorkspaceTermsOf(const FleetConfiguration& configuration,
                                       const std::string& workspace) {
  static const WorkspaceTerms default_configuration;
  const auto found = configuration.workspaces.find(workspace);
  return found == configuration.workspaces.end() ? default_configuration
                                                 : found->second;
}

const ServiceTerms& ServiceTermsOf(const FleetConfiguration& configuration,
                                   const std::string& service) {
  static const ServiceTerms default_configuration;
  const auto found = configuration.services.find(service);
  return found == configuration.services.end() ? default_configuration
                                               : found->second;
}

}  // namespace parsleyquay
