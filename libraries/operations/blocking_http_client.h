#ifndef PARSLEYQUAY_OPERATIONS_BLOCKING_HTTP_CLIENT_H_
#define PARSLEYQUAY_OPERATIONS_BLOCKING_HTTP_CLIENT_H_

#include <functional>
#include <string>

#include "event/event_loop.h"
#include "http/http_client.h"

namespace parsleyquay {

// HTTP calls for command line tools, which wait for each answer.
class BlockingHttpClient {
 public:
  BlockingHttpClient();

  BufferedResponse Fetch(CallRequest request, const std::string& body = "");
  BufferedResponse Get(const std::string& address, const std::string& target);

  // Serves the loop until the condition holds or the time is up; returns
  // whether it holds.
  bool RunUntil(const std::function<bool()>& condition, Duration patience);

  HttpClient& client() { return this->http; }
  TimePoint Now() const { return this->loop.Now(); }

 private:
  EventLoop loop;
  HttpClient http;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_BLOCKING_HTTP_CLIENT_H_
