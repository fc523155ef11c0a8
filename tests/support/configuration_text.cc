#include "support/configuration_text.h"

namespace parsleyquay {

namespace {

std::string RouteText(const std::string& name, const std::string& kind) {
  return R"({"resource_kind":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"a.example","path_prefix":"/)" + name +
         R"(/","kind":")" + kind + R"(","timeout":"1500ms",
         "slo_latency":"800ms","priority":1,"service":"work",
         "max_attempts":2,"public":false}},)";
}

std::string TenantText(const WorkspaceText& workspace) {
  return R"(,{"resource_kind":"tenants","metadata":{"name":")" +
         workspace.name + R"("},"spec":{"api_keys":[)" + workspace.keys +
         R"(],"priority":1,"rate_per_s":)" + std::to_string(workspace.rate) +
         R"(,"burst":)" + std::to_string(workspace.burst) + "}}";
}

}  // namespace

std::string ConfigurationText(int version,
                              const std::vector<WorkspaceText>& workspaces) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"resources":[)" + RouteText("safe", "safe") +
                     RouteText("once", "unsafe") +
                     R"({"resource_kind":"services","metadata":
                     {"name":"work"},"spec":{"health_path":"/health",
                     "max_conns":300,"cold_start":"1s","cold_per_s":7}})";
  for (const WorkspaceText& workspace : workspaces) {
    text += TenantText(workspace);
  }
  return text + "]}";
}

}  // namespace parsleyquay
