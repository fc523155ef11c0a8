#ifndef PARSLEYQUAY_HTTP_SERVER_EXCHANGE_H_
#define PARSLEYQUAY_HTTP_SERVER_EXCHANGE_H_

#include <microhttpd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "event/io_watcher.h"
#include "http/header_list.h"

namespace parsleyquay {

class HttpServer;

struct ExchangeHandlers {
  std::function<void()> on_body;      // request data arrived, or the body ended
  std::function<void()> on_writable;  // the response buffer has room
  std::function<void()> on_closed;    // connection ended before the response
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

  bool has_begun_response() const { return this->has_response; }
  bool is_closed() const { return this->is_connection_closed; }

 private:
  friend class HttpServer;

  MHD_Result OnUpload(const char* data, std::size_t* size);
  MHD_Result QueueResponse();
  ssize_t ReadResponse(char* buffer, std::size_t capacity);
  void OnCompleted();
  void Suspend();
  void Resume();
  void OnSocketReadable();

  HttpServer& server;
  MHD_Connection* connection;
  std::string request_method;
  std::string request_target;
  std::string request_version;
  HeaderList request_headers;
  ExchangeHandlers handlers;
  IoWatcher disconnect_watcher;

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
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_SERVER_EXCHANGE_H_
