#include "entry/entry_settings.h"

#include <algorithm>
#include <sstream>

#include "base/socket_address.h"
#include "ini/section_reader.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kMinFleetKeyLength = 16;
constexpr NumberRange kConnectionRange = {1, 100'000};
constexpr NumberRange kSnapshotSecondsRange = {1, 86'400};
constexpr NumberRange kShutdownDelayMillisecondsRange = {0, 600'000};

std::string ReadAddress(SectionReader& reader, const std::string& key) {
  const std::string address = reader.Text(key);
  if (!address.empty() && !IsSocketAddress(address)) {
    reader.AddProblem(key, "ip:port, such as 127.0.0.1:8080");
  }
  return address;
}

std::string ReadAddressOr(SectionReader& reader,
                          const std::string& key,
                          const std::string& fallback) {
  const std::string address = reader.TextOr(key, fallback);
  if (!address.empty() && !IsSocketAddress(address)) {
    reader.AddProblem(key, "ip:port, such as 127.0.0.1:8080");
  }
  return address;
}

std::vector<std::string> ReadSeeds(SectionReader& reader) {
  std::istringstream text(reader.TextOr("seeds", ""));
  std::vector<std::string> seeds;
  std::string seed;
  while (text >> seed) {
    seeds.push_back(seed);
  }
  if (!std::ranges::all_of(seeds, &IsSocketAddress)) {
    reader.AddProblem("seeds", "ip:port pairs separated by spaces");
  }
  return seeds;
}

void ReadInstance(SectionReader& reader, EntrySettings& settings) {
  settings.name = reader.Text("name");
  settings.failure_domain = reader.Text("failure_domain");
  settings.http_address = ReadAddress(reader, "http");
  settings.peer_address = ReadAddress(reader, "peer");
  settings.advertised_http_address =
      ReadAddressOr(reader, "advertised_http", settings.http_address);
  settings.advertised_peer_address =
      ReadAddressOr(reader, "advertised_peer", settings.peer_address);
  settings.max_connections_per_server =
      reader.IntegerOr("server_connections", kConnectionRange,
                       settings.max_connections_per_server);
  settings.shutdown_delay = milliseconds(
      reader.IntegerOr("leave_delay_ms", kShutdownDelayMillisecondsRange,
                       ToMilliseconds(settings.shutdown_delay)));
}

void ReadFleet(SectionReader& reader, EntrySettings& settings) {
  settings.platform_address = ReadAddress(reader, "platform");
  settings.fleet_key = reader.Text("key");
  if (settings.fleet_key.size() < kMinFleetKeyLength) {
    reader.AddProblem("key", "a secret of at least 16 characters");
  }
  settings.seed_addresses = ReadSeeds(reader);
  settings.snapshot_interval =
      seconds(reader.IntegerOr("snapshot_seconds", kSnapshotSecondsRange, 600));
}

}  // namespace

ParsedSettings ParseEntrySettings(const std::string& text) {
  IniDocument document = ParseIni(text);
  ParsedSettings parsed;
  parsed.problems = std::move(document.problems);
  const auto read = [&](const std::string& name, auto read_section) {
    const auto section =
        std::ranges::find(document.sections, name, &IniSection::name);
    if (section == document.sections.end()) {
      parsed.problems.push_back({0, name, "", "", "this section"});
      return;
    }
    SectionReader reader(*section, parsed.problems);
    read_section(reader, parsed.settings);
    reader.RejectUnknownKeys();
  };
  read("instance", &ReadInstance);
  read("fleet", &ReadFleet);
  for (const IniSection& section : document.sections) {
    if (section.name != "instance" && section.name != "fleet") {
      parsed.problems.push_back(
          {section.line, section.name, "", "", "[instance] or [fleet]"});
    }
  }
  // The secret must not appear in an error message.
  for (IniProblem& problem : parsed.problems) {
    if (problem.section == "fleet" && problem.key == "key") {
      problem.value = "(hidden)";
    }
  }
  return parsed;
}

}  // namespace parsleyquay
