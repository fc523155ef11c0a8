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

// A request that waits for a backend server.
struct WaitingRequest {
  std::uint64_t id = 0;
  std::string workspace;
  double weight = 1;  // weight of the workspace
  TimePoint deadline;
  double start_tag = 0;  // set by the queue

  bool operator==(const WaitingRequest&) const = default;
};

// Requests for one service, taken by start-time fair queueing (Goyal, Vin and
// Cheng, 1996, section 2): a workspace that sends much waits behind its own
// requests and not in front of others'.
struct FairQueue {
  double virtual_time = 0;
  std::map<std::string, double> finish_tags;  // newest of each workspace
  std::map<std::string, std::deque<WaitingRequest>> waiting;
  std::size_t size = 0;

  bool operator==(const FairQueue&) const = default;
};

FairQueue Enqueue(FairQueue queue, WaitingRequest request);

// Takes out a request that is no longer wanted.
FairQueue Remove(FairQueue queue, std::uint64_t id);

struct DequeueResult {
  FairQueue queue;
  std::optional<WaitingRequest> request;
  std::vector<std::uint64_t> expired;  // ids whose deadline has passed
};

// Takes the next request that can still meet its deadline if it takes
// `expected_service_time`.
DequeueResult Dequeue(FairQueue queue,
                      Duration expected_service_time,
                      TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ADMISSION_FAIR_QUEUE_H_
