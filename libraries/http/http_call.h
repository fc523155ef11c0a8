#ifndef PARSLEYQUAY_HTTP_HTTP_CALL_H_
#define PARSLEYQUAY_HTTP_HTTP_CALL_H_

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/header_list.h"

namespace parsleyquay {

class HttpClient;

enum class ConnectionUse {
  kReusable,  // the call may use an idle keep-alive connection
  // NOTE: libcurl repeats a request on its own if a reused connection breaks
  // before the response. Only a fresh connection rules that out.
  kFresh,
};

struct CallRequest {
  std::string method = "GET";
  std::string address;  // "ip:port"
  std::string target;   // path and query
  HeaderList headers;
  ConnectionUse connection_use = ConnectionUse::kReusable;
  // A keep-alive connection that was idle for longer is not reused. Rounded
  // down to whole seconds.
  Duration max_idle_time = seconds(118);
  Duration connect_timeout = seconds(1);
  Duration total_timeout = seconds(0);  // 0: no timeout
  bool has_body = false;
  std::optional<std::uint64_t> body_length;  // bytes; unset: chunked
};

enum class CallOutcome {
  kComplete,   // the complete response arrived
  kNeverSent,  // the call failed before any byte of the request was sent
  kFailed,     // the call failed after bytes may have been sent
  kTimedOut,   // `total_timeout` passed after bytes may have been sent
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kFailed;
  std::string detail;
};

// What `CallHandlers::read_body` found: data, no data yet, or the end. After
// kAborted the body cannot be completed: the call fails and its connection is
// closed.
enum class BodyState { kData, kNotReady, kEnd, kAborted };

struct BodyChunk {
  BodyState state = BodyState::kAborted;
  std::size_t size = 0;  // bytes written to the buffer
};

struct CallHandlers {
  // Writes the next part of the request body to the buffer. After kNotReady, it
  // is called again once ResumeRequestBody() has been called.
  std::function<BodyChunk(char* buffer, std::size_t capacity)> read_body;
  std::function<void(int status, const HeaderList& headers)> on_head;
  // Returns whether the handler accepted the data. Otherwise the call pauses
  // and offers the same data again after ResumeResponseBody().
  std::function<bool(std::string_view data)> on_data;
  std::function<void(const CallResult& result)> on_done;
};

// One request to a server, with request and response bodies streamed.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(HttpClient& client, CallRequest request, CallHandlers handlers);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Ends the call and closes its connection. No handler runs afterwards.
  void Cancel();

  // Ends the call with kFailed when the current `on_head` or `on_data` handler
  // returns. For a response that is not wanted and whose length is unknown.
  void AbortAfterCallback() { this->is_abort_requested = true; }

  // Continues a request body whose `read_body` returned kNotReady.
  void ResumeRequestBody();

  // Continues a response body whose data `on_data` did not accept.
  void ResumeResponseBody();

 private:
  friend class HttpClient;

  void Prepare();
  void OnFinished(CURLcode code);
  static std::size_t OnHeader(char* data, std::size_t, std::size_t size, void*);
  static std::size_t OnData(char* data, std::size_t, std::size_t size, void*);
  static std::size_t OnRead(char* buffer, std::size_t, std::size_t size, void*);
  void DeliverHead();

  HttpClient& client;
  CallRequest request;
  CallHandlers handlers;
  CURL* easy = nullptr;
  curl_slist* header_lines = nullptr;
  HeaderList response_headers;
  int response_status = 0;
  std::size_t header_bytes = 0;
  bool has_received_head = false;  // of the final response
  bool is_head_delivered = false;
  bool has_ended = false;
  bool is_abort_requested = false;
  bool is_in_callback = false;
  bool is_request_body_paused = false;
  bool is_response_body_paused = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_CALL_H_
