#include "gateway/shard_owner_log.h"

#include <string>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

std::string NameOf(ShardOwnerState state) {
  switch (state) {
    case ShardOwnerState::kReached:
      return "reached";
    case ShardOwnerState::kUnknown:
      return "unknown";
    case ShardOwnerState::kSilent:
      return "silent";
    case ShardOwnerState::kDeclined:
      return "declined";
  }
  return "";
}

}  // namespace

void ShardOwnerLog::Record(long shard,
                           ShardOwnerState state,
                           std::size_t claims) {
  const auto found = this->unreached.find(shard);
  const ShardOwnerState before = found == this->unreached.end()
                                     ? ShardOwnerState::kReached
                                     : found->second;
  if (state == before) {
    return;
  }
  const bool is_reached = state == ShardOwnerState::kReached;
  if (is_reached) {
    this->unreached.erase(found);
  } else {
    this->unreached[shard] = state;
  }
  LogEvent(is_reached ? LogLevel::kInfo : LogLevel::kWarning, "shard_owner",
           {{"shard", std::to_string(shard)},
            {"state", NameOf(state)},
            {"before", NameOf(before)},
            {"claims", std::to_string(claims)}});
}

}  // namespace parsleyquay
