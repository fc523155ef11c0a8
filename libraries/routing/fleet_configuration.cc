#include "routing/fleet_configuration.h"

namespace parsleyquay {

const WorkspaceTerms& WorkspaceTermsOf(const FleetConfiguration& configuration,
                                       const std::string& workspace) {
  static const WorkspaceTerms kUnlimited;
  const auto found = configuration.workspaces.find(workspace);
  return found == configuration.workspaces.end() ? kUnlimited : found->second;
}

const ServiceTerms& ServiceTermsOf(const FleetConfiguration& configuration,
                                   const std::string& service) {
  static const ServiceTerms kUsual;
  const auto found = configuration.services.find(service);
  return found == configuration.services.end() ? kUsual : found->second;
}

}  // namespace parsleyquay
