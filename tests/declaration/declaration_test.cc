#include "declaration/declaration.h"

#include <catch2/catch.hpp>

#include "declaration/declaration_section.h"

namespace parsleyquay {
namespace {

constexpr char kGood[] = R"([class lookup]
target_latency_ms = 50
target_percent = 99.5
idempotent = yes
deadline_ms = 2000

[service registry]
floor_percent = 50

[route lookups]
path = /lookup
service = registry
class = lookup

[workspace isp]
rate_per_second = 10
burst = 5
)";

TEST_CASE("a good declaration is read whole") {
  const ParsedDeclaration parsed = ParseDeclaration(kGood);
  CHECK(parsed.problems.empty());
  CHECK(parsed.declaration.request_classes.at("lookup") ==
        RequestClass{50, 99.5, true, 2000});
  CHECK(parsed.declaration.routes.at("lookups") ==
        Route{"/lookup", "registry", "lookup", false});
  CHECK(parsed.declaration.workspaces.at("isp") == Workspace{10, 5, 1});
}

TEST_CASE("every fault of a file is reported at once with its line") {
  const ParsedDeclaration parsed = ParseDeclaration(
      "[class lookup]\ntarget_latency_ms = soon\ntarget_percent = 101\n"
      "idempotent = maybe\ndeadline_ms = 10\nweight = 3\n"
      "[route r]\npath = lookup\nservice = none\nclass = lookup\n");
  std::vector<int> lines;
  for (const IniProblem& problem : parsed.problems) {
    lines.push_back(problem.line);
  }
  CHECK(lines == std::vector<int>{2, 3, 4, 6, 8, 0});
  CHECK(ToString(parsed.problems[0], "f.ini") ==
        "f.ini:2: [class lookup] target_latency_ms = soon: expected a whole "
        "number from 1 to 600000");
}

TEST_CASE("changes lead from one declaration to another and back") {
  const Declaration from = ParseDeclaration(kGood).declaration;
  Declaration to = from;
  to.workspaces["isp"].rate_per_second = 0.1;
  to.workspaces["other"] = {1, 2, 3};
  to.routes.erase("lookups");
  Declaration changed = from;
  std::vector<IniProblem> problems;
  for (const SectionChange& change : FindChanges(from, to)) {
    ApplyChange(change, changed, problems);
  }
  CHECK(problems.empty());
  CHECK(changed == to);
  CHECK(FindChanges(changed, to).empty());
}

}  // namespace
}  // namespace parsleyquay
