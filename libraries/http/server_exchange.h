#ifndef PARSLEYQUAY_HTTP_SERVER_EXCHANGE_H_
#define PARSLEYQUAY_HTTP_SERVER_EXCHANGE_H_

#include <microhttpd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/header_list.h"

namespace parsleyquay {

class HttpServer;
struct ClientConnection;

struct ExchangeHandlers {
  std::function<void()> on_body;      // request data arrived, or the body ended
  std::function<void()> on_writable;  // the response buffer has room
  std::function<void()> on_closed;    // connection ended before the response
  // The memory of the exchange is needed, and it was not passed on. The owner
  // responds with a rejection.
  std::function<void()> on_reject;
};

// One request that the server has received, with its headers, streamed body and
// streamed response. While the request buffer holds kStreamBufferBytes, the
// server reads no more from the client. Write() has no limit: check has_room()
// first.
class ServerExchange {
 public:
  static constexpr std::size_t kStreamBufferBytes = 64 * 1024;

  ServerExchange(HttpServer& server,
                 MHD_Connection* connection,
                 ClientConnection* client,
                 std::string method,
                 std::string target,
                 std::string version);
  ~ServerExchange();

  const std::string& method() const { return this->request_method; }
  const std::string& target() const { return this->request_target; }
  // Returns the HTTP version as in the request line, such as "HTTP/1.1".
  const std::string& version() const { return this->request_version; }
  const HeaderList& headers() const { return this->request_headers; }
  void SetHandlers(ExchangeHandlers handlers);

  // Moves up to `capacity` bytes of the request body from the request buffer to
  // `buffer`. Returns the number of bytes, 0 if none has arrived.
  std::size_t ReadBody(char* buffer, std::size_t capacity);
  bool is_body_complete() const {
    return this->is_upload_complete && this->request_buffer.empty();
  }

  // Sends a response with a complete body.
  void Respond(int status, HeaderList headers, std::string body);

  // Starts a streamed response. `length` is that of the body in bytes, if it is
  // known. The request body can still be read; the response is sent once its
  // end has arrived.
  void BeginResponse(int status,
                     HeaderList headers,
                     std::optional<std::uint64_t> length);
  bool has_room() const {
    return this->response_buffer.size() < kStreamBufferBytes;
  }
  void Write(std::string_view data);

  // Marks the response body as complete. What is left of the request body is
  // discarded.
  void Finish();

  // Closes the connection after the data written so far, so that the client
  // sees an incomplete response.
  void Abort();

  // The connection is closed when the request body exceeds this size.
  void SetMaxBodyBytes(std::uint64_t bytes) { this->max_body_bytes = bytes; }

  // Tells how much memory the owner holds for this exchange.
  void SetHeldBytes(std::size_t bytes);
  // Returns whether the owner may receive more for this exchange now. If not,
  // `on_writable` is called when it may.
  bool MayReceiveMore();
  // Returns whether there is memory for this exchange to use so much more.
  bool HasRoomFor(std::size_t bytes);
  // States whether a server may have received the request.
  void SetPassedOn(bool is_passed_on) {
    this->has_been_passed_on = is_passed_on;
  }
  bool is_passed_on() const { return this->has_been_passed_on; }
  // Returns whether the memory for clients is scarce.
  bool is_memory_tight() const;

  // Returns whether the exchange goes on once a server, or this instance, has
  // done something, not the client.
  bool is_awaiting_server() const {
    return this->is_suspended && !this->is_waiting_for_budget;
  }
  // Returns the memory that the exchange and its owner hold.
  std::size_t charged_bytes() const { return this->charged; }
  // Returns the part of it that stands for the buffers of the socket.
  std::size_t charged_socket_bytes() const { return this->charged_socket; }

  bool has_begun_response() const { return this->has_response; }
  bool is_closed() const { return this->is_connection_closed; }

 private:
  friend class ClientBudget;
  friend class HttpServer;

  // Ends the exchange, since its connection has been or is being closed.
  void OnConnectionLost();
  void ContinueWithinBudget();
  // Lets the owner reject the request. Returns false, and does nothing, if it
  // cannot.
  bool Reject();
  void UpdateCharge();
  void NoteProgress();
  void DiscardUpload();
  MHD_Result OnUpload(const char* data, std::size_t* size);
  MHD_Result QueueResponse();
  ssize_t ReadResponse(char* buffer, std::size_t capacity);
  void OnCompleted();
  void Suspend();
  void Resume();
  int Socket() const;

  HttpServer& server;
  MHD_Connection* connection;
  ClientConnection* client = nullptr;  // null without a budget
  std::string request_method;
  std::string request_target;
  std::string request_version;
  HeaderList request_headers;
  ExchangeHandlers handlers;

  std::string request_buffer;
  bool is_upload_complete = false;
  bool is_suspended = false;
  bool has_response = false;
  bool is_response_queued = false;
  bool is_response_complete = false;
  bool is_aborted = false;
  bool is_connection_closed = false;
  int response_status = 0;
  HeaderList response_headers;
  std::optional<std::uint64_t> response_length;
  std::string response_buffer;

  std::uint64_t max_body_bytes = UINT64_MAX;
  std::uint64_t received_body_bytes = 0;
  std::size_t header_bytes = 0;    // memory of the headers and of their copies
  std::size_t held_bytes = 0;      // by the owner
  std::size_t charged = 0;         // to the budget
  std::size_t charged_socket = 0;  // part of `charged`
  bool has_been_passed_on = false;
  bool is_waiting_for_budget = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_SERVER_EXCHANGE_H_
