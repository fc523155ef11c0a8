#ifndef PARSLEYQUAY_ADMISSION_ADMISSION_QUEUE_H_
#define PARSLEYQUAY_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/fair_queue.h"

namespace parsleyquay {

// A request that asks to be sent to a server of a service.
struct AdmissionRequest {
  std::uint64_t id = 0;  // unique in the instance
  std::string workspace;
  double weight = 1;      // of the workspace
  int priority = 0;       // 0 is the highest
  bool is_retry = false;  // a server has shed it; sending it needs retry budget
  std::size_t bytes = 0;  // held in memory while it waits
  TimePoint started_at;   // when the instance received it
  TimePoint queued_at;    // when it began to wait
  Duration latency_target = Duration(0);  // from `started_at`; 0: none
  TimePoint deadline;

  bool operator==(const AdmissionRequest&) const = default;
};

// Bounds of the queues of one instance, all services together.
struct AdmissionLimits {
  std::size_t max_waiting = 0;  // requests; 0: requests never wait
  std::size_t max_waiting_bytes = 0;

  bool operator==(const AdmissionLimits&) const = default;
};

// A kind of waiting requests. In ascending order: the highest priority first,
// and within it second attempts, which have waited longest, before first ones.
struct AdmissionClass {
  int priority = 0;
  bool is_first_attempt = false;

  auto operator<=>(const AdmissionClass&) const = default;
};

AdmissionClass ClassOf(const AdmissionRequest& request);

// The requests of one service that wait to be sent, ordered by class, and
// within a class by start-time fair queueing between workspaces.
struct AdmissionQueue {
  std::map<AdmissionClass, FairQueue> classes;         // without empty ones
  std::map<std::uint64_t, AdmissionRequest> requests;  // by id
  std::size_t bytes = 0;

  bool operator==(const AdmissionQueue&) const = default;
};

void AddRequest(AdmissionQueue& queue, const AdmissionRequest& request);

// Removes the request with the given id and returns it, or std::nullopt if
// there is none.
std::optional<AdmissionRequest> RemoveRequest(AdmissionQueue& queue,
                                              std::uint64_t id);

// Removes and returns the next request of the class, or std::nullopt if there
// is none.
std::optional<AdmissionRequest> TakeNext(AdmissionQueue& queue,
                                         const AdmissionClass& wanted);

// Returns the ids of the waiting requests in the order in which they are
// served.
std::vector<std::uint64_t> ServingOrder(const AdmissionQueue& queue);

// Returns how many waiting requests would be served before the given one, which
// does not wait yet. Second attempts are counted if it is one, and first
// attempts otherwise.
std::size_t CountAhead(const AdmissionQueue& queue,
                       const AdmissionRequest& request);

// Returns the waiting request that gives way to one of `priority` if the queue
// is full: the last one of the lowest priority below it, or std::nullopt.
std::optional<std::uint64_t> FindEvictable(const AdmissionQueue& queue,
                                           int priority);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ADMISSION_ADMISSION_QUEUE_H_
