#ifndef PARSLEYQUAY_ADMISSION_FAIR_QUEUE_H_
#define PARSLEYQUAY_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// A request that is queued until a backend server has capacity.
struct WaitingRequest {
  std::uint64_t id = 0;
  std::string workspace;
  double weight = 1;  // weight of the workspace
  TimePoint deadline;
  double start_tag = 0;  // virtual start time, set by Enqueue()

  bool operator==(const WaitingRequest&) const = default;
};

// The queued requests for one service, ordered by start-time fair queueing
// (Goyal, Vin and Cheng, 1996, section 2). The requests of a workspace that
// sends many wait for each other and do not delay those of other workspaces.
struct FairQueue {
  double virtual_time = 0;
  // The finish tag of the last enqueued request, by workspace.
  std::map<std::string, double> finish_tags;
  std::map<std::string, std::deque<WaitingRequest>> waiting;  // by workspace
  std::size_t size = 0;  // number of queued requests

  bool operator==(const FairQueue&) const = default;
};

FairQueue Enqueue(FairQueue queue, WaitingRequest request);

// Removes the request with the given id. Does nothing if there is none.
FairQueue Remove(FairQueue queue, std::uint64_t id);

struct DequeueResult {
  FairQueue queue;
  std::optional<WaitingRequest> request;  // std::nullopt if none is left
  // Ids of the requests that were dropped because they cannot meet their
  // deadline any more.
  std::vector<std::uint64_t> expired;
};

// Takes the next request that meets its deadline if it is served within
// `expected_service_time` from `now`. Drops the requests at the head of each
// workspace's queue that would miss theirs.
DequeueResult Dequeue(FairQueue queue,
                      Duration expected_service_time,
                      TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ADMISSION_FAIR_QUEUE_H_
