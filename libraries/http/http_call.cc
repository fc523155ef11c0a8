#include "http/http_call.h"

#include <utility>

#include "http/connection_state.h"
#include "http/http_client.h"

namespace parsleyquay {

namespace {

constexpr long kDataBufferBytes = 64 * 1024;

// The limit on all header and trailer sections of one response together.
// Servers send a few hundred bytes.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

constexpr int kSwitchingProtocolsStatus = 101;
constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;

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
  // NOTE: a target that is part of the URL is changed by libcurl: it drops what
  // follows a number sign, and encodes bytes above 127.
  const std::string url = "http://" + this->request.address + "/";
  curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
  if (!this->request.target.empty()) {
    curl_easy_setopt(this->easy, CURLOPT_REQUEST_TARGET,
                     this->request.target.c_str());
  }
  curl_easy_setopt(this->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(this->easy, CURLOPT_BUFFERSIZE, kDataBufferBytes);
  curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, &HttpCall::OnConnection);
  curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION,
                   &HttpCall::OnSocketOpened);
  curl_easy_setopt(this->easy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_CLOSESOCKETFUNCTION,
                   &HttpClient::OnSocketClosed);
  curl_easy_setopt(this->easy, CURLOPT_CLOSESOCKETDATA, &this->client);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &HttpCall::OnHeader);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
  // Chunks are decoded here, since libcurl does not tell whether bytes followed
  // the last one.
  curl_easy_setopt(this->easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
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
  if (this->handlers.on_head) {
    this->is_in_callback = true;
    this->handlers.on_head(this->head->status, this->head->headers);
    this->is_in_callback = false;
  }
}

// Returns whether the call is to be repeated on a fresh connection, since the
// one that it got was unusable before it sent anything. Prepares the handle.
bool HttpCall::PrepareFreshConnection() {
  if (!this->is_connection_unusable || this->has_ended) {
    return false;
  }
  this->is_connection_unusable = false;
  curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
  return true;
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
  if (!this->failure.empty()) {
    result.detail = this->failure;
  } else if (code == CURLE_OK && !this->head) {
    result.detail = "connection closed within the response headers";
  } else if (code == CURLE_OK &&
             this->head->framing.body != BodyFraming::kNotStated &&
             !this->HasReachedKnownEnd()) {
    result.detail = "incomplete response body";
  } else if (code == CURLE_OK) {
    result.outcome = CallOutcome::kComplete;
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

int HttpCall::OnSocketOpened(void* self, curl_socket_t socket, curlsocktype) {
  auto* call = static_cast<HttpCall*>(self);
  call->socket = socket;
  if (call->client.socket_buffer_bytes) {
    LimitSocketBuffers(socket, *call->client.socket_buffer_bytes);
  }
  return CURL_SOCKOPT_OK;
}

// Called by libcurl when the connection is ready, before it sends the request.
int HttpCall::OnConnection(void* self,
                           char* remote_ip,
                           char*,
                           int remote_port,
                           int local_port) {
  auto* call = static_cast<HttpCall*>(self);
  // NOTE: libcurl repeats a request on its own if a reused connection breaks
  // before the response. Whether it may run twice is for the owner to decide.
  if (call->has_sent) {
    call->failure = "reused connection closed before the response";
    return CURL_PREREQFUNC_ABORT;
  }
  long connects = 0;
  curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
  const bool is_reused = connects == 0;
  curl_socket_t& socket =
      call->client.sockets.try_emplace({remote_ip, remote_port, local_port}, -1)
          .first->second;
  if (!is_reused) {
    socket = call->socket;
  }
  call->socket = socket;
  // NOTE: libcurl also reuses a connection on which bytes wait to be read. They
  // belong to no request, and would be read as the response to this one.
  if (is_reused && GetUnreadState(socket) != UnreadState::kNothing) {
    call->is_connection_unusable = true;
    return CURL_PREREQFUNC_ABORT;
  }
  call->received_before = CountReceivedBytes(socket);
  bool may_send = !call->has_ended;
  if (may_send && call->handlers.may_send) {
    call->is_in_callback = true;
    may_send = call->handlers.may_send({.is_reused = is_reused});
    call->is_in_callback = false;
  }
  call->has_sent = may_send && !call->has_ended;
  return call->has_sent ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

// Called by libcurl with each line of a head, and of a trailer.
std::size_t HttpCall::OnHeader(char* data,
                               std::size_t,
                               std::size_t size,
                               void* self) {
  auto* call = static_cast<HttpCall*>(self);
  call->header_bytes += size;
  if (call->has_ended || call->header_bytes > kMaxHeaderBytes) {
    return 0;
  }
  if (call->head) {
    return size;  // A trailer of a chunked body is not forwarded.
  }
  call->head_bytes.append(data, size);
  // NOTE: libcurl takes any line that begins so as the end of the headers.
  const bool is_end = size > 0 && (data[0] == '\r' || data[0] == '\n');
  return !is_end || call->OnHeadEnd() ? size : 0;
}

// Returns why the head is rejected, or "".
std::string_view HttpCall::FindHeadError(
    const ParsedResponseHead& parsed) const {
  if (!parsed.head) {
    return parsed.error;
  }
  // libcurl decides by its own reading of the head where the body ends.
  long status = 0;
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  if (parsed.head->status != status) {
    return "ambiguous status line";
  }
  return status == kSwitchingProtocolsStatus ? "unexpected protocol switch"
                                             : "";
}

// Evaluates a complete head. Returns whether the call goes on.
bool HttpCall::OnHeadEnd() {
  ParsedResponseHead parsed =
      ParseResponseHead(std::exchange(this->head_bytes, {}));
  this->failure = this->FindHeadError(parsed);
  if (!this->failure.empty()) {
    return false;
  }
  if (parsed.head->status < kFirstFinalStatus) {
    return true;
  }
  this->head = std::move(parsed.head);
  this->CheckForExcess();
  this->DeliverHead();
  return !this->has_ended && !this->is_abort_requested;
}

// Returns whether the response has ended, as far as its head tells.
bool HttpCall::HasReachedKnownEnd() const {
  const bool has_no_body = this->request.method == "HEAD" ||
                           this->head->status == kNoContentStatus ||
                           this->head->status == kNotModifiedStatus;
  if (has_no_body) {
    return true;
  }
  switch (this->head->framing.body) {
    case BodyFraming::kNotStated:
      return false;
    case BodyFraming::kLength:
      return this->body_bytes == this->head->framing.length;
    case BodyFraming::kChunked:
      return this->chunked_body.is_complete();
  }
  return false;
}

// Prevents the reuse of the connection if bytes came after the end of the
// response.
// NOTE: libcurl drops such bytes if it has read them together with the end of a
// response without a body or with a chunked one.
void HttpCall::CheckForExcess() {
  if (!this->HasReachedKnownEnd()) {
    return;
  }
  // A system that does not count the bytes tells none or too few.
  const auto received = CountReceivedBytes(this->socket);
  const bool has_excess = received && this->received_before &&
                          *received > *this->received_before +
                                          this->header_bytes + this->body_bytes;
  if (has_excess) {
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

// Offers decoded data to the handler. Returns whether it was accepted.
bool HttpCall::OfferData(std::string_view data) {
  if (data.empty() || !this->handlers.on_data) {
    return true;
  }
  this->is_in_callback = true;
  const bool is_accepted = this->handlers.on_data(data);
  this->is_in_callback = false;
  return is_accepted;
}

std::size_t HttpCall::OnData(char* data,
                             std::size_t,
                             std::size_t size,
                             void* self) {
  auto* call = static_cast<HttpCall*>(self);
  if (call->has_ended || !call->head) {
    return 0;
  }
  ChunkedBody chunked_body = call->chunked_body;
  std::size_t consumed = size;
  bool is_accepted = false;
  if (call->head->framing.body == BodyFraming::kChunked) {
    const DecodedChunks decoded = DecodeChunks(chunked_body, {data, size});
    consumed = decoded.consumed;
    is_accepted = call->OfferData(decoded.data);
  } else {
    is_accepted = call->OfferData({data, size});
  }
  if (call->has_ended || call->is_abort_requested) {
    return 0;
  }
  call->is_response_body_paused = !is_accepted;
  if (!is_accepted) {
    return CURL_WRITEFUNC_PAUSE;
  }
  call->chunked_body = chunked_body;
  call->body_bytes += consumed;
  if (chunked_body.is_malformed()) {
    call->failure = "malformed chunked response body";
    return 0;
  }
  if (consumed < size) {
    curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
  }
  call->CheckForExcess();
  return size;
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
