#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "event/timer.h"
#include "operations/blocking_http.h"

namespace parsleyquay {

// A stream of requests that one workspace sends.
struct LoadStream {
  std::string workspace;
  std::string key;
  std::string method = "GET";
  std::string target;
  double rate_per_second = 1;
  // Attempts for each request, including the first. An attempt that ends as
  // kNotRun is repeated at the next address, unless its key was not accepted.
  int most_tries = 3;
  // Sends a unique idempotency key with each request and appends it to the
  // path, so that the run records of the servers name the request.
  bool has_idempotency_keys = false;
  // Also repeats a request, with the same idempotency key, if its outcome is
  // unknown or its response was incomplete.
  bool repeats_unknown = false;
  // Sends as a Poisson process rather than at even intervals.
  bool is_random = true;
  // If not empty, the stream uses these addresses in round-robin order and
  // does not ask the fleet for addresses.
  std::vector<std::string> fixed_addresses;
};

enum class LoadOutcome {
  kAnswered,   // a response with a status below 500
  kOverLimit,  // refused: the workspace exceeds its rate limit
  kNotRun,     // refused for another reason; it did not run
  kUnknown,    // the fleet cannot tell whether it ran
  kFailed,     // the fleet reports a failure, or a status of 500 or above
  kBroken,     // no complete response arrived
};

struct LoadResult {
  std::size_t stream = 0;
  TimePoint sent_at;               // first attempt
  Duration latency = Duration(0);  // from `sent_at` to the last response
  LoadOutcome outcome = LoadOutcome::kBroken;
  std::string reason;
  std::string request_id;
  std::string address;  // of the last attempt
  // Request ids of the attempts that ended as kNotRun.
  std::vector<std::string> not_run_ids;
  std::string idempotency_key;
  bool is_answer_own = true;  // false: the body names another request's id
};

// Generates load as callers do: asks the fleet for the addresses of instances,
// caches them for the lifetime that the fleet gives, and tries the next address
// when a request was refused without running.
class Load {
 public:
  Load(BlockingHttp& http,
       std::vector<std::string> entries,
       std::vector<LoadStream> streams,
       unsigned seed);

  // Sends requests for `time`, then waits up to 12 s for the outstanding
  // responses. Calls `on_interval` about every 50 ms while it sends, with the
  // time since the start.
  void Run(Duration time,
           const std::function<void(Duration elapsed)>& on_interval = {});

  const std::vector<LoadResult>& results() const { return this->finished; }

 private:
  struct Caller {
    std::vector<std::string> addresses;
    TimePoint resolved_until;
    bool is_resolving = false;
    TimePoint next_due;
    std::size_t turn = 0;
    std::mt19937_64 random;  // one per stream makes the times repeatable
  };

  struct Try {
    LoadResult result;
    int tries = 0;
    std::vector<std::string> addresses;
  };

  void SendDue();
  void Resolve(std::size_t stream);
  void Send(const std::shared_ptr<Try>& attempt);
  void OnAnswer(const std::shared_ptr<Try>& attempt,
                const SimpleAnswer& answer);
  TimePoint NextDue(std::size_t stream, TimePoint from);

  BlockingHttp& http;
  std::vector<std::string> entries;
  std::vector<LoadStream> streams;
  std::vector<Caller> callers;
  std::mt19937_64 random;
  TimePoint stop_at;
  std::size_t open = 0;
  std::uint64_t next_key = 0;
  std::string key_prefix;
  std::vector<LoadResult> finished;
};

// Returns a quantile (0 to 1) of the latency of answered requests in
// milliseconds; 0 if none was answered.
double LatencyQuantileMs(const std::vector<LoadResult>& results,
                         double quantile);

std::size_t CountOutcome(const std::vector<LoadResult>& results,
                         LoadOutcome outcome);

// Returns the results of the stream with the index `stream`.
std::vector<LoadResult> OfStream(const std::vector<LoadResult>& results,
                                 std::size_t stream);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_H_
