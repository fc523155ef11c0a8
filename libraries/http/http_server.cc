#include "http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "base/socket_address.h"
#include "http/connection_state.h"

namespace parsleyquay {

namespace {

constexpr unsigned kConnectionLimit = 2'000;
constexpr std::size_t kConnectionMemoryBytes = 48 * 1024;
constexpr unsigned kIdleTimeoutSeconds = 120;

// The state of a request from the moment its request line has been read. The
// exchange is created when the header section is complete.
struct PendingRequest {
  std::string target;
  std::shared_ptr<ServerExchange> exchange;
};

int SocketOf(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

}  // namespace

// A connection of a client to this server.
struct ServerConnection {
  ClientConnection* client = nullptr;  // null without a budget
  // The last response is incomplete, and must not end like a complete one.
  bool is_response_cut = false;
};

HttpServer::HttpServer(EventLoop& loop, Handler handler, ClientBudget* budget)
    : event_loop(loop),
      handler(std::move(handler)),
      client_budget(budget),
      monitor(loop),
      lingering(loop, budget),
      watcher(loop, [this](int) { this->RunDaemon(); }),
      timer(loop, [this] { this->RunDaemon(); }) {}

HttpServer::~HttpServer() {
  if (this->daemon) {
    // libmicrohttpd aborts the process if connections are still suspended.
    this->monitor.DisconnectAll();
    this->is_stopping = true;
    this->watcher.Stop();
    this->timer.Stop();
    MHD_stop_daemon(this->daemon);
  }
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    EventLoop& loop,
    const std::string& address,
    Handler handler,
    ClientBudget* budget) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(loop, std::move(handler), budget));
  BOOST_LEAF_CHECK(server->Start(address));
  return server;
}

Result<void> HttpServer::Start(const std::string& address) {
  BOOST_LEAF_AUTO(socket_address, ParseSocketAddress(address));
  BOOST_LEAF_CHECK(this->monitor.Start());
  this->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, &HttpServer::OnAccept, this,
      &HttpServer::OnAccess, this, MHD_OPTION_SOCK_ADDR, &socket_address,
      MHD_OPTION_NOTIFY_COMPLETED, &HttpServer::OnCompleted, this,
      MHD_OPTION_NOTIFY_CONNECTION, &HttpServer::OnConnection, this,
      MHD_OPTION_URI_LOG_CALLBACK, &HttpServer::OnUri, this,
      MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (!this->daemon) {
    return Fail({"listen", address, "cannot listen on this address"});
  }
  if (this->client_budget &&
      this->client_budget->limits().socket_buffer_bytes) {
    LimitSocketBuffers(
        MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd,
        *this->client_budget->limits().socket_buffer_bytes);
  }
  const auto* info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  this->watcher.Start(info->epoll_fd, EV_READ);
  this->ScheduleRun();
  return {};
}

MHD_Result HttpServer::OnAccept(void* self, const sockaddr*, socklen_t) {
  ClientBudget* budget = static_cast<HttpServer*>(self)->client_budget;
  return !budget || budget->MayAccept() ? MHD_YES : MHD_NO;
}

void HttpServer::OnConnection(void* self,
                              MHD_Connection* connection,
                              void** socket_context,
                              MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<HttpServer*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    ClientBudget* budget = server->client_budget;
    *socket_context = new ServerConnection{
        .client = budget ? budget->Add(SocketOf(connection)) : nullptr};
    return;
  }
  server->OnConnectionClosed(connection);
  delete static_cast<ServerConnection*>(*socket_context);
}

// Called before libmicrohttpd closes the socket.
void HttpServer::OnConnectionClosed(MHD_Connection* connection) {
  const ServerConnection& state = StateOf(connection);
  const int socket = SocketOf(connection);
  const bool may_linger =
      !state.is_response_cut && !(state.client && state.client->is_closing);
  if (may_linger && this->is_stopping) {
    DiscardReceived(socket);
  }
  const bool lingers = may_linger && !this->is_stopping &&
                       this->lingering.Add(socket, state.client);
  if (state.client && !lingers) {
    this->client_budget->Remove(*state.client);
  }
}

void HttpServer::ScheduleRun() {
  this->timer.StartOnce(Duration(0));
}

std::size_t HttpServer::open_connections() const {
  const auto* info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info->num_connections + this->lingering.count();
}

void HttpServer::StopListening() {
  const MHD_socket listener = MHD_quiesce_daemon(this->daemon);
  if (listener == MHD_INVALID_SOCKET) {
    return;
  }
  // Closing the listening socket resets the connections that wait to be
  // accepted. MHD_run() accepts at most ten of them.
  this->AcceptAll(listener);
  close(listener);
  this->RunDaemon();
}

void HttpServer::AcceptAll(int listener) {
  while (true) {
    sockaddr_storage address = {};
    socklen_t length = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    const int client =
        accept4(listener, raw, &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client >= 0) {
      // Closes the socket if it fails.
      MHD_add_connection(this->daemon, client, raw, length);
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

void HttpServer::RunDaemon() {
  MHD_run(this->daemon);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES) {
    this->timer.StartOnce(milliseconds(timeout_ms));
  }
}

void* HttpServer::OnUri(void*, const char* uri, MHD_Connection*) {
  return new PendingRequest{uri, nullptr};
}

ServerConnection& HttpServer::StateOf(MHD_Connection* connection) {
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<ServerConnection*>(info->socket_context);
}

MHD_Result HttpServer::OnAccess(void* self,
                                MHD_Connection* connection,
                                const char*,
                                const char* method,
                                const char* version,
                                const char* upload_data,
                                std::size_t* upload_data_size,
                                void** context) {
  auto* server = static_cast<HttpServer*>(self);
  auto* pending = static_cast<PendingRequest*>(*context);
  if (pending->exchange) {
    return pending->exchange->OnUpload(upload_data, upload_data_size);
  }
  pending->exchange = std::make_shared<ServerExchange>(
      *server, connection, StateOf(connection).client, method,
      std::move(pending->target), version);
  ++server->exchange_count;
  server->handler(pending->exchange);
  if (pending->exchange->has_response) {
    return pending->exchange->QueueResponse();
  }
  return MHD_YES;
}

void HttpServer::OnCompleted(void* self,
                             MHD_Connection* connection,
                             void** context,
                             MHD_RequestTerminationCode code) {
  auto* server = static_cast<HttpServer*>(self);
  const std::unique_ptr<PendingRequest> pending(
      static_cast<PendingRequest*>(*context));
  *context = nullptr;
  if (!pending || !pending->exchange) {
    return;
  }
  --server->exchange_count;
  pending->exchange->OnCompleted();
  ServerConnection& state = StateOf(connection);
  state.is_response_cut = code != MHD_REQUEST_TERMINATED_COMPLETED_OK;
  if (state.client) {
    server->client_budget->EndRequest(*state.client);
  }
}

}  // namespace parsleyquay
