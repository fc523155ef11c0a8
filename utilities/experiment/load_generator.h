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

// One stream of requests of one workspace.
struct LoadStream {
  std::string workspace;
  std::string key;
  std::string method = "GET";
  std::string target;
  double rate_per_second = 1;
  // Requests to other addresses after a refusal that allows it.
  int max_attempts = 3;
  // Gives each request a key, which is also the end of its path.
  bool has_idempotency_keys = false;
  // Sends a request whose outcome is unknown again, with the same key.
  bool may_retry_unknown = false;
  // Spreads the times at random (Poisson) in place of evenly.
  bool has_poisson_arrivals = true;
  // Uses these addresses in turn in place of asking the fleet.
  std::vector<std::string> fixed_addresses;
};

enum class LoadOutcome {
  kServed,       // a backend server's answer, status below 500
  kRateLimited,  // refused for the workspace's rate
  kNotRun,       // refused otherwise, stating that nothing ran
  kUnknown,
  kFailed,
  kIncomplete,  // no whole answer
};

struct LoadResult {
  std::size_t stream = 0;
  TimePoint sent_at;
  Duration latency = Duration(0);
  LoadOutcome outcome = LoadOutcome::kIncomplete;
  std::string reason;
  std::string request_id;
  std::string address;  // of the last try
  // Ids of tries that were refused with "not run" on the way.
  std::vector<std::string> not_run_ids;
  std::string idempotency_key;
  bool has_own_request_id = true;  // the body names this request
};

// Sends streams of requests as callers do: asks the fleet for addresses, keeps
// the answer for its lifetime, and turns to another address when one refuses.
class LoadGenerator {
 public:
  LoadGenerator(BlockingHttpClient& http,
                std::vector<std::string> entries,
                std::vector<LoadStream> streams,
                unsigned seed);

  // Sends for the time given, then waits for the answers that are due.
  // `during` is called every 50 ms with the time since the start.
  void Run(Duration time,
           const std::function<void(Duration elapsed)>& during = {});

  const std::vector<LoadResult>& results() const {
    return this->finished_results;
  }

 private:
  struct Caller {
    std::vector<std::string> addresses;
    TimePoint resolved_until;
    bool is_resolving = false;
    TimePoint next_send_at;
    std::size_t next_address = 0;
    std::mt19937_64 random;  // its own, so that loads can be repeated
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
  std::vector<Caller> callers;
  std::mt19937_64 random;
  TimePoint stop_at;
  std::size_t in_flight = 0;
  std::uint64_t next_key = 0;
  std::string key_prefix;
  std::vector<LoadResult> finished_results;
};

// A quantile of the latencies of answered requests, in milliseconds.
double LatencyQuantileMs(const std::vector<LoadResult>& results,
                         double quantile);

std::size_t CountOutcome(const std::vector<LoadResult>& results,
                         LoadOutcome outcome);

// The results of one stream.
std::vector<LoadResult> FilterByStream(const std::vector<LoadResult>& results,
                                       std::size_t stream);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_LOAD_GENERATOR_H_
