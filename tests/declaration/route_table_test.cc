#include "declaration/route_table.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

std::string NameOf(const RouteTable& table, std::string_view target) {
  const auto found = table.FindRoute(target);
  return found ? found->name : "";
}

TEST_CASE("the longest prefix that ends at a part of the path wins") {
  Declaration declaration;
  declaration.routes["all"].path_prefix = "/a";
  declaration.routes["deep"].path_prefix = "/a/b";
  declaration.routes["folder"].path_prefix = "/c/";
  const RouteTable table(declaration);
  CHECK(NameOf(table, "/a") == "all");
  CHECK(NameOf(table, "/a/x") == "all");
  CHECK(NameOf(table, "/a/b") == "deep");
  CHECK(NameOf(table, "/a/b/c?d=/a") == "deep");
  CHECK(NameOf(table, "/a/bc") == "all");
  CHECK(NameOf(table, "/c/d") == "folder");
  CHECK(NameOf(table, "/c").empty());
  CHECK(NameOf(table, "/ab").empty());
  CHECK(NameOf(table, "").empty());
}

}  // namespace
}  // namespace parsleyquay
