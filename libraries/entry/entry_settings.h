#ifndef PARSLEYQUAY_ENTRY_ENTRY_SETTINGS_H_
#define PARSLEYQUAY_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "ini/ini_document.h"

namespace parsleyquay {

// What one process learns from its settings file.
struct EntrySettings {
  std::string name;
  std::string failure_domain;
  std::string http_address;             // listened on
  std::string peer_address;             // listened on
  std::string advertised_http_address;  // told to callers
  std::string advertised_peer_address;  // told to other instances
  std::string platform_address;
  std::string fleet_key;                    // shared by all instances
  std::vector<std::string> seed_addresses;  // HTTP addresses of instances
  long max_connections_per_server = 330;    // that one backend server accepts
  Duration snapshot_interval = seconds(600);
  Duration shutdown_delay = seconds(10);  // serves that long after SIGTERM

  bool operator==(const EntrySettings&) const = default;
};

struct ParsedSettings {
  EntrySettings settings;
  std::vector<IniProblem> problems;
};

// Reads and checks a settings file; all faults are returned at once.
ParsedSettings ParseEntrySettings(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_SETTINGS_H_
