#include "operations/blocking_http_client.h"

#include "event/timer.h"

namespace parsleyquay {

namespace {

constexpr Duration kDefaultTimeout = seconds(5);

}  // namespace

BlockingHttpClient::BlockingHttpClient() : http(this->loop) {}

bool BlockingHttpClient::RunUntil(const std::function<bool()>& condition,
                                  Duration timeout) {
  bool has_timed_out = false;
  Timer timer(this->loop, [&] { has_timed_out = true; });
  timer.StartOnce(timeout);
  while (!condition() && !has_timed_out) {
    this->loop.RunOnce();
  }
  return condition();
}

BufferedResponse BlockingHttpClient::Fetch(CallRequest request,
                                           const std::string& body) {
  if (request.total_timeout == Duration(0)) {
    request.total_timeout = kDefaultTimeout;
  }
  bool is_done = false;
  BufferedResponse result;
  // The call reports its own timeout, so this longer one is only a fallback.
  const Duration fallback_timeout = request.total_timeout + seconds(1);
  const auto call = this->http.Fetch(std::move(request), body,
                                     [&](const BufferedResponse& response) {
                                       result = response;
                                       is_done = true;
                                     });
  if (!this->RunUntil([&] { return is_done; }, fallback_timeout)) {
    call->Cancel();
    result.result = {CallOutcome::kTimedOut, "no response within the timeout"};
  }
  return result;
}

BufferedResponse BlockingHttpClient::Get(const std::string& address,
                                         const std::string& target) {
  CallRequest request;
  request.address = address;
  request.target = target;
  return this->Fetch(std::move(request));
}

}  // namespace parsleyquay
