#ifndef PARSLEYQUAY_ENTRY_ENTRY_SETTINGS_H_
#define PARSLEYQUAY_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "ini/ini_document.h"

namespace parsleyquay {

// Settings of one instance, from its settings file.
struct EntrySettings {
  std::string name;
  std::string failure_domain;
  std::string http_address;             // listening address
  std::string peer_address;             // listening address
  std::string advertised_http_address;  // given to callers
  std::string advertised_peer_address;  // given to instances
  std::string platform_address;
  std::string fleet_key;                    // secret of all instances
  std::vector<std::string> seed_addresses;  // HTTP addresses of instances
  long max_connections_per_server = 330;    // accepted by each backend server
  Duration snapshot_interval = seconds(600);
  // Time for which requests are still accepted after SIGTERM.
  Duration shutdown_delay = seconds(10);

  bool operator==(const EntrySettings&) const = default;
};

struct ParsedSettings {
  EntrySettings settings;
  std::vector<IniProblem> problems;
};

// Parses and checks the text of a settings file. Returns all problems at once.
ParsedSettings ParseEntrySettings(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_SETTINGS_H_
