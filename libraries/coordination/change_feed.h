#ifndef PARSLEYQUAY_COORDINATION_CHANGE_FEED_H_
#define PARSLEYQUAY_COORDINATION_CHANGE_FEED_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

enum class FeedReadStatus {
  kRead,
  kExpired,      // the changes from that position are no longer kept
  kUnavailable,  // no answer, or one that refuses
};

// The answer to one read of a feed.
template <typename Change>
struct FeedReadResult {
  FeedReadStatus status = FeedReadStatus::kUnavailable;
  std::string detail;
  std::vector<Change> changes;
  std::uint64_t next_position = 0;  // to read on from
};

// How one read of a feed is made.
struct FeedReadOptions {
  Duration wait = Duration(0);  // for the next change, where there is none yet
  Duration timeout = seconds(1);
  // A kept connection may have gone silent; only a new one shows whether the
  // feed answers.
  bool needs_new_connection = false;

  bool operator==(const FeedReadOptions&) const = default;
};

// Ends a read; its answer no longer comes.
using CancelFeedRead = std::function<void()>;

// An ordered record of changes, of which the newest of each key is kept for
// good and the others for some time.
template <typename Change>
struct ChangeFeed {
  using OnRead = std::function<void(FeedReadResult<Change>)>;

  // Reads the newest change of every key, without a wait.
  std::function<CancelFeedRead(const FeedReadOptions&, OnRead)> read_all;

  // Reads what came from a position on.
  std::function<
      CancelFeedRead(std::uint64_t position, const FeedReadOptions&, OnRead)>
      read_from;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_CHANGE_FEED_H_
