#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/gateway_settings.h"

namespace parsleyquay {
namespace {

using TemplateFields = std::map<std::string, std::string>;

// The fields that every deployment states.
TemplateFields CommonFields() {
  return {{"node", "instance-1"},
          {"zone", "domain-1"},
          {"ip", "127.0.0.1"},
          {"limits.cpu_share", "0.1"},
          {"limits.link_mbps", "10.0"},
          {"limits.memory_mb", "160"},
          {"limits.max_fds", "4100"},
          {"listen.front", "127.0.0.1:8045"},
          {"listen.readiness", "127.0.0.1:8048"},
          {"listen.directory", "127.0.0.1:8044"},
          {"internal_ports.0", "7100"},
          {"internal_ports.1", "7115"},
          {"platform.address", "127.0.0.1:8041"},
          {"platform.parts", "24"},
          {"platform.min_ttl", "1000ms"}};
}

// The bounds that a deployment may state.
TemplateFields AllBounds() {
  return {{"bounds.grace", "6s"},
          {"bounds.ttl_max", "4s"},
          {"bounds.retry_budget_ratio", "0.3"},
          {"bounds.retry_budget_slack", "202"},
          {"bounds.budget_window", "9s"},
          {"bounds.quota_window", "4s"},
          {"bounds.quota_overshoot", "0.1"},
          {"bounds.quota_slack", "20"},
          {"bounds.cold_overshoot", "1.4"},
          {"bounds.cold_slack", "8"},
          {"bounds.exposure_share", "0.1"},
          {"bounds.exposure_slack", "50"},
          {"bounds.rollback", "5000ms"}};
}

std::string ReadTemplate() {
  std::ifstream file(PARSLEYQUAY_SOURCE_DIR "/deploy/settings.template");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Replaces each {{name}} by its field, or by nothing if there is none.
std::string Render(std::string text, const TemplateFields& fields) {
  for (std::size_t begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const std::size_t end = text.find("}}", begin);
    const auto field = fields.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin,
                 field == fields.end() ? "" : field->second);
  }
  return text;
}

ParsedGatewaySettings ParseRendered(const TemplateFields& bounds) {
  TemplateFields fields = CommonFields();
  fields.insert(bounds.begin(), bounds.end());
  return ParseGatewaySettings(Render(ReadTemplate(), fields));
}

// Guards against instances that do not start on a deployment that states fewer
// bounds than others do.
TEST_CASE("the settings are valid without each of the bounds") {
  REQUIRE(ParseRendered(AllBounds()).problems.empty());
  for (const auto& [absent, value] : AllBounds()) {
    INFO("absent: " << absent);
    TemplateFields bounds = AllBounds();
    bounds.erase(absent);
    CHECK(ParseRendered(bounds).problems.empty());
  }
  const ParsedGatewaySettings without_bounds = ParseRendered({});
  CHECK(without_bounds.problems.empty());
  CHECK(without_bounds.settings.bounds ==
        FleetBounds{.has_token_priorities = true});
}

// The deployments in force differ in these groups of bounds.
TEST_CASE("the settings of every kind of deployment are valid") {
  const std::vector<std::vector<std::string>> absent_groups = {
      {},
      {"bounds.exposure_share", "bounds.exposure_slack", "bounds.rollback"},
      {"bounds.cold_overshoot", "bounds.cold_slack", "bounds.exposure_share",
       "bounds.exposure_slack", "bounds.rollback"}};
  for (const std::vector<std::string>& absent : absent_groups) {
    TemplateFields bounds = AllBounds();
    std::erase_if(bounds, [&](const auto& bound) {
      return std::ranges::find(absent, bound.first) != absent.end();
    });
    CHECK(ParseRendered(bounds).problems.empty());
  }
}

TEST_CASE("the limits of the machine are optional") {
  const ParsedGatewaySettings stated = ParseRendered({});
  CHECK(stated.settings.process_limits ==
        ProcessLimits{.memory_bytes = 160'000'000, .descriptors = 4'100});
  TemplateFields fields = CommonFields();
  fields.erase("limits.memory_mb");
  fields.erase("limits.max_fds");
  const ParsedGatewaySettings absent =
      ParseGatewaySettings(Render(ReadTemplate(), fields));
  CHECK(absent.problems.empty());
  CHECK(absent.settings.process_limits == ProcessLimits{});
}

TEST_CASE("the section of admission control is optional") {
  CHECK(ParseRendered({}).settings.admission ==
        AdmissionLimits{.max_waiting = 0, .max_waiting_bytes = 8'000'000});
  const std::string text = Render(ReadTemplate(), CommonFields());
  const std::size_t section = text.find("[admission]");
  REQUIRE(section != std::string::npos);
  const ParsedGatewaySettings without =
      ParseGatewaySettings(text.substr(0, section));
  CHECK(without.problems.empty());
  CHECK(without.settings.admission == AdmissionLimits{});
  CHECK(ParseGatewaySettings(text + "unknown = 1\n").problems.size() == 1);
}

// Guards against a pool that is on without being asked for.
TEST_CASE("the retry budgets are pooled only where the settings say so") {
  CHECK_FALSE(ParseRendered({}).settings.has_pooled_retries);
  const std::string text = Render(ReadTemplate(), CommonFields());
  const ParsedGatewaySettings pooled =
      ParseGatewaySettings(text + "\n[retries]\npooled_budget = yes\n");
  CHECK(pooled.problems.empty());
  CHECK(pooled.settings.has_pooled_retries);
  CHECK(ParseGatewaySettings(text + "\n[retries]\npooled_budget = maybe\n")
            .problems.size() == 1);
}

TEST_CASE("the section of dissemination is optional") {
  std::string text = Render(ReadTemplate(), CommonFields());
  CHECK(ParseGatewaySettings(text).settings.has_configuration_from_aggregators);
  text = text.substr(0, text.find("[dissemination]"));
  CHECK_FALSE(
      ParseGatewaySettings(text).settings.has_configuration_from_aggregators);
  text += "[dissemination]\n";
  CHECK_FALSE(
      ParseGatewaySettings(text).settings.has_configuration_from_aggregators);
  CHECK(ParseGatewaySettings(text).problems.empty());
  text += "configuration_from_aggregators = ";
  const ParsedGatewaySettings enabled = ParseGatewaySettings(text + "yes\n");
  CHECK(enabled.problems.empty());
  CHECK(enabled.settings.has_configuration_from_aggregators);
  CHECK(ParseGatewaySettings(text + "perhaps\n").problems.size() == 1);
}

TEST_CASE("a bound that is stated is applied") {
  const FleetBounds bounds = ParseRendered(AllBounds()).settings.bounds;
  CHECK(bounds.address_lifetime == seconds(4));
  CHECK(bounds.retry_ratio == 0.3);
  CHECK(bounds.retry_slack == 202);
  CHECK(bounds.retry_window == seconds(9));
  CHECK(bounds.rate_limit_tolerance == RateLimitTolerance{.window = seconds(4),
                                                          .overshoot = 0.1,
                                                          .slack = 20});
  CHECK(bounds.cold_overshoot == 1.4);
  CHECK(bounds.cold_slack == 8);
  CHECK(bounds.rollout_exposure_share == 0.1);
  CHECK(bounds.rollout_exposure_slack == 50);
  CHECK(bounds.rollback_time == seconds(5));
}

// Guards against a misspelt bound that silently keeps its default.
TEST_CASE("a bound with a malformed value is rejected") {
  for (const auto& [name, value] : AllBounds()) {
    if (ReadTemplate().find("{{" + name + "}}") == std::string::npos) {
      continue;  // This instance does not use the bound.
    }
    INFO("malformed: " << name);
    TemplateFields bounds = AllBounds();
    bounds[name] = "many";
    CHECK(ParseRendered(bounds).problems.size() == 1);
  }
}

}  // namespace
}  // namespace parsleyquay
