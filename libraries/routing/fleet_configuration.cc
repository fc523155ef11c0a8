#include "routing/fleet_configuration.h"

namespace parsleyquay {

const WorkspaceTerms& WorkspaceTermsOf(const FleetConfiguration& configuration,
                                       const std::string& workspace) {
  static const WorkspaceTerms unlimited;
  const auto found = configuration.workspaces.find(workspace);
  return found == configuration.workspaces.end() ? unlimited : found->second;
}

const ServiceTerms& ServiceTermsOf(const FleetConfiguration& configuration,
                                   const std::string& service) {
  static const ServiceTerms usual;
  const auto found = configuration.services.find(service);
  return found == configuration.services.end() ? usual : found->second;
}

}  // namespace parsleyquay
