#ifndef PARSLEYQUAY_HTTP_HTTP_CLIENT_H_
#define PARSLEYQUAY_HTTP_HTTP_CLIENT_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "event/io_watcher.h"
#include "event/timer.h"
#include "http/http_call.h"

namespace parsleyquay {

// The whole answer to a small request.
struct BufferedResponse {
  CallResult result;
  int status = 0;
  HeaderList headers;
  std::string body;

  bool is_ok() const {
    return this->result.outcome == CallOutcome::kComplete &&
           this->status == 200;
  }
};

// An HTTP/1.1 client (libcurl multi) on the loop of its owner.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a streamed call. It lives until it is done or cancelled.
  std::shared_ptr<HttpCall> Start(CallRequest request, CallHandlers handlers);

  // Sends a request with a body held in memory and collects the answer.
  std::shared_ptr<HttpCall> Fetch(
      CallRequest request,
      std::string body,
      std::function<void(const BufferedResponse&)> on_response);

  void ScheduleRun();

 private:
  friend class HttpCall;

  void Remove(HttpCall& call);
  void Act(curl_socket_t socket, int events);
  void CollectFinished();
  static int OnSocket(CURL*, curl_socket_t, int what, void* self, void*);
  static int OnTimer(CURLM*, long timeout_ms, void* self);

  EventLoop& loop;
  CURLM* multi;
  Timer timer;
  std::map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers;
  std::vector<std::unique_ptr<IoWatcher>> retired_watchers;
  std::map<HttpCall*, std::shared_ptr<HttpCall>> calls;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_CLIENT_H_
