#include "declaration/route_table.h"

namespace parsleyquay {

RouteTable::RouteTable(const Declaration& declaration) {
  for (const auto& [name, route] : declaration.routes) {
    this->routes_by_prefix.emplace(route.path_prefix, RouteMatch{name, route});
  }
}

std::optional<RouteMatch> RouteTable::FindRoute(std::string_view target) const {
  std::string prefix(target.substr(0, target.find('?')));
  while (!prefix.empty()) {
    const auto found = this->routes_by_prefix.find(prefix);
    if (found != this->routes_by_prefix.end()) {
      return found->second;
    }
    // "/a/b" is followed by "/a/", then "/a".
    const bool ends_with_separator = prefix.ends_with('/');
    const auto separator = prefix.rfind('/');
    if (separator == std::string::npos) {
      return std::nullopt;
    }
    prefix.resize(ends_with_separator ? separator : separator + 1);
  }
  return std::nullopt;
}

}  // namespace parsleyquay
