#ifndef PARSLEYQUAY_HTTP_HTTP_SERVER_H_
#define PARSLEYQUAY_HTTP_HTTP_SERVER_H_

#include <microhttpd.h>

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "event/event_loop.h"
#include "event/io_watcher.h"
#include "event/timer.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// An HTTP/1.1 server (libmicrohttpd) on the loop of its owner.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  // Listens on `address`, an "ip:port" pair. `handler` is called when the head
  // of a request has arrived.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop& loop,
                                                    const std::string& address,
                                                    Handler handler);
  ~HttpServer();

  EventLoop& loop() { return this->event_loop; }
  std::size_t open_exchanges() const { return this->exchange_count; }

  // Connections of callers, also those whose request has not been read yet.
  std::size_t open_connections() const;

  // Serves the connections that were resumed, on the next turn of the loop.
  void ScheduleRun();

  // Accepts no further connections; those that are open go on.
  void StopListening();

  // From now on every answer ends its connection.
  void DisableKeepAlive() { this->is_closing = true; }
  bool is_keep_alive_disabled() const { return this->is_closing; }

 private:
  HttpServer(EventLoop& loop, Handler handler);
  Result<void> Start(const std::string& address);
  void RunDaemon();
  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload_data,
                             std::size_t* upload_data_size,
                             void** context);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code);
  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);

  EventLoop& event_loop;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  IoWatcher watcher;
  Timer timer;
  std::size_t exchange_count = 0;
  bool is_closing = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_SERVER_H_
