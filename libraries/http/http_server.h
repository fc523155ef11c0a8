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
#include "http/client_budget.h"
#include "http/disconnect_monitor.h"
#include "http/lingering_connections.h"
#include "http/server_exchange.h"

namespace parsleyquay {

struct ServerConnection;

// An HTTP/1.1 server, built on libmicrohttpd and driven by the owner's event
// loop.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  // Listens on `address`, an "ip:port" pair, and calls `handler` for every
  // request once its header section has arrived. Fails if the address is
  // malformed or cannot be listened on. Its clients are counted in `budget`, if
  // there is one, which must outlive the server.
  static Result<std::unique_ptr<HttpServer>> Create(
      EventLoop& loop,
      const std::string& address,
      Handler handler,
      ClientBudget* budget = nullptr);
  // Ends all requests in progress, as if their clients had disconnected.
  ~HttpServer();

  EventLoop& loop() { return this->event_loop; }
  ClientBudget* budget() { return this->client_budget; }
  // Watches the clients of suspended connections.
  DisconnectMonitor& disconnect_monitor() { return this->monitor; }
  // The number of requests that have not been completed.
  std::size_t open_exchanges() const { return this->exchange_count; }

  // The number of client connections, including those that have not sent a
  // complete request, and those whose last response may still be unread.
  std::size_t open_connections() const;

  // The number of connections whose last response may still be unread.
  std::size_t lingering_connections() const { return this->lingering.count(); }

  // Processes resumed connections on the next iteration of the loop.
  void ScheduleRun();

  // Stops accepting connections. Existing connections stay open, and those that
  // wait to be accepted are served.
  void StopListening();

  // Adds "Connection: close" to every response that begins from now on.
  void DisableKeepAlive() { this->is_closing = true; }
  bool is_keep_alive_disabled() const { return this->is_closing; }

 private:
  HttpServer(EventLoop& loop, Handler handler, ClientBudget* budget);
  Result<void> Start(const std::string& address);
  void AcceptAll(int listener);
  void RunDaemon();
  void OnConnectionClosed(MHD_Connection* connection);
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
  static MHD_Result OnAccept(void* self, const sockaddr*, socklen_t);
  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code);
  static ServerConnection& StateOf(MHD_Connection* connection);
  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);

  EventLoop& event_loop;
  Handler handler;
  ClientBudget* client_budget = nullptr;
  DisconnectMonitor monitor;
  LingeringConnections lingering;
  MHD_Daemon* daemon = nullptr;
  IoWatcher watcher;
  Timer timer;
  std::size_t exchange_count = 0;
  bool is_closing = false;
  bool is_stopping = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HTTP_SERVER_H_
