// The part of ProxiedRequest that evaluates the response of a backend server
// and sends it to the client.

#include <algorithm>
#include <array>
#include <utility>

#include "gateway/proxied_request.h"
#include "gateway/retry_after.h"

namespace parsleyquay {

namespace {

// Response bodies up to these sizes are buffered until they are complete. If
// the connection fails before that, an idempotent request can be sent again,
// and the client of any other request gets an error instead of a truncated
// body.
constexpr std::size_t kMaxBufferedIdempotentBytes = 640 * 1024;
constexpr std::size_t kMaxBufferedOtherBytes = 64 * 1024;

// Bodies of failed responses are short. The attempt is aborted at this size.
constexpr std::size_t kMaxFailedResponseBytes = 64 * 1024;

constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailableStatus = 503;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kRequestTimeoutStatus = 408;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Returns whether clients take the status as a guarantee by the instance that
// the request was not executed. A response of a server must not be mistaken for
// one.
bool SuggestsNotExecuted(int status) {
  constexpr std::array kStatuses = {kServiceUnavailableStatus,
                                    kTooManyRequestsStatus,
                                    kRequestTimeoutStatus, kMisdirectedStatus};
  return std::ranges::find(kStatuses, status) != kStatuses.end();
}

}  // namespace

void ProxiedRequest::OnHead(int status, const HeaderList& headers) {
  this->attempt.status = status;
  this->attempt.headers = headers;
  const std::string load =
      HeaderValueOrEmpty(headers, this->context.protocol.load_header);
  if (!load.empty()) {
    this->attempt.load = this->context.protocol.parse_load(load);
  }
  this->FindFailure();
  // What follows on the connection may belong to another request too.
  if (this->attempt.failure == AttemptResult::kMismatchedResponse) {
    this->attempt.call->AbortAfterCallback();
  }
  // A misdirected request was answered by another server at the address.
  const bool is_from_server =
      this->attempt.failure != AttemptResult::kMismatchedResponse &&
      status != kMisdirectedStatus;
  if (is_from_server &&
      HeaderValueOrEmpty(headers, this->context.protocol.leaving_header) ==
          "1") {
    this->dependencies.load_balancer.MarkLeaving(this->attempt.reservation);
  }
}

// Records the failure that the response headers show, if any. Without one, the
// response may belong to this request.
void ProxiedRequest::FindFailure() {
  const WireProtocol& protocol = this->context.protocol;
  const HeaderList& headers = this->attempt.headers;
  const int status = this->attempt.status;
  // Checked first, since the server may repeat its rejection of an earlier
  // request on the same connection.
  if (HeaderValueOrEmpty(headers, protocol.request_id_header) !=
      this->request_id) {
    this->RecordFailure(AttemptResult::kMismatchedResponse, "other_request");
  } else if (CountHeaders(headers, protocol.request_id_header) > 1 ||
             CountHeaders(headers, protocol.response_signature_header) > 1) {
    this->RecordFailure(AttemptResult::kMismatchedResponse, "repeated_header");
  } else if (status == kMisdirectedStatus) {
    this->RecordFailure(AttemptResult::kShed, "misdirected");
  } else if (FindHeader(headers, protocol.not_executed_header)) {
    this->RecordFailure(AttemptResult::kShed, "not_executed");
  } else if (FindHeader(headers, "Content-Encoding")) {
    this->RecordFailure(AttemptResult::kMismatchedResponse, "encoded");
  } else if (IsSuccess(status) &&
             !FindHeader(headers, protocol.response_signature_header)) {
    this->RecordFailure(AttemptResult::kMismatchedResponse, "not_signed");
  } else if (status >= kFirstServerError) {
    this->RecordFailure(AttemptResult::kServerError, "server_error");
  }
}

void ProxiedRequest::RecordFailure(AttemptResult failure,
                                   std::string_view reason) {
  this->attempt.failure = failure;
  this->attempt.failure_reason = reason;
}

// A server that sheds may state for how long it wants no further requests.
void ProxiedRequest::PauseServerIfAsked() {
  if (this->attempt.status != kServiceUnavailableStatus ||
      this->attempt.failure == AttemptResult::kMismatchedResponse) {
    return;
  }
  const auto pause = ParseDelaySeconds(
      HeaderValueOrEmpty(this->attempt.headers, "Retry-After"));
  if (pause) {
    this->dependencies.load_balancer.PauseServer(this->attempt.reservation,
                                                 *pause);
    this->dependencies.admission.OnPause(this->service);
  }
}

bool ProxiedRequest::OnData(std::string_view data) {
  this->attempt.has_received_data = true;
  if (this->has_response_started) {
    if (!this->exchange->has_room() || !this->exchange->MayReceiveMore()) {
      return false;
    }
    this->exchange->Write(data);
    return true;
  }
  // DeliverResponse() replaces a response that could be taken as not executed.
  if (this->attempt.failure || SuggestsNotExecuted(this->attempt.status)) {
    this->OnDataOfFailedResponse(data);
    return true;
  }
  if (!this->exchange->MayReceiveMore()) {
    // Only sending it frees the memory of what is buffered.
    const bool may_begin =
        !this->attempt.buffered_response.empty() && this->is_body_relayed();
    if (may_begin) {
      this->BeginResponse(
          ParseUnsignedHeader(this->attempt.headers, "Content-Length"));
    }
    return false;
  }
  this->attempt.buffered_response += data;
  this->UpdateHeldBytes();
  // The client reads nothing before it has sent the whole request, so that a
  // response which begins earlier would fill the buffers and block the server.
  const bool buffers_much =
      !this->is_body_relayed() ||
      (this->route().is_idempotent && !this->exchange->is_memory_tight());
  const std::size_t max_buffered =
      buffers_much ? kMaxBufferedIdempotentBytes : kMaxBufferedOtherBytes;
  if (this->attempt.buffered_response.size() > max_buffered) {
    this->BeginResponse(
        ParseUnsignedHeader(this->attempt.headers, "Content-Length"));
  }
  return true;
}

// The body of a response that failed or is replaced is read, so that the
// connection can be reused, but only up to a limit.
void ProxiedRequest::OnDataOfFailedResponse(std::string_view data) {
  this->attempt.failed_response_bytes += data.size();
  if (this->attempt.failed_response_bytes > kMaxFailedResponseBytes) {
    this->attempt.call->AbortAfterCallback();
    return;
  }
  if (this->attempt.failure == AttemptResult::kServerError) {
    this->attempt.buffered_response += data;
  }
}

void ProxiedRequest::BeginResponse(std::optional<std::uint64_t> length) {
  const WireProtocol& protocol = this->context.protocol;
  HeaderList headers = EndToEndHeaders(this->attempt.headers);
  RemoveHeaders(headers,
                {"Content-Length", protocol.load_header,
                 protocol.server_id_header, protocol.leaving_header,
                 protocol.cold_remaining_header, protocol.not_executed_header});
  this->has_response_started = true;
  this->exchange->BeginResponse(this->attempt.status, std::move(headers),
                                length);
  this->exchange->Write(std::exchange(this->attempt.buffered_response, {}));
  this->UpdateHeldBytes();
}

void ProxiedRequest::DeliverResponse() {
  // The server did execute the request, so the client must not take the status
  // as a guarantee of the opposite.
  if (!this->has_response_started &&
      SuggestsNotExecuted(this->attempt.status)) {
    this->RespondWithError({ErrorReason::kServerFailed});
    return;
  }
  if (!this->has_response_started) {
    this->BeginResponse(this->attempt.buffered_response.size());
  }
  this->exchange->Finish();
  this->Close(IsSuccess(this->attempt.status) ? "served" : "server_answer",
              this->attempt.status);
}

}  // namespace parsleyquay
