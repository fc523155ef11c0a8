#include "experiment/load_generator.h"

#include <algorithm>

#include "base/random_id.h"
#include "fleet/record_codec.h"

namespace parsleyquay {

namespace {

constexpr Duration kStep = milliseconds(1);
constexpr Duration kDuringInterval = milliseconds(50);
constexpr Duration kAnswerPatience = seconds(12);
constexpr Duration kCallTimeout = seconds(10);
constexpr std::size_t kIdBytes = 6;

Json::Value BodyOf(const BufferedResponse& response) {
  const auto json = ParseJson(response.body);
  return json && json->isObject() ? *json : Json::Value(Json::objectValue);
}

LoadOutcome Classify(const BufferedResponse& response,
                     const Json::Value& body) {
  if (response.result.outcome == CallOutcome::kNeverSent) {
    return LoadOutcome::kNotRun;
  }
  if (response.result.outcome != CallOutcome::kComplete) {
    return LoadOutcome::kIncomplete;
  }
  const std::string outcome = body["outcome"].asString();
  if (outcome == "not_run") {
    return body["reason"].asString() == "over_limit" ? LoadOutcome::kRateLimited
                                                     : LoadOutcome::kNotRun;
  }
  if (outcome == "unknown") {
    return LoadOutcome::kUnknown;
  }
  const bool is_failure = outcome == "failed" || response.status >= 500;
  return is_failure ? LoadOutcome::kFailed : LoadOutcome::kServed;
}

}  // namespace

LoadGenerator::LoadGenerator(BlockingHttpClient& http,
                             std::vector<std::string> entries,
                             std::vector<LoadStream> streams,
                             unsigned seed)
    : http(http),
      instance_addresses(std::move(entries)),
      streams(std::move(streams)),
      callers(this->streams.size()),
      random(seed),
      key_prefix(RandomHex(kIdBytes)) {
  for (std::size_t i = 0; i < this->callers.size(); ++i) {
    this->callers[i].random.seed(seed + i);
  }
}

TimePoint LoadGenerator::NextSendTime(std::size_t index, TimePoint from) {
  const LoadStream& stream = this->streams[index];
  const double mean_seconds = 1 / stream.rate_per_second;
  const double gap =
      stream.has_poisson_arrivals
          ? std::exponential_distribution<double>(stream.rate_per_second)(
                this->callers[index].random)
          : mean_seconds;
  return from + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap));
}

void LoadGenerator::Run(Duration time,
                        const std::function<void(Duration)>& during) {
  const TimePoint start = this->http.Now();
  this->stop_at = start + time;
  for (std::size_t i = 0; i < this->streams.size(); ++i) {
    this->Resolve(i);
    this->callers[i].next_send_at = this->NextSendTime(i, start);
  }
  TimePoint next_during = start;
  while (this->http.Now() < this->stop_at) {
    this->SendDue();
    if (during && this->http.Now() >= next_during) {
      during(this->http.Now() - start);
      next_during = this->http.Now() + kDuringInterval;
    }
    this->http.RunUntil([] { return false; }, kStep);
  }
  this->http.RunUntil([&] { return this->in_flight == 0; }, kAnswerPatience);
}

void LoadGenerator::Resolve(std::size_t stream) {
  Caller& caller = this->callers[stream];
  const LoadStream& load = this->streams[stream];
  if (!load.fixed_addresses.empty()) {
    caller.addresses = load.fixed_addresses;
    caller.resolved_until = TimePoint::max();
    return;
  }
  if (caller.is_resolving) {
    return;
  }
  caller.is_resolving = true;
  CallRequest request;
  request.address = this->instance_addresses[this->random() %
                                             this->instance_addresses.size()];
  request.target = "/.parsleyquay/resolve";
  request.headers = {{"Authorization", "Bearer " + load.key}};
  request.total_timeout = milliseconds(500);
  this->http.client().Fetch(
      request, "", [this, stream](const BufferedResponse& response) {
        Caller& resolved = this->callers[stream];
        resolved.is_resolving = false;
        const Json::Value body = BodyOf(response);
        if (!response.is_ok() || body["addresses"].empty()) {
          return;  // Another instance is asked with the next request.
        }
        resolved.addresses.clear();
        for (const Json::Value& address : body["addresses"]) {
          resolved.addresses.push_back(address.asString());
        }
        resolved.resolved_until =
            this->http.Now() + milliseconds(body["lifetime_ms"].asInt64());
      });
}

void LoadGenerator::SendDue() {
  const TimePoint now = this->http.Now();
  for (std::size_t i = 0; i < this->streams.size(); ++i) {
    Caller& caller = this->callers[i];
    if (now >= caller.resolved_until) {
      this->Resolve(i);
    }
    while (caller.next_send_at <= now) {
      caller.next_send_at = this->NextSendTime(i, caller.next_send_at);
      const auto pending = std::make_shared<PendingRequest>();
      pending->result.stream = i;
      pending->result.sent_at = now;
      pending->addresses = caller.addresses.empty() ? this->instance_addresses
                                                    : caller.addresses;
      if (!this->streams[i].fixed_addresses.empty()) {
        // NOTE: std::ranges::rotate returns a subrange, which clang 14 cannot
        // compile with this standard library.
        std::rotate(pending->addresses.begin(),
                    pending->addresses.begin() +
                        static_cast<std::ptrdiff_t>(caller.next_address++ %
                                                    pending->addresses.size()),
                    pending->addresses.end());
      }
      if (this->streams[i].has_idempotency_keys) {
        pending->result.idempotency_key =
            this->key_prefix + "-" + std::to_string(++this->next_key);
      }
      ++this->in_flight;
      this->Send(pending);
    }
  }
}

void LoadGenerator::Send(const std::shared_ptr<PendingRequest>& pending) {
  const LoadStream& load = this->streams[pending->result.stream];
  CallRequest request;
  request.method = load.method;
  request.address = pending->addresses[static_cast<std::size_t>(
      pending->attempts % static_cast<int>(pending->addresses.size()))];
  pending->result.address = request.address;
  request.target = load.target;
  request.headers = {{"Authorization", "Bearer " + load.key}};
  if (!pending->result.idempotency_key.empty()) {
    request.target += "/" + pending->result.idempotency_key;
    request.headers.push_back(
        {"Idempotency-Key", pending->result.idempotency_key});
  }
  // A caller must not have its library repeat what may not be repeated.
  request.connection_use =
      load.method == "GET" ? ConnectionUse::kReusable : ConnectionUse::kFresh;
  request.connect_timeout = milliseconds(300);
  request.total_timeout = kCallTimeout;
  ++pending->attempts;
  this->http.client().Fetch(request, "",
                            [this, pending](const BufferedResponse& response) {
                              this->OnResponse(pending, response);
                            });
}

void LoadGenerator::OnResponse(const std::shared_ptr<PendingRequest>& pending,
                               const BufferedResponse& response) {
  const Json::Value body = BodyOf(response);
  LoadResult& result = pending->result;
  result.outcome = Classify(response, body);
  result.reason = body["reason"].asString();
  result.request_id = HeaderValueOrEmpty(response.headers, "X-Request-Id");
  result.latency = this->http.Now() - result.sent_at;
  const bool names_a_request = response.body.starts_with("done ");
  result.has_own_request_id =
      !names_a_request || response.body == "done " + result.request_id + "\n";
  const bool is_refusal = result.outcome == LoadOutcome::kNotRun;
  if (is_refusal && !result.request_id.empty()) {
    result.not_run_ids.push_back(result.request_id);
  }
  const bool is_worth_repeating =
      this->streams[result.stream].may_retry_unknown &&
      (result.outcome == LoadOutcome::kUnknown ||
       result.outcome == LoadOutcome::kIncomplete);
  const bool may_try_again =
      (is_refusal || is_worth_repeating) &&
      pending->attempts < this->streams[result.stream].max_attempts &&
      result.reason != "key_not_accepted";
  if (may_try_again) {
    this->callers[result.stream].resolved_until =
        std::min(this->callers[result.stream].resolved_until, this->http.Now());
    this->Send(pending);
    return;
  }
  --this->in_flight;
  this->finished_results.push_back(result);
}

double LatencyQuantileMs(const std::vector<LoadResult>& results,
                         double quantile) {
  std::vector<double> latencies;
  for (const LoadResult& result : results) {
    if (result.outcome == LoadOutcome::kServed) {
      latencies.push_back(static_cast<double>(result.latency.count()) / 1000);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  std::ranges::sort(latencies);
  const auto place = static_cast<std::size_t>(
      quantile * static_cast<double>(latencies.size() - 1));
  return latencies[place];
}

std::size_t CountOutcome(const std::vector<LoadResult>& results,
                         LoadOutcome outcome) {
  return static_cast<std::size_t>(
      std::ranges::count(results, outcome, &LoadResult::outcome));
}

std::vector<LoadResult> FilterByStream(const std::vector<LoadResult>& results,
                                       std::size_t stream) {
  std::vector<LoadResult> own;
  std::ranges::copy_if(
      results, std::back_inserter(own),
      [&](const LoadResult& result) { return result.stream == stream; });
  return own;
}

}  // namespace parsleyquay
