#include "operations/fleet_reader.h"

#include "fleet/snapshot.h"
#include "platform/platform_client.h"

namespace parsleyquay {

namespace {

struct LogContent {
  std::uint64_t first_offset = 0;
  std::vector<LogEntry> entries;
};

Result<LogContent> ReadLogFrom(BlockingHttpClient& http,
                               const std::string& platform,
                               std::uint64_t from) {
  LogContent content;
  std::uint64_t next = from;
  while (true) {
    const BufferedResponse response =
        http.Get(platform, "/log?from=" + std::to_string(next));
    const std::optional<LogPage> page =
        response.is_ok() ? ParseLogPage(response.body) : std::nullopt;
    if (!page) {
      return Fail({"read log", platform,
                   response.status == 0
                       ? response.result.detail
                       : "status " + std::to_string(response.status)});
    }
    content.first_offset = page->first_offset;
    for (const LogEntry& entry : page->entries) {
      content.entries.push_back(entry);
      next = entry.offset + 1;
    }
    if (page->entries.empty() || next >= page->next_offset) {
      return content;
    }
  }
}

}  // namespace

Result<FleetState> ReadFleetStateFrom(BlockingHttpClient& http,
                                      const std::string& platform,
                                      FleetState state) {
  BOOST_LEAF_AUTO(content, ReadLogFrom(http, platform, state.next_offset));
  if (content.first_offset > state.next_offset) {
    std::optional<FleetState> restored = RestoreFromEntries(content.entries);
    if (!restored) {
      return Fail({"read log", platform,
                   "the log starts at offset " +
                       std::to_string(content.first_offset) +
                       " and holds no complete snapshot"});
    }
    return std::move(*restored);
  }
  for (const LogEntry& entry : content.entries) {
    state = ApplyEntry(std::move(state), entry);
  }
  return state;
}

Result<FleetState> ReadFleetState(BlockingHttpClient& http,
                                  const std::string& platform) {
  return ReadFleetStateFrom(http, platform, FleetState{});
}

}  // namespace parsleyquay
