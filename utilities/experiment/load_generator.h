#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_GENERATOR_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_GENERATOR_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "event/timer.h"
#include "operations/blocking_http_client.h"

namespace parsleyquay {

// A stream of requests that one workspace sends.
struct LoadStream {
  std::string workspace;
  std::string key;
  std::string method = "GET";
  std::string target;
  double rate_per_second = 1;
  // Attempts for each request, including the first. An attempt that ends as
  // kNotRun is retried at the next address, unless its key was not accepted.
  int max_attempts = 3;
  // Sends a unique idempotency key with each request and appends it to the
  // path, so that the run records of the servers name the request.
  bool has_idempotency_keys = false;
  // Also retries a request, with the same idempotency key, if its outcome is
  // unknown or its response was incomplete.
  bool may_retry_unknown = false;
  // Sends as a Poisson process rather than at even intervals.
  bool has_poisson_arrivals = true;
  // If not empty, the stream uses these addresses in round-robin order and
  // does not ask the fleet for addresses.
  std::vector<std::string> fixed_addresses;
};

enum class LoadOutcome {
  kServed,       // a response with a status below 500
  kRateLimited,  // refused: the workspace exceeds its rate limit
  kNotRun,       // refused for another reason; it did not run
  kUnknown,      // the fleet cannot tell whether it ran
  kFailed,       // the fleet reports a failure, or a status of 500 or above
  kIncomplete,   // no complete response arrived
};

struct LoadResult {
  std::size_t stream = 0;
  TimePoint sent_at;               // first attempt
  Duration latency = Duration(0);  // from `sent_at` to the last response
  LoadOutcome outcome = LoadOutcome::kIncomplete;
  std::string reason;
  std::string request_id;
  std::string address;  // of the last attempt
  // Request ids of the attempts that ended as kNotRun.
  std::vector<std::string> not_run_ids;
  std::string idempotency_key;
  bool has_own_request_id = true;  // false: the body names another request's id
};

// Generates load as callers do: asks the fleet for the addresses of
// instances, caches them for the lifetime that the fleet gives, and tries the
// next address when a request was refused without running.
class LoadGenerator {
 public:
  LoadGenerator(BlockingHttpClient& http,
                std::vector<std::string> instance_addresses,
                std::vector<LoadStream> streams,
                unsigned seed);

  // Sends requests for `time`, then waits up to 12 s for the outstanding
  // responses. Calls `on_interval` about every 50 ms while it sends, with the
  // time since the start.
  void Run(Duration time,
           const std::function<void(Duration elapsed)>& on_interval = {});

  const std::vector<LoadResult>& results() const {
    return this->finished_results;
  }

 private:
  struct StreamState {
    std::vector<std::string> addresses;
    TimePoint resolved_until;
    bool is_resolving = false;
    TimePoint next_send_at;
    std::size_t next_address = 0;
    std::mt19937_64 random;  // one per stream makes the times repeatable
  };

  struct PendingRequest {
    LoadResult result;
    int attempts = 0;
    std::vector<std::string> addresses;
  };

  void SendDue();
  void Resolve(std::size_t stream);
  void Send(const std::shared_ptr<PendingRequest>& pending);
  void OnResponse(const std::shared_ptr<PendingRequest>& pending,
                  const BufferedResponse& response);
  TimePoint NextSendTime(std::size_t stream, TimePoint from);

  BlockingHttpClient& http;
  std::vector<std::string> instance_addresses;
  std::vector<LoadStream> streams;
  std::vector<StreamState> stream_states;
  std::mt19937_64 random;
  TimePoint stop_at;
  std::size_t in_flight = 0;
  std::uint64_t next_idempotency_key = 0;
  std::string idempotency_key_prefix;
  std::vector<LoadResult> finished_results;
};

// Returns a quantile (0 to 1) of the latency of the requests that ended as
// kServed, in milliseconds; 0 if there are none.
double LatencyQuantileMs(const std::vector<LoadResult>& results,
                         double quantile);

std::size_t CountOutcome(const std::vector<LoadResult>& results,
                         LoadOutcome outcome);

// Returns the results of the stream with the index `stream`.
std::vector<LoadResult> FilterByStream(const std::vector<LoadResult>& results,
                                       std::size_t stream);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_GENERATOR_H_
