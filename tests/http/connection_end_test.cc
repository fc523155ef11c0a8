// Tests that a connection which ends after a response delivers the whole
// response, and that it does not stay open without bound.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "event/timer.h"
#include "http/http_server.h"
#include "support/await.h"
#include "support/raw_connection.h"
#include "support/scripted_server.h"

namespace parsleyquay {
namespace {

// A client that reads 4 kB every 20 ms with a buffer of this size is still
// reading when the server has written its response.
constexpr int kReceiveBufferBytes = 4'096;
constexpr std::size_t kReadBytes = 4'096;
constexpr Duration kReadInterval = milliseconds(20);
constexpr std::size_t kSentBytes = 4'096;
constexpr std::size_t kResponseBytes = 30'000;

const std::string get_request = "GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\n";
const std::string closing_request =
    "GET /1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";

// A server that responds to every request once its headers have arrived, or
// after a delay.
struct RespondingServer {
  explicit RespondingServer(const ClientLimits& limits = {},
                            Duration idle_timeout = seconds(60))
      : budget(loop, limits, [](ClosureReason, std::size_t, ClientUsage) {}) {
    this->budget.SetTimeouts({.header = seconds(60), .idle = idle_timeout});
    RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(
              this->server,
              HttpServer::Create(
                  this->loop, this->address,
                  [this](std::shared_ptr<ServerExchange> exchange) {
                    this->OnRequest(std::move(exchange));
                  },
                  &this->budget));
          return {};
        },
        [](const Error& error) { FAIL(ToString(error)); });
  }

  void OnRequest(std::shared_ptr<ServerExchange> exchange) {
    this->exchanges.push_back(std::move(exchange));
    if (this->response_delay == Duration(0)) {
      this->RespondToAll();
    } else {
      this->timer.StartOnce(this->response_delay);
    }
  }

  void RespondToAll() {
    for (const auto& exchange : std::exchange(this->exchanges, {})) {
      exchange->Respond(200, {}, std::string(kResponseBytes, 'x'));
      ++this->responses;
    }
  }

  bool Await(const std::function<bool()>& condition,
             Duration timeout = seconds(20)) {
    return RunLoopUntil(this->loop, condition, timeout);
  }

  void RunFor(Duration duration) {
    this->Await([] { return false; }, duration);
  }

  // Reads slowly until the connection has ended, and returns what it received.
  // Sends `more` meanwhile.
  const std::string& ReadSlowly(RawConnection& client,
                                std::string_view more = "") {
    this->Await([&] {
      more.remove_prefix(client.SendSome(more.substr(0, kSentBytes)));
      client.Receive(kReadBytes);
      this->RunFor(kReadInterval);
      return client.has_read_end();
    });
    return client.Receive();
  }

  EventLoop loop;
  std::string address = FreeAddress();
  ClientBudget budget;
  std::unique_ptr<HttpServer> server;
  Duration response_delay = Duration(0);
  std::vector<std::shared_ptr<ServerExchange>> exchanges;
  Timer timer{loop, [this] { this->RespondToAll(); }};
  int responses = 0;
};

bool IsWhole(const std::string& response) {
  return CountBodyBytes(response, "200") == kResponseBytes;
}

// Guards against a reset by requests that arrive behind the one whose response
// announces the end of the connection.
TEST_CASE("a shutdown delivers the response to a client that sends on") {
  RespondingServer server;
  server.response_delay = milliseconds(250);
  RawConnection client(server.address, kReceiveBufferBytes);
  REQUIRE(client.Send(get_request));
  REQUIRE(server.Await([&] { return !server.exchanges.empty(); }));
  REQUIRE(client.Send(get_request));
  server.server->DisableKeepAlive();
  REQUIRE(client.Send(get_request));
  REQUIRE(server.Await([&] { return server.responses == 1; }));
  server.RunFor(milliseconds(50));
  client.Send(get_request);
  const std::string& response = server.ReadSlowly(client, get_request);
  INFO("received " << response.size());
  CHECK(IsWhole(response));
  CHECK(server.responses == 1);
}

// Guards against the same reset where the client has asked for the end of the
// connection.
TEST_CASE(
    "a client that closes by header gets the response though it sends on") {
  RespondingServer server;
  RawConnection client(server.address, kReceiveBufferBytes);
  REQUIRE(client.Send(closing_request));
  REQUIRE(server.Await([&] { return server.responses == 1; }));
  server.RunFor(milliseconds(50));
  const std::string& response =
      server.ReadSlowly(client, get_request + get_request);
  INFO("received " << response.size());
  CHECK(IsWhole(response));
  CHECK(server.responses == 1);
}

// Guards against the same reset by the rest of a body that nobody reads.
TEST_CASE("a client whose upload is rejected gets the response") {
  const auto [name, framing, body] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"length", "Content-Length: 400000\r\n\r\n",
            std::string(400'000, 'b')},
           {"chunked", "Transfer-Encoding: chunked\r\n\r\n",
            "61a80\r\n" + std::string(400'000, 'b') + "\r\n0\r\n\r\n"}}));
  INFO(name);
  RespondingServer server;
  RawConnection client(server.address, kReceiveBufferBytes);
  REQUIRE(client.Send("POST /1 HTTP/1.1\r\nHost: a.example\r\n" + framing));
  const std::string& response = server.ReadSlowly(client, body);
  INFO("received " << response.size());
  CHECK(IsWhole(response));
}

// Guards against a response that is cut because its reader is slow: it needs
// three times the idle timeout, and never pauses for so long.
TEST_CASE("a response is delivered as long as its client makes progress") {
  const bool is_kept_alive = GENERATE(true, false);
  INFO((is_kept_alive ? "kept alive" : "closed"));
  RespondingServer server({}, seconds(2));
  RawConnection client(server.address, kReceiveBufferBytes);
  REQUIRE(client.Send(is_kept_alive ? get_request : closing_request));
  for (int i = 0; i < 12; ++i) {
    server.RunFor(milliseconds(500));
    client.Receive(kResponseBytes / 16);
    client.Send("G");
  }
  const std::string& response = server.ReadSlowly(client);
  INFO("received " << response.size());
  CHECK(IsWhole(response));
}

// Guards against connections that clients keep open for good.
TEST_CASE("a client that does not close its connection is disconnected") {
  const bool reads = GENERATE(true, false);
  INFO((reads ? "reads" : "does not read"));
  RespondingServer server({}, seconds(2));
  RawConnection client(server.address, kReceiveBufferBytes);
  REQUIRE(client.Send(closing_request));
  REQUIRE(server.Await([&] { return server.responses == 1; }));
  if (reads) {
    CHECK(IsWhole(server.ReadSlowly(client)));
  }
  server.RunFor(milliseconds(500));
  CHECK(server.budget.usage().connections == 1);
  CHECK(server.Await([&] { return server.budget.usage().connections == 0; }));
}

// Guards against connections beyond the limit that wait for their clients.
TEST_CASE("connections that have ended count until their clients close") {
  constexpr std::size_t kMaxConnections = 8;
  RespondingServer server({.connections = kMaxConnections});
  std::vector<RawConnection> clients;
  for (int i = 0; i < 30; ++i) {
    clients.emplace_back(server.address, kReceiveBufferBytes);
    clients.back().Send(closing_request);
    server.RunFor(milliseconds(20));
    CHECK(server.budget.usage().connections <= kMaxConnections + 2);
  }
  CHECK(server.budget.usage().connections > 0);
  clients.clear();
  CHECK(server.Await([&] { return server.budget.usage().connections == 0; }));
}

// Guards against an abort, and a reset, when the server is destroyed.
TEST_CASE("a server is destroyed while connections wait for their clients") {
  auto server = std::make_unique<RespondingServer>();
  RawConnection client(server->address, kReceiveBufferBytes);
  REQUIRE(client.Send(closing_request + get_request));
  REQUIRE(server->Await([&] { return server->responses == 1; }));
  server->RunFor(milliseconds(100));
  client.Send(get_request);
  server.reset();
  RespondingServer other;  // whose loop passes the time
  CHECK(IsWhole(other.ReadSlowly(client)));
}

// Guards against resets of connections that are complete, but not yet accepted,
// when the listening socket closes. MHD_run() accepts at most ten of them.
TEST_CASE("connections that wait when the server stops listening are served") {
  RespondingServer server;
  constexpr int kClients = 40;
  std::vector<RawConnection> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(server.address);
    REQUIRE(clients.back().Send(closing_request));
  }
  server.server->StopListening();
  const auto count_whole = [&] {
    return std::ranges::count_if(clients, [](RawConnection& client) {
      return IsWhole(client.Receive());
    });
  };
  server.Await([&] { return count_whole() == kClients; }, seconds(5));
  CHECK(count_whole() == kClients);
  CHECK_THROWS(RawConnection(server.address));
}

}  // namespace
}  // namespace parsleyquay
