#ifndef PARSLEYQUAY_COORDINATION_CHANGE_FEED_H_
#define PARSLEYQUAY_COORDINATION_CHANGE_FEED_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/feed_position.h"

namespace parsleyquay {

enum class FeedReadStatus {
  kRead,
  kExpired,      // the changes at the requested position are no longer retained
  kUnavailable,  // no response, or an error response
};

// The result of one read of a change feed.
template <typename Change>
struct FeedReadResult {
  FeedReadStatus status = FeedReadStatus::kUnavailable;
  std::string detail;  // why the feed is unavailable, for the log
  std::vector<Change> changes;
  // Where the next read continues. Its era is that of the response, also if
  // the status is kExpired.
  FeedPosition next_position;
};

struct FeedReadOptions {
  // How long the read waits for a change if there is none yet.
  Duration wait = Duration(0);
  Duration timeout = seconds(1);  // of the whole read, including `wait`
  // Whether to open a new connection. A kept-alive connection may have stopped
  // responding, so only a new one shows whether the feed is available.
  bool needs_new_connection = false;

  bool operator==(const FeedReadOptions&) const = default;
};

// Cancels a read. Its result is not delivered any more.
using CancelFeedRead = std::function<void()>;

// An ordered log of changes, each of which belongs to a key. The newest change
// of each key is retained indefinitely, the others for a limited time.
template <typename Change>
struct ChangeFeed {
  using OnRead = std::function<void(FeedReadResult<Change>)>;

  // Reads the newest change of every key. `wait` is ignored.
  std::function<CancelFeedRead(const FeedReadOptions&, OnRead)> read_all;

  // Reads the changes from a position on.
  std::function<
      CancelFeedRead(FeedPosition position, const FeedReadOptions&, OnRead)>
      read_from;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_CHANGE_FEED_H_
