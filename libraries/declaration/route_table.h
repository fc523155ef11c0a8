#ifndef PARSLEYQUAY_DECLARATION_ROUTE_TABLE_H_
#define PARSLEYQUAY_DECLARATION_ROUTE_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "declaration/declaration.h"

namespace parsleyquay {

struct RouteMatch {
  std::string name;
  Route route;

  bool operator==(const RouteMatch&) const = default;
};

// Finds the route of a path without a scan over all routes.
class RouteTable {
 public:
  explicit RouteTable(const Declaration& declaration);

  // The route with the longest prefix that ends where a part of the path
  // ends. The query is no part of the path.
  std::optional<RouteMatch> FindRoute(std::string_view target) const;

 private:
  std::unordered_map<std::string, RouteMatch> routes_by_prefix;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DECLARATION_ROUTE_TABLE_H_
