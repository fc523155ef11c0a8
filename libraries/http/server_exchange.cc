#include "http/server_exchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstring>

#include "http/http_server.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kResponseBlockBytes = 32 * 1024;

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
                               std::string method,
                               std::string target,
                               std::string version)
    : server(server),
      connection(connection),
      request_method(std::move(method)),
      request_target(std::move(target)),
      request_version(std::move(version)),
      disconnect_watcher(server.loop(),
                         [this](int) { this->OnSocketReadable(); }) {
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                            &this->request_headers);
}

ServerExchange::~ServerExchange() = default;

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
  this->Resume();
}

void ServerExchange::Finish() {
  this->is_response_complete = true;
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
    if (this->is_response_complete) {
      *size = 0;  // Nobody reads the rest of the body.
      return MHD_YES;
    }
    const std::size_t room =
        kStreamBufferBytes -
        std::min(kStreamBufferBytes, this->request_buffer.size());
    const std::size_t taken = std::min(room, *size);
    this->request_buffer.append(data, taken);
    *size -= taken;
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
  this->disconnect_watcher.Stop();
  if (is_incomplete && this->handlers.on_closed) {
    this->handlers.on_closed();
  }
  this->handlers = {};
}

void ServerExchange::Suspend() {
  if (this->is_suspended) {
    return;
  }
  this->is_suspended = true;
  MHD_suspend_connection(this->connection);
  // NOTE: libmicrohttpd does not watch the socket of a suspended connection,
  // so this watcher detects a client that disconnects.
  const auto* info = MHD_get_connection_info(this->connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  this->disconnect_watcher.Start(info->connect_fd, EV_READ);
}

void ServerExchange::Resume() {
  if (!this->is_suspended || this->is_connection_closed) {
    return;
  }
  this->is_suspended = false;
  this->disconnect_watcher.Stop();
  MHD_resume_connection(this->connection);
  this->server.ScheduleRun();
}

void ServerExchange::OnSocketReadable() {
  const auto* info = MHD_get_connection_info(this->connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte = 0;
  const ssize_t size =
      recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool has_data = size > 0;
  const bool must_wait = size < 0 && (errno == EAGAIN || errno == EINTR);
  if (must_wait) {
    return;
  }
  this->disconnect_watcher.Stop();
  if (has_data) {
    return;  // The client has sent more data, such as its next request.
  }
  this->is_aborted = true;
  const auto on_closed = std::move(this->handlers.on_closed);
  this->handlers = {};
  this->Resume();
  if (on_closed) {
    on_closed();
  }
}

}  // namespace parsleyquay
