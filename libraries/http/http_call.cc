#include "http/http_call.h"

#include "http/http_client.h"

namespace parsleyquay {

namespace {

constexpr long kDataBufferBytes = 64 * 1024;

// The limit on all header and trailer sections of one response together.
// Servers send a few hundred bytes.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

// Responses with lower status codes are interim ones.
constexpr int kFirstFinalStatus = 200;

std::string_view TrimLineEnd(std::string_view line) {
  const auto end = line.find_last_not_of("\r\n \t");
  return end == std::string_view::npos ? "" : line.substr(0, end + 1);
}

}  // namespace

HttpCall::HttpCall(HttpClient& client,
                   CallRequest request,
                   CallHandlers handlers)
    : client(client),
      request(std::move(request)),
      handlers(std::move(handlers)),
      easy(curl_easy_init()) {
  this->Prepare();
}

HttpCall::~HttpCall() {
  curl_easy_cleanup(this->easy);
  curl_slist_free_all(this->header_lines);
}

void HttpCall::Prepare() {
  const std::string url =
      "http://" + this->request.address + this->request.target;
  curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(this->easy, CURLOPT_BUFFERSIZE, kDataBufferBytes);
  curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &HttpCall::OnHeader);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &HttpCall::OnData);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMilliseconds(this->request.connect_timeout));
  curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                   ToMilliseconds(this->request.total_timeout));
  curl_easy_setopt(this->easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(ToSeconds(this->request.max_idle_time)));
  if (this->request.connection_use == ConnectionUse::kFresh) {
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
  }
  if (this->request.has_body) {
    curl_easy_setopt(this->easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(this->easy, CURLOPT_READFUNCTION, &HttpCall::OnRead);
    curl_easy_setopt(this->easy, CURLOPT_READDATA, this);
    const auto length = this->request.body_length;
    curl_easy_setopt(this->easy, CURLOPT_INFILESIZE_LARGE,
                     length ? static_cast<curl_off_t>(*length) : -1);
  }
  if (this->request.method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
  } else {
    curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST,
                     this->request.method.c_str());
  }
  for (const Header& header : this->request.headers) {
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    this->header_lines = curl_slist_append(this->header_lines, line.c_str());
  }
  // Suppresses the headers that libcurl would add on its own.
  this->header_lines = curl_slist_append(this->header_lines, "Expect:");
  if (!FindHeader(this->request.headers, "Accept")) {
    this->header_lines = curl_slist_append(this->header_lines, "Accept:");
  }
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->header_lines);
}

void HttpCall::Cancel() {
  if (this->has_ended) {
    return;
  }
  this->has_ended = true;
  if (!this->is_in_callback) {
    this->client.Remove(*this);
  }
}

void HttpCall::ResumeRequestBody() {
  if (this->is_request_body_paused && !this->has_ended) {
    this->is_request_body_paused = false;
    curl_easy_pause(this->easy, this->is_response_body_paused ? CURLPAUSE_RECV
                                                              : CURLPAUSE_CONT);
    this->client.ScheduleRun();
  }
}

void HttpCall::ResumeResponseBody() {
  if (this->is_response_body_paused && !this->has_ended) {
    this->is_response_body_paused = false;
    curl_easy_pause(this->easy, this->is_request_body_paused ? CURLPAUSE_SEND
                                                             : CURLPAUSE_CONT);
    this->client.ScheduleRun();
  }
}

void HttpCall::DeliverHead() {
  if (this->is_head_delivered || this->has_ended) {
    return;
  }
  this->is_head_delivered = true;
  if (this->handlers.on_head) {
    this->handlers.on_head(this->response_status, this->response_headers);
  }
}

void HttpCall::OnFinished(CURLcode code) {
  const auto self = this->shared_from_this();
  if (this->has_ended) {
    return;
  }
  this->has_ended = true;
  CallResult result;
  result.detail = curl_easy_strerror(code);
  long sent_bytes = 0;
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (code == CURLE_OK && !this->has_received_head) {
    result.detail = "connection closed within the response headers";
  } else if (code == CURLE_OK) {
    result.outcome = CallOutcome::kComplete;
    this->has_ended = false;
    this->DeliverHead();
    this->has_ended = true;
  } else if (sent_bytes == 0) {
    result.outcome = CallOutcome::kNeverSent;
  } else if (code == CURLE_OPERATION_TIMEDOUT) {
    result.outcome = CallOutcome::kTimedOut;
  }
  const auto on_done = std::move(this->handlers.on_done);
  if (on_done) {
    on_done(result);
  }
}

std::size_t HttpCall::OnHeader(char* data,
                               std::size_t,
                               std::size_t size,
                               void* self) {
  auto* call = static_cast<HttpCall*>(self);
  call->header_bytes += size;
  if (call->header_bytes > kMaxHeaderBytes) {
    return 0;
  }
  if (call->has_received_head) {
    return size;  // A trailer of a chunked body is not forwarded.
  }
  const std::string_view line = TrimLineEnd({data, size});
  if (line.empty()) {
    // NOTE: libcurl reports success if the server closes the connection within
    // the headers, so the end of the headers is detected here.
    call->has_received_head = call->response_status >= kFirstFinalStatus;
    return size;
  }
  if (line.starts_with("HTTP/")) {
    call->response_headers.clear();
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    call->response_status = static_cast<int>(status);
    return size;
  }
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    const auto value = line.find_first_not_of(" \t", colon + 1);
    call->response_headers.push_back({std::string(line.substr(0, colon)),
                                      value == std::string_view::npos
                                          ? ""
                                          : std::string(line.substr(value))});
  }
  return size;
}

std::size_t HttpCall::OnData(char* data,
                             std::size_t,
                             std::size_t size,
                             void* self) {
  auto* call = static_cast<HttpCall*>(self);
  if (call->has_ended) {
    return 0;
  }
  call->is_in_callback = true;
  call->DeliverHead();
  bool is_accepted = true;
  if (!call->has_ended && call->handlers.on_data) {
    is_accepted = call->handlers.on_data({data, size});
  }
  call->is_in_callback = false;
  if (call->has_ended || call->is_abort_requested) {
    return 0;
  }
  call->is_response_body_paused = !is_accepted;
  return is_accepted ? size : CURL_WRITEFUNC_PAUSE;
}

std::size_t HttpCall::OnRead(char* buffer,
                             std::size_t,
                             std::size_t size,
                             void* self) {
  auto* call = static_cast<HttpCall*>(self);
  if (call->has_ended || !call->handlers.read_body) {
    return CURL_READFUNC_ABORT;
  }
  call->is_in_callback = true;
  const BodyChunk chunk = call->handlers.read_body(buffer, size);
  call->is_in_callback = false;
  if (call->has_ended || chunk.state == BodyState::kAborted) {
    return CURL_READFUNC_ABORT;
  }
  call->is_request_body_paused = chunk.state == BodyState::kNotReady;
  return call->is_request_body_paused ? CURL_READFUNC_PAUSE : chunk.size;
}

}  // namespace parsleyquay
