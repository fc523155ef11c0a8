#ifndef PARSLEYQUAY_PLATFORM_PLATFORM_CLIENT_H_
#define PARSLEYQUAY_PLATFORM_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet/record.h"
#include "http/http_client.h"

namespace parsleyquay {

// A range of log entries, and the bounds of the entries that the log keeps.
struct LogPage {
  std::uint64_t first_offset = 0;  // offset of the oldest entry that is kept
  std::uint64_t next_offset = 0;   // offset of the next append
  std::vector<LogEntry> entries;   // in order
};

enum class InstanceState { kLive, kLeaving };

// One entry of the platform's list of backend servers.
struct ListedServer {
  std::string name;
  std::string service;
  std::string address;  // "ip:port"
  std::string failure_domain;
  InstanceState state = InstanceState::kLive;
  long slots = 0;  // requests that it works on at a time

  bool operator==(const ListedServer&) const = default;
};

enum class AppendOutcome {
  kAppended,
  kUnknown,      // the record may or may not have been appended
  kNotAppended,  // the append was not sent, or the response status was 503
};

// Client of the platform's HTTP API: an append-only log and a list of
// backend servers. The response to an append may be lost after the record was
// appended.
class PlatformClient {
 public:
  PlatformClient(HttpClient& http, std::string address);

  // Reads a page of entries from offset `from` on. Passes std::nullopt to
  // `on_page` if the platform cannot be reached or its response is malformed.
  void ReadLog(std::uint64_t from,
               std::function<void(std::optional<LogPage>)> on_page);

  // Appends a record to the log. Does not retry.
  void Append(const Record& record,
              std::function<void(AppendOutcome)> on_outcome);

  // Reads the list of backend servers. Passes std::nullopt to `on_list` if the
  // platform cannot be reached or its response is malformed.
  void ReadServers(
      std::function<void(std::optional<std::vector<ListedServer>>)> on_list);

 private:
  HttpClient& http;
  std::string address;
};

// Parse the platform's responses. Return std::nullopt if a response is
// malformed.
std::optional<LogPage> ParseLogPage(const std::string& text);
std::optional<std::vector<ListedServer>> ParseServerList(
    const std::string& text);

// Encodes a page as the platform does, to send it to a peer that cannot reach
// the platform.
std::string EncodeLogPage(const LogPage& page);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLATFORM_PLATFORM_CLIENT_H_
