#include "operations/blocking_http_client.h"

#include "event/timer.h"

namespace parsleyquay {

namespace {

constexpr Duration kDefaultTimeout = seconds(5);

}  // namespace

BlockingHttpClient::BlockingHttpClient() : http(this->loop) {}

bool BlockingHttpClient::RunUntil(const std::function<bool()>& condition,
                                  Duration patience) {
  bool is_time_up = false;
  Timer timer(this->loop, [&] { is_time_up = true; });
  timer.StartOnce(patience);
  while (!condition() && !is_time_up) {
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
  const Duration patience = request.total_timeout + seconds(1);
  const auto call = this->http.Fetch(std::move(request), body,
                                     [&](const BufferedResponse& response) {
                                       result = response;
                                       is_done = true;
                                     });
  if (!this->RunUntil([&] { return is_done; }, patience)) {
    call->Cancel();
    result.result = {CallOutcome::kTimedOut, "no answer in time"};
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
