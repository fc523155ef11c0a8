#include "http/server_exchange.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "http/client_budget.h"
#include "http/http_server.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kResponseBlockBytes = 32 * 1024;

// A header that is sent to a server exists three times: as received, in the
// call, and as libcurl keeps it.
constexpr std::size_t kHeaderCopies = 3;

std::size_t MemoryOf(const HeaderList& headers) {
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& header : headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes * kHeaderCopies;
}

MHD_Result CollectHeader(void* headers,
                         MHD_ValueKind,
                         const char* name,
                         const char* value) {
  static_cast<HeaderList*>(headers)->push_back({name, value ? value : ""});
  return MHD_YES;
}

}  // namespace

ServerExchange::ServerExchange(HttpServer& server,
                               MHD_Connection* connection,
                               ClientConnection* client,
                               std::string method,
                               std::string target,
                               std::string version)
    : server(server),
      connection(connection),
      client(client),
      request_method(std::move(method)),
      request_target(std::move(target)),
      request_version(std::move(version)) {
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                            &this->request_headers);
  if (this->client) {
    this->client->exchange = this;
    this->client->began_at = server.loop().Now();
    this->client->header_seen_at.reset();  // The headers are complete.
    this->header_bytes = MemoryOf(this->request_headers);
    this->UpdateCharge();
  }
}

ServerExchange::~ServerExchange() = default;

void ServerExchange::UpdateCharge() {
  if (!this->client) {
    return;
  }
  // The socket's buffers fill while nothing is read, or a response is not. The
  // kernel's own overhead at most doubles what is left of a complete response.
  const std::size_t socket_buffer_bytes =
      this->server.budget()->limits().socket_buffer_bytes.value_or(0);
  const bool fills_receive_buffer =
      this->is_suspended && !this->is_upload_complete;
  const bool fills_send_buffer =
      this->has_response && !this->response_buffer.empty();
  const std::size_t unsent_bytes =
      this->is_response_complete
          ? std::min(socket_buffer_bytes, 2 * this->response_buffer.size())
          : socket_buffer_bytes;
  this->charged_socket = (fills_receive_buffer ? socket_buffer_bytes : 0) +
                         (fills_send_buffer ? unsent_bytes : 0);
  const std::size_t bytes = this->header_bytes +
                            this->request_buffer.capacity() +
                            this->response_buffer.capacity() +
                            this->held_bytes + this->charged_socket;
  if (bytes != this->charged) {
    const std::size_t before = std::exchange(this->charged, bytes);
    this->server.budget()->Charge(static_cast<std::int64_t>(bytes) -
                                  static_cast<std::int64_t>(before));
  }
}

void ServerExchange::NoteProgress() {
  if (this->client) {
    this->client->progressed_at = this->server.loop().Now();
  }
}

void ServerExchange::SetHeldBytes(std::size_t bytes) {
  this->held_bytes = bytes;
  this->UpdateCharge();
}

bool ServerExchange::MayReceiveMore() {
  const bool must_wait = this->client && this->server.budget()->MustWait();
  // Only ContinueWithinBudget() resets this: both bodies may wait.
  this->is_waiting_for_budget = this->is_waiting_for_budget || must_wait;
  return !must_wait;
}

bool ServerExchange::HasRoomFor(std::size_t bytes) {
  return !this->client || this->server.budget()->HasRoomFor(bytes);
}

bool ServerExchange::Reject() {
  if (this->has_response || !this->handlers.on_reject) {
    return false;
  }
  const auto on_reject = this->handlers.on_reject;
  on_reject();
  return this->has_response;
}

bool ServerExchange::is_memory_tight() const {
  return this->client && this->server.budget()->is_memory_tight();
}

void ServerExchange::ContinueWithinBudget() {
  if (!this->is_waiting_for_budget) {
    return;
  }
  this->is_waiting_for_budget = false;
  this->Resume();
  if (this->handlers.on_writable) {
    this->handlers.on_writable();
  }
}

// Frees what has arrived of the request body, when nobody reads it any more.
void ServerExchange::DiscardUpload() {
  if (!this->is_upload_complete) {
    std::string().swap(this->request_buffer);
  }
  this->UpdateCharge();
}

void ServerExchange::SetHandlers(ExchangeHandlers handlers) {
  this->handlers = std::move(handlers);
}

std::size_t ServerExchange::ReadBody(char* buffer, std::size_t capacity) {
  const std::size_t size = std::min(capacity, this->request_buffer.size());
  std::memcpy(buffer, this->request_buffer.data(), size);
  this->request_buffer.erase(0, size);
  if (size > 0 && !this->is_upload_complete) {
    this->Resume();
  }
  return size;
}

void ServerExchange::Respond(int status, HeaderList headers, std::string body) {
  this->BeginResponse(status, std::move(headers), body.size());
  this->response_buffer = std::move(body);
  this->is_response_complete = true;
  this->DiscardUpload();
}

void ServerExchange::BeginResponse(int status,
                                   HeaderList headers,
                                   std::optional<std::uint64_t> length) {
  this->response_status = status;
  this->response_headers = std::move(headers);
  if (this->server.is_keep_alive_disabled()) {
    this->response_headers.push_back({"Connection", "close"});
  }
  this->response_length = length;
  this->has_response = true;
  this->Resume();
}

void ServerExchange::Write(std::string_view data) {
  this->response_buffer += data;
  this->UpdateCharge();
  this->Resume();
}

void ServerExchange::Finish() {
  this->is_response_complete = true;
  this->DiscardUpload();
  this->Resume();
}

void ServerExchange::Abort() {
  this->is_aborted = true;
  this->Resume();
}

MHD_Result ServerExchange::OnUpload(const char* data, std::size_t* size) {
  if (this->is_aborted || this->is_connection_closed) {
    return MHD_NO;
  }
  if (*size > 0) {
    this->NoteProgress();
    if (this->is_response_complete) {
      // Nobody reads the rest of the body, but it remains limited.
      this->received_body_bytes += std::exchange(*size, 0);
      return this->received_body_bytes > this->max_body_bytes ? MHD_NO
                                                              : MHD_YES;
    }
    if (!this->MayReceiveMore()) {
      this->Suspend();
      return MHD_YES;
    }
    const std::size_t room =
        kStreamBufferBytes -
        std::min(kStreamBufferBytes, this->request_buffer.size());
    const std::size_t taken = std::min(room, *size);
    this->received_body_bytes += taken;
    if (this->received_body_bytes > this->max_body_bytes) {
      return MHD_NO;
    }
    this->request_buffer.append(data, taken);
    *size -= taken;
    this->UpdateCharge();
    if (*size > 0) {
      this->Suspend();
    }
    if (taken > 0 && this->handlers.on_body) {
      this->handlers.on_body();
    }
    return MHD_YES;
  }
  if (!this->is_upload_complete) {
    this->is_upload_complete = true;
    if (!this->is_response_complete && this->handlers.on_body) {
      this->handlers.on_body();
    }
  }
  if (this->has_response) {
    return this->QueueResponse();
  }
  this->Suspend();
  return MHD_YES;
}

MHD_Result ServerExchange::QueueResponse() {
  if (this->is_response_queued) {
    return MHD_YES;
  }
  const auto read = [](void* self, std::uint64_t, char* buffer,
                       std::size_t capacity) -> ssize_t {
    return static_cast<ServerExchange*>(self)->ReadResponse(buffer, capacity);
  };
  MHD_Response* response = MHD_create_response_from_callback(
      this->response_length.value_or(MHD_SIZE_UNKNOWN), kResponseBlockBytes,
      read, this, nullptr);
  for (const Header& header : this->response_headers) {
    MHD_add_response_header(response, header.name.c_str(),
                            header.value.c_str());
  }
  this->is_response_queued = true;
  const MHD_Result queued = MHD_queue_response(
      this->connection, static_cast<unsigned>(this->response_status), response);
  MHD_destroy_response(response);
  return queued;
}

ssize_t ServerExchange::ReadResponse(char* buffer, std::size_t capacity) {
  if (this->response_buffer.empty() && this->is_aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (this->response_buffer.empty() && this->is_response_complete) {
    return this->response_length ? MHD_CONTENT_READER_END_WITH_ERROR
                                 : MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (this->response_buffer.empty()) {
    this->Suspend();
    return 0;
  }
  const std::size_t size = std::min(capacity, this->response_buffer.size());
  std::memcpy(buffer, this->response_buffer.data(), size);
  this->response_buffer.erase(0, size);
  this->NoteProgress();
  if (this->response_buffer.empty() && this->is_response_complete) {
    std::string().swap(this->response_buffer);
    this->UpdateCharge();
  }
  if (!this->is_response_complete && this->handlers.on_writable) {
    this->handlers.on_writable();
  }
  return static_cast<ssize_t>(size);
}

void ServerExchange::OnCompleted() {
  const bool is_incomplete = !this->is_response_queued ||
                             !this->is_response_complete ||
                             !this->response_buffer.empty();
  this->is_connection_closed = true;
  this->server.disconnect_monitor().Remove(this->Socket());
  if (is_incomplete && this->handlers.on_closed) {
    this->handlers.on_closed();
  }
  this->handlers = {};
  // The object may live on for a moment, but no longer uses the connection.
  if (this->client) {
    this->server.budget()->Charge(-static_cast<std::int64_t>(this->charged));
    this->charged = 0;
    this->charged_socket = 0;
    this->client = nullptr;
  }
}

void ServerExchange::Suspend() {
  if (this->is_suspended) {
    return;
  }
  this->is_suspended = true;
  this->UpdateCharge();
  MHD_suspend_connection(this->connection);
  // NOTE: libmicrohttpd does not watch the socket of a suspended connection.
  this->server.disconnect_monitor().Add(this->Socket(),
                                        [this] { this->OnConnectionLost(); });
}

void ServerExchange::Resume() {
  if (!this->is_suspended || this->is_connection_closed) {
    return;
  }
  this->is_suspended = false;
  this->UpdateCharge();
  this->NoteProgress();  // The client is only waited for from now on.
  this->server.disconnect_monitor().Remove(this->Socket());
  MHD_resume_connection(this->connection);
  this->server.ScheduleRun();
}

int ServerExchange::Socket() const {
  return MHD_get_connection_info(this->connection,
                                 MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

void ServerExchange::OnConnectionLost() {
  this->is_aborted = true;
  const auto on_closed = std::move(this->handlers.on_closed);
  this->handlers = {};
  this->Resume();
  if (on_closed) {
    on_closed();
  }
}

}  // namespace parsleyquay
