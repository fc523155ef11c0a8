#ifndef PARSLEYQUAY_HTTP_HTTP_CLIENT_H_
#define PARSLEYQUAY_HTTP_HTTP_CLIENT_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "event/io_watcher.h"
#include "event/timer.h"
#include "http/http_call.h"

namespace parsleyquay {

// The complete response to a request, with its body in memory.
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

// Identifies an open connection.
struct ConnectionKey {
  std::string remote_ip;
  int remote_port = 0;
  int local_port = 0;

  auto operator<=>(const ConnectionKey&) const = default;
};

// An HTTP/1.1 client, built on a libcurl multi handle that is driven by the
// owner's event loop.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a streamed call. The client keeps it alive until it has ended or was
  // cancelled.
  std::shared_ptr<HttpCall> Start(CallRequest request, CallHandlers handlers);

  // Sends a request with the given body and passes the complete response, or
  // the reason for the failure, to `on_response`.
  std::shared_ptr<HttpCall> Fetch(
      CallRequest request,
      std::string body,
      std::function<void(const BufferedResponse&)> on_response);

  // Sets the memory of the receive buffer of each connection that is opened
  // from now on, and of its send buffer.
  void LimitSocketBuffers(std::size_t bytes) {
    this->socket_buffer_bytes = bytes;
  }

  // Closes the connection that was idle for longest when there are more. Calls
  // in progress are not limited.
  void LimitConnections(std::size_t count);

  // Lets libcurl process resumed calls on the next iteration of the loop.
  void ScheduleRun();

 private:
  friend class HttpCall;

  void Add(const std::shared_ptr<HttpCall>& call);
  void Remove(HttpCall& call);
  void ProcessEvents(curl_socket_t socket, int events);
  void CollectFinished();
  static int OnSocketClosed(void* self, curl_socket_t socket);
  static int OnSocket(CURL*, curl_socket_t, int what, void* self, void*);
  static int OnTimer(CURLM*, long timeout_ms, void* self);

  EventLoop& loop;
  std::optional<std::size_t> socket_buffer_bytes;
  CURLM* multi;
  Timer timer;
  std::map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers;
  std::vector<std::unique_ptr<IoWatcher>> retired_watchers;
  std::map<HttpCall*, std::shared_ptr<HttpCall>> calls;
  // NOTE: libcurl tells the socket of a connection only to the call that opened
  // it.
  std::map<ConnectionKey, curl_socket_t> sockets;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_CLIENT_H_
