#include "gateway/gateway_settings.h"

#include <algorithm>
#include <array>

#include "base/duration_text.h"
#include "base/socket_address.h"
#include "ini/section_reader.h"

namespace parsleyquay {

namespace {

constexpr NumberRange kShareRange = {0, 100};
constexpr NumberRange kCountRange = {0, 1'000'000};
constexpr NumberRange kCoreRange = {0.001, 1'000};
constexpr NumberRange kLinkRange = {0.01, 1'000'000};  // Mbit/s
constexpr NumberRange kShardRange = {1, 10'000};

std::string ReadAddress(SectionReader& reader, const std::string& key) {
  const std::string address = reader.Text(key);
  if (!address.empty() && !IsSocketAddress(address)) {
    reader.AddProblem(key, "ip:port, such as 127.0.0.1:8080");
  }
  return address;
}

Duration ReadDuration(SectionReader& reader, const std::string& key) {
  const std::string text = reader.Text(key);
  const std::optional<Duration> duration = ParseDuration(text);
  if (!text.empty() && !duration) {
    reader.AddProblem(key, "a number with its unit, such as 1500ms or 2.5s");
  }
  return duration.value_or(Duration(0));
}

void ReadInstance(SectionReader& reader, GatewaySettings& settings) {
  settings.name = reader.Text("name");
  settings.failure_domain = reader.Text("failure_domain");
  Capacity& capacity = settings.capacity;
  capacity.processor =
      reader.NumberOr("processor", kCoreRange, capacity.processor);
  capacity.link = reader.NumberOr("link", kLinkRange, capacity.link);
}

void ReadListen(SectionReader& reader, GatewaySettings& settings) {
  settings.request_address = ReadAddress(reader, "requests");
  settings.readiness_address = ReadAddress(reader, "readiness");
  settings.directory_address = ReadAddress(reader, "directory");
  settings.peer_address = ReadAddress(reader, "peers");
  settings.metrics_address = ReadAddress(reader, "metrics");
}

void ReadStore(SectionReader& reader, GatewaySettings& settings) {
  settings.store_address = ReadAddress(reader, "address");
  settings.shard_count = reader.Integer("duty_count", kShardRange);
  settings.shortest_lease = ReadDuration(reader, "shortest_lease");
}

void ReadBounds(SectionReader& reader, GatewaySettings& settings) {
  FleetBounds& bounds = settings.bounds;
  bounds.termination_grace_period = ReadDuration(reader, "grace");
  bounds.address_lifetime = ReadDuration(reader, "address_lifetime");
  bounds.retry_ratio = reader.Number("retry_ratio", kShareRange);
  bounds.retry_slack = reader.Number("retry_slack", kCountRange);
  bounds.retry_window = ReadDuration(reader, "retry_window");
  bounds.rate_limit_tolerance.window = ReadDuration(reader, "allowance_window");
  bounds.rate_limit_tolerance.overshoot =
      reader.Number("allowance_overshoot", kShareRange);
  bounds.rate_limit_tolerance.slack =
      reader.Number("allowance_slack", kCountRange);
  bounds.cold_overshoot = reader.Number("cold_overshoot", kShareRange);
  bounds.cold_slack = reader.Number("cold_slack", kCountRange);
}

struct SectionRule {
  std::string name;
  void (*read)(SectionReader&, GatewaySettings&);
};

const std::array<SectionRule, 4>& SectionRules() {
  static const std::array<SectionRule, 4> rules = {{{"instance", &ReadInstance},
                                                    {"listen", &ReadListen},
                                                    {"store", &ReadStore},
                                                    {"bounds", &ReadBounds}}};
  return rules;
}

}  // namespace

ParsedGatewaySettings ParseGatewaySettings(const std::string& text) {
  IniDocument document = ParseIni(text);
  ParsedGatewaySettings parsed;
  parsed.problems = std::move(document.problems);
  for (const SectionRule& rule : SectionRules()) {
    const auto section =
        std::ranges::find(document.sections, rule.name, &IniSection::name);
    if (section == document.sections.end()) {
      parsed.problems.push_back({0, rule.name, "", "", "this section"});
      continue;
    }
    SectionReader reader(*section, parsed.problems);
    rule.read(reader, parsed.settings);
    reader.RejectUnknownKeys();
  }
  for (const IniSection& section : document.sections) {
    const bool is_known = std::ranges::any_of(
        SectionRules(),
        [&](const SectionRule& rule) { return rule.name == section.name; });
    if (!is_known) {
      parsed.problems.push_back({section.line, section.name, "", "",
                                 "[instance], [listen], [store] or [bounds]"});
    }
  }
  return parsed;
}

}  // namespace parsleyquay
