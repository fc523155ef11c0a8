#include "gateway/gateway_settings.h"

#include <algorithm>
#include <array>

#include "base/duration_text.h"
#include "base/socket_address.h"
#include "ini/section_reader.h"

namespace parsleyquay {

namespace {

constexpr NumberRange kRatioRange = {0, 100};
constexpr NumberRange kShareRange = {0, 1};
constexpr NumberRange kCountRange = {0, 1'000'000};
constexpr NumberRange kCoreRange = {0.001, 1'000};
constexpr NumberRange kLinkRange = {0.01, 1'000'000};  // Mbit/s
constexpr NumberRange kMemoryRange = {8, 1'000'000};   // MB
constexpr NumberRange kDescriptorRange = {64, 10'000'000};
constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
constexpr NumberRange kWaitingBytesRange = {0, 1e12};
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
  ProcessLimits& limits = settings.process_limits;
  if (reader.IsStated("memory")) {
    limits.memory_bytes = static_cast<std::uint64_t>(
        reader.Number("memory", kMemoryRange) * kBytesPerMegabyte);
  }
  if (reader.IsStated("descriptors")) {
    limits.descriptors = static_cast<std::size_t>(
        reader.Integer("descriptors", kDescriptorRange));
  }
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

// Read a bound that a deployment need not state. The settings template then
// leaves its value empty, and the bound keeps its default.
void ReadOptionalDuration(SectionReader& reader,
                          const std::string& key,
                          Duration& bound) {
  if (reader.IsStated(key)) {
    bound = ReadDuration(reader, key);
  }
}

void ReadOptionalNumber(SectionReader& reader,
                        const std::string& key,
                        NumberRange range,
                        double& bound) {
  if (reader.IsStated(key)) {
    bound = reader.Number(key, range);
  }
}

void ReadBounds(SectionReader& reader, GatewaySettings& settings) {
  FleetBounds& bounds = settings.bounds;
  RateLimitTolerance& tolerance = bounds.rate_limit_tolerance;
  ReadOptionalDuration(reader, "grace", bounds.termination_grace_period);
  ReadOptionalDuration(reader, "address_lifetime", bounds.address_lifetime);
  ReadOptionalNumber(reader, "retry_ratio", kRatioRange, bounds.retry_ratio);
  ReadOptionalNumber(reader, "retry_slack", kCountRange, bounds.retry_slack);
  ReadOptionalDuration(reader, "retry_window", bounds.retry_window);
  ReadOptionalDuration(reader, "allowance_window", tolerance.window);
  ReadOptionalNumber(reader, "allowance_overshoot", kRatioRange,
                     tolerance.overshoot);
  ReadOptionalNumber(reader, "allowance_slack", kCountRange, tolerance.slack);
  bounds.has_token_priorities = reader.BooleanOr("allowance_priorities", false);
  ReadOptionalNumber(reader, "cold_overshoot", kRatioRange,
                     bounds.cold_overshoot);
  ReadOptionalNumber(reader, "cold_slack", kCountRange, bounds.cold_slack);
  if (reader.IsStated("rollout_exposure_share")) {
    bounds.rollout_exposure_share =
        reader.Number("rollout_exposure_share", kShareRange);
  }
  if (reader.IsStated("rollout_exposure_slack")) {
    bounds.rollout_exposure_slack =
        reader.Number("rollout_exposure_slack", kCountRange);
  }
  if (reader.IsStated("rollback_time")) {
    bounds.rollback_time = ReadDuration(reader, "rollback_time");
  }
}

void ReadAdmission(SectionReader& reader, GatewaySettings& settings) {
  AdmissionLimits& limits = settings.admission;
  limits.max_waiting =
      static_cast<std::size_t>(reader.Integer("max_waiting", kCountRange));
  limits.max_waiting_bytes = static_cast<std::size_t>(
      reader.Integer("max_waiting_bytes", kWaitingBytesRange));
}

void ReadRetries(SectionReader& reader, GatewaySettings& settings) {
  settings.has_pooled_retries = reader.BooleanOr("pooled_budget", false);
}

void ReadDissemination(SectionReader& reader, GatewaySettings& settings) {
  settings.has_configuration_from_aggregators =
      reader.BooleanOr("configuration_from_aggregators", false);
}

struct SectionParser {
  std::string name;
  void (*parse)(SectionReader&, GatewaySettings&);
  bool is_optional = false;
};

const std::array<SectionParser, 7>& SectionParsers() {
  static const std::array<SectionParser, 7> parsers = {
      {{"instance", &ReadInstance},
       {"listen", &ReadListen},
       {"store", &ReadStore},
       {"bounds", &ReadBounds},
       {"admission", &ReadAdmission, true},
       {"dissemination", &ReadDissemination, true},
       {"retries", &ReadRetries, true}}};
  return parsers;
}

}  // namespace

ParsedGatewaySettings ParseGatewaySettings(const std::string& text) {
  IniDocument document = ParseIni(text);
  ParsedGatewaySettings parsed;
  parsed.problems = std::move(document.problems);
  for (const SectionParser& parser : SectionParsers()) {
    const auto section =
        std::ranges::find(document.sections, parser.name, &IniSection::name);
    if (section == document.sections.end()) {
      if (!parser.is_optional) {
        parsed.problems.push_back({0, parser.name, "", "", "this section"});
      }
      continue;
    }
    SectionReader reader(*section, parsed.problems);
    parser.parse(reader, parsed.settings);
    reader.RejectUnknownKeys();
  }
  for (const IniSection& section : document.sections) {
    const bool is_known =
        std::ranges::any_of(SectionParsers(), [&](const SectionParser& parser) {
          return parser.name == section.name;
        });
    if (!is_known) {
      parsed.problems.push_back({section.line, section.name, "", "",
                                 "[instance], [listen], [store], [bounds], "
                                 "[admission], [dissemination] or "
                                 "[retries]"});
    }
  }
  return parsed;
}

}  // namespace parsleyquay
