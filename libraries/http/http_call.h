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
  kReusable,  // a kept-alive connection may carry the call
  // NOTE: libcurl sends a request again by itself when a reused connection
  // dies before the answer; only a fresh connection rules that out.
  kFresh,
};

struct CallRequest {
  std::string method = "GET";
  std::string address;  // "ip:port"
  std::string target;   // path and query
  HeaderList headers;
  ConnectionUse connection_use = ConnectionUse::kReusable;
  // A kept-alive connection that was idle for longer is not used, to a second.
  Duration max_idle_time = seconds(118);
  Duration connect_timeout = seconds(1);
  Duration total_timeout = seconds(0);  // 0: none
  bool has_body = false;
  std::optional<std::uint64_t> body_length;
};

enum class CallOutcome {
  kComplete,   // head and whole body arrived
  kNeverSent,  // no connection came about; no byte of the request left
  kFailed,     // failed after bytes may have left
  kTimedOut,   // the total timeout passed
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kFailed;
  std::string detail;
};

enum class BodyState { kData, kNotReady, kEnd };

struct BodyChunk {
  BodyState state = BodyState::kEnd;
  std::size_t size = 0;
};

struct CallHandlers {
  // Fills the buffer with the next part of the request's body.
  std::function<BodyChunk(char* buffer, std::size_t capacity)> read_body;
  std::function<void(int status, const HeaderList& headers)> on_head;
  // Returns false to be offered the same data again after ResumeResponseBody().
  std::function<bool(std::string_view data)> on_data;
  std::function<void(const CallResult& result)> on_done;
};

// One request to a server, streamed in both directions.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(HttpClient& client, CallRequest request, CallHandlers handlers);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Ends the call and its connection; no handler runs afterwards.
  void Cancel();

  // Ends the call as broken after the handler that runs now. For an answer that
  // is of no use and of no known end.
  void AbortAfterCallback() { this->is_refused = true; }

  void ResumeRequestBody();
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
  std::size_t head_bytes = 0;
  bool is_head_delivered = false;
  bool is_cancelled = false;
  bool is_refused = false;
  bool is_in_callback = false;
  bool is_body_paused = false;
  bool is_data_paused = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_CALL_H_
