#ifndef PARSLEYQUAY_OPERATIONS_BLOCKING_HTTP_CLIENT_H_
#define PARSLEYQUAY_OPERATIONS_BLOCKING_HTTP_CLIENT_H_

#include <functional>
#include <string>

#include "event/event_loop.h"
#include "http/http_client.h"

namespace parsleyquay {

// An HTTP client for command line tools, whose calls wait for the response.
class BlockingHttpClient {
 public:
  BlockingHttpClient();

  // Sends a request and waits for the response, by default for up to 5 s.
  // Without a response in time, returns CallOutcome::kTimedOut.
  BufferedResponse Fetch(CallRequest request, const std::string& body = "");
  BufferedResponse Get(const std::string& address, const std::string& target);

  // Runs the event loop until the condition holds or the timeout has passed.
  // Returns whether the condition holds.
  bool RunUntil(const std::function<bool()>& condition, Duration timeout);

  HttpClient& client() { return this->http; }
  TimePoint Now() const { return this->loop.Now(); }

 private:
  EventLoop loop;
  HttpClient http;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_BLOCKING_HTTP_CLIENT_H_
