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
#include "http/chunked_body.h"
#include "http/header_list.h"
#include "http/response_head.h"

namespace parsleyquay {

class HttpClient;

enum class ConnectionUse {
  kReusable,  // the call may use an idle keep-alive connection
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

// A connection that is ready for a request, of which nothing is sent yet.
struct CallConnection {
  bool is_reused = false;  // has carried an earlier request

  bool operator==(const CallConnection&) const = default;
};

struct CallHandlers {
  // Called when the connection is ready. Returns whether the request may still
  // be sent. Otherwise the call ends with kNeverSent.
  std::function<bool(const CallConnection& connection)> may_send;
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
  // returns, and closes its connection. For a response that is not wanted and
  // whose length is unknown, or that belongs to another request.
  void AbortAfterCallback() { this->is_abort_requested = true; }

  // Continues a request body whose `read_body` returned kNotReady.
  void ResumeRequestBody();

  // Continues a response body whose data `on_data` did not accept.
  void ResumeResponseBody();

 private:
  friend class HttpClient;

  void Prepare();
  void OnFinished(CURLcode code);
  static int OnSocketOpened(void*, curl_socket_t socket, curlsocktype);
  static int OnConnection(void*, char*, char*, int, int);
  static std::size_t OnHeader(char* data, std::size_t, std::size_t size, void*);
  static std::size_t OnData(char* data, std::size_t, std::size_t size, void*);
  static std::size_t OnRead(char* buffer, std::size_t, std::size_t size, void*);
  void DeliverHead();
  bool OnHeadEnd();
  std::string_view FindHeadError(const ParsedResponseHead& parsed) const;
  void CheckForExcess();
  bool HasReachedKnownEnd() const;
  bool OfferData(std::string_view data);
  bool PrepareFreshConnection();

  HttpClient& client;
  CallRequest request;
  CallHandlers handlers;
  CURL* easy = nullptr;
  curl_slist* header_lines = nullptr;
  bool has_sent = false;                // may have sent a part of the request
  bool is_connection_unusable = false;  // and nothing was sent on it
  int socket = -1;  // opened for this call, or of the connection in use
  // Bytes that were received on the connection before this call used it.
  std::optional<std::uint64_t> received_before;
  std::string head_bytes;  // of the current response, interim or final
  std::optional<ResponseHead> head;  // of the final response
  std::size_t header_bytes = 0;      // of all heads and trailers
  std::uint64_t body_bytes = 0;      // accepted by the handler, undecoded
  ChunkedBody chunked_body;          // if the response has one
  std::string_view failure;  // why the response was rejected; a string literal
  bool has_ended = false;
  bool is_abort_requested = false;
  bool is_in_callback = false;
  bool is_request_body_paused = false;
  bool is_response_body_paused = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_CALL_H_
