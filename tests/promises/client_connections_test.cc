// Tests of gateway processes: the timeouts of clients, the rejection of
// requests while memory is exhausted, and termination while clients are
// connected.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/raw_connection.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

// Returns a configuration with the timeouts of clients and of routes.
std::string ConfigurationWith(const std::string& header_timeout,
                              const std::string& idle_timeout,
                              const std::string& route_timeout = "1500ms") {
  std::string text = ConfigurationText(1, {{"shop", R"("shop-key")"}});
  const std::string timeout = "1500ms";
  for (std::size_t at = text.find(timeout); at != std::string::npos;
       at = text.find(timeout, at + 1)) {
    text.replace(at, timeout.size(), route_timeout);
  }
  text.insert(text.rfind(']'),
              R"(,{"resource_kind":"limits","metadata":{},"spec":{)"
              R"("header_timeout":")" +
                  header_timeout + R"(","idle_timeout":")" + idle_timeout +
                  R"("}})");
  return text;
}

// Returns the request line and the first headers.
std::string HeadFor(const std::string& method,
                    const std::string& target,
                    const std::string& id,
                    int deadline_ms = 1'500) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
         "\r\nRequest-Deadline: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer shop-key\r\n";
}

struct OneGateway : GatewayProcesses {
  OneGateway(const std::string& configuration,
             ScriptedServer::Script script,
             const std::string& limits = "")
      : GatewayProcesses(1, false, limits) {
    REQUIRE(this->Start(configuration));
    this->AddServer("s-1", std::move(script));
    REQUIRE(this->Await(
        [&] { return this->Send(0, "GET", "/safe/1").status == 200; }));
  }

  Duration ElapsedSince(TimePoint began) {
    this->RunFor(milliseconds(1));  // updates the loop's time
    return this->loop.Now() - began;
  }

  bool LogHas(const std::string& text) {
    return this->Log(0).find(text) != std::string::npos;
  }
};

// Responds at once to "r-1", the request of GatewayProcesses::Send().
ScriptedServer::Script RespondsOnlyToProbes() {
  return [](const RawRequest& request) {
    return RawHeader(request.head, "Request-Id") == "r-1"
               ? RawResponse{SignedOkResponse(request, "fine")}
               : RawResponse{};
  };
}

TEST_CASE("a client that is slow with its headers is disconnected") {
  OneGateway gateway(ConfigurationWith("1s", "60s"), Good());
  RawConnection idle(gateway.request_address(0));
  const std::string address = GENERATE(true, false)
                                  ? gateway.request_address(0)
                                  : gateway.readiness_address(0);
  const TimePoint began = gateway.loop.Now();
  RawConnection slow(address);
  REQUIRE(slow.Send("GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: "));
  // Each byte is progress, so that the other timeout does not apply.
  CHECK(gateway.Await(
      [&] {
        gateway.RunFor(milliseconds(50));
        slow.Send("h");
        return slow.HasEnded();
      },
      seconds(20)));
  CHECK(gateway.ElapsedSince(began) >= seconds(1));
  CHECK(slow.Receive().empty());
  CHECK_FALSE(idle.HasEnded());
  CHECK(gateway.Await([&] { return gateway.LogHas("reason=timeout"); }));
  CHECK(gateway.Send(0, "GET", "/safe/1").status == 200);
}

TEST_CASE("a client without progress is disconnected") {
  OneGateway gateway(ConfigurationWith("60s", "1s"), Good());
  const auto [name, bytes, is_answered] =
      GENERATE(table<std::string, std::string, bool>(
          {{"nothing sent", "", false},
           {"headers stop", "GET /safe/1 HTTP/1.1\r\nHost: a.exa", false},
           {"body stops",
            HeadFor("POST", "/once/1", "r-2") +
                "Content-Length: 100\r\n\r\nbody",
            false},
           {"after a response", HeadFor("GET", "/safe/1", "r-2") + "\r\n",
            true}}));
  INFO(name);
  const TimePoint began = gateway.loop.Now();
  RawConnection client(gateway.request_address(0));
  REQUIRE(client.Send(bytes));
  CHECK(gateway.Await([&] { return client.HasEnded(); }, seconds(20)));
  CHECK(gateway.ElapsedSince(began) >= seconds(1));
  CHECK(client.Receive().starts_with("HTTP/1.1 200") == is_answered);
  CHECK(gateway.Await([&] { return gateway.LogHas("reason=timeout"); }));
  CHECK(gateway.Send(0, "GET", "/safe/1").status == 200);
}

// The server takes longer than the idle timeout.
TEST_CASE("a client that waits for a server is not disconnected") {
  OneGateway gateway(
      ConfigurationWith("60s", "100ms", "10s"), [](const RawRequest& request) {
        const bool is_probe = RawHeader(request.head, "Request-Id") == "r-1";
        return RawResponse{.bytes = SignedOkResponse(request, "fine"),
                           .delay = milliseconds(is_probe ? 0 : 1'500)};
      });
  RawConnection client(gateway.request_address(0));
  REQUIRE(client.Send(HeadFor("POST", "/once/1", "r-2", 10'000) +
                      "Content-Length: 4\r\n\r\nbody"));
  CHECK(gateway.Await([&] { return !client.Receive().empty(); }));
  CHECK(client.Receive().starts_with("HTTP/1.1 200"));
}

// While the process is stopped, more arrives than its memory allows, so that it
// meets the last requests before it has closed any connection. Every other
// client stops within its body, and so holds memory.
TEST_CASE("requests are rejected as not executed while memory is exhausted") {
  constexpr int kClients = 400;
  OneGateway gateway(ConfigurationText(1, {{"shop", R"("shop-key")"}}),
                     RespondsOnlyToProbes(), "memory = 64\n");
  std::vector<RawConnection> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(gateway.request_address(0));
  }
  REQUIRE(gateway.Await([&] {
    const std::string metrics =
        gateway.Get(gateway.metrics_address(0), "/").body;
    const std::string name = "client_connections ";
    const std::size_t at = metrics.find(name);
    return at != std::string::npos &&
           std::stoi(metrics.substr(at + name.size())) >= kClients;
  }));
  gateway.process(0).Signal(SIGSTOP);
  for (int i = 0; i < kClients; ++i) {
    const bool is_complete = i % 2 == 1;
    const std::string rest =
        "X-Long: " + std::string(12'000, 'h') +
        (is_complete
             ? "\r\nContent-Length: 4\r\n\r\nbody"
             : "\r\nContent-Length: 20001\r\n\r\n" + std::string(20'000, 'b'));
    REQUIRE(clients[static_cast<std::size_t>(i)].Send(
        HeadFor("POST", "/once/1", "m-" + std::to_string(i)) + rest));
  }
  gateway.process(0).Signal(SIGCONT);
  CHECK(gateway.Await([&] {
    return std::ranges::count_if(clients, [](RawConnection& client) {
             return client.HasEnded() || !client.Receive().empty();
           }) >= kClients / 2;
  }));
  gateway.RunFor(milliseconds(500));
  std::set<std::string> rejected;
  for (int i = 1; i < kClients; i += 2) {
    const std::string& response =
        clients[static_cast<std::size_t>(i)].Receive();
    if (response.find("out_of_memory") != std::string::npos) {
      CHECK(response.starts_with("HTTP/1.1 503"));
      CHECK(response.find("Retry-After: ") != std::string::npos);
      CHECK(response.find(R"("outcome":"not_run")") != std::string::npos);
      rejected.insert("m-" + std::to_string(i));
    }
  }
  INFO(rejected.size() << " rejected");
  CHECK_FALSE(rejected.empty());
  CHECK(rejected.size() < kClients / 2);
  for (const RawRequest& request : gateway.server("s-1").requests()) {
    CHECK_FALSE(rejected.contains(RawHeader(request.head, "Request-Id")));
  }
  clients.clear();
  CHECK(gateway.Await(
      [&] { return gateway.Send(0, "GET", "/safe/1").status == 200; }));
}

// Guards against an abort of the destructors while requests are held.
TEST_CASE("an instance terminates properly while clients are connected") {
  const bool is_paused = GENERATE(false, true);
  INFO((is_paused ? "paused within the grace period" : "not paused"));
  OneGateway gateway(
      ConfigurationText(1, {{"shop", R"("shop-key")"}}),
      [](const RawRequest& request) {
        if (RawHeader(request.head, "Request-Id") == "r-1") {
          return RawResponse{SignedOkResponse(request, "fine")};
        }
        std::string response =
            SignedOkResponse(request, std::string(3'000'000, 'x'));
        response.resize(request.head.starts_with("GET") ? 2'000'000 : 0);
        return RawResponse{response};
      });
  const std::string body_of_100 = "Content-Length: 100\r\n\r\n";
  const std::string address = gateway.request_address(0);
  std::vector<RawConnection> clients;
  const auto connect_all = [&] {
    for (const std::string& bytes :
         {std::string(), std::string("GET /safe/1 HTTP/1.1\r\nHo"),
          HeadFor("POST", "/once/1", "r-2") + body_of_100 + "body",
          HeadFor("POST", "/once/1", "r-3") + body_of_100 +
              std::string(100, 'b') + HeadFor("GET", "/safe/1", "r-4") + "\r\n",
          HeadFor("GET", "/safe/1", "r-5") + "\r\n"}) {
      clients.emplace_back(address);
      REQUIRE(clients.back().Send(bytes));
    }
  };
  connect_all();
  REQUIRE(gateway.Await(
      [&] { return gateway.server("s-1").open_connections() >= 2; }));
  gateway.process(0).Signal(SIGTERM);
  REQUIRE(gateway.Await([&] { return gateway.LogHas("event=leaving"); }));
  connect_all();
  gateway.RunFor(milliseconds(200));
  if (is_paused) {
    gateway.process(0).Signal(SIGSTOP);
    // The grace period is 4 s.
    gateway.RunFor(seconds(4));
    connect_all();
    gateway.process(0).Signal(SIGCONT);
  }
  CHECK(gateway.Await([&] { return gateway.process(0).HasEnded(); }));
  CHECK(gateway.process(0).exit_code() == 0);
  CHECK(gateway.LogHas("event=stop"));
}

// Returns whether the first response has arrived with its whole body.
bool HasWholeResponse(const std::string& received,
                      const std::string& status,
                      std::size_t body_bytes) {
  return CountBodyBytes(received, status) >= body_bytes;
}

// Guards against a reset that cuts the responses of a terminating instance,
// where clients send further requests and read slowly. The slower ones are
// still reading when the instance accepts no connections any more.
TEST_CASE("a terminating instance delivers responses to clients that send on") {
  constexpr std::size_t kResponseBytes = 30'000;
  constexpr int kClients = 12;
  const std::size_t bytes_per_read = GENERATE(4'096, 250);
  INFO(bytes_per_read << " bytes at a time");
  OneGateway gateway(
      ConfigurationWith("60s", "60s", "10s"), [](const RawRequest& request) {
        const bool is_probe = RawHeader(request.head, "Request-Id") == "r-1";
        return RawResponse{.bytes = SignedOkResponse(
                               request, std::string(kResponseBytes, 'x')),
                           .delay = milliseconds(is_probe ? 0 : 600)};
      });
  std::vector<RawConnection> clients;
  const auto send_all = [&](const std::string& name) {
    for (int i = 0; i < kClients; ++i) {
      clients[static_cast<std::size_t>(i)].Send(
          HeadFor("GET", "/safe/1", name + std::to_string(i), 10'000) + "\r\n");
    }
  };
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(gateway.request_address(0), 4'096);
  }
  send_all("a-");
  gateway.RunFor(milliseconds(100));
  send_all("b-");
  gateway.process(0).Signal(SIGTERM);
  for (const char* name : {"c-", "d-"}) {
    gateway.RunFor(milliseconds(100));
    send_all(name);
  }
  gateway.RunFor(milliseconds(500));
  send_all("e-");
  CHECK(gateway.Await(
      [&] {
        gateway.RunFor(milliseconds(20));
        for (RawConnection& client : clients) {
          client.Receive(bytes_per_read);
        }
        return std::ranges::all_of(clients, &RawConnection::has_read_end);
      },
      seconds(20)));
  CHECK(std::ranges::count_if(clients, [](RawConnection& client) {
          return HasWholeResponse(client.Receive(), "200", kResponseBytes);
        }) == kClients);
  // Requests behind the last response are not executed.
  CHECK(std::ranges::all_of(
      gateway.server("s-1").requests(), [](const RawRequest& request) {
        const std::string id = RawHeader(request.head, "Request-Id");
        return id == "r-1" || id.starts_with("a-");
      }));
  CHECK(gateway.Await([&] { return gateway.process(0).HasEnded(); }));
  CHECK(gateway.process(0).exit_code() == 0);
}

// Guards against an instance that exits when it stops listening, although it
// has just accepted connections whose requests have not arrived, or not whole.
TEST_CASE("a terminating instance responds on connections accepted last") {
  OneGateway gateway(ConfigurationWith("60s", "60s"), Good());
  const std::string head = HeadFor("GET", "/safe/1", "r-2") + "\r\n";
  constexpr std::size_t kSentAtOnce = 20;
  std::optional<RawConnection> silent;
  std::optional<RawConnection> partial;
  gateway.process(0).Signal(SIGTERM);
  // Keeps the two connections that were accepted last.
  const auto may_connect = [&] {
    try {
      RawConnection first(gateway.request_address(0));
      RawConnection second(gateway.request_address(0));
      silent.emplace(std::move(first));
      partial.emplace(std::move(second));
    } catch (const std::runtime_error&) {
      return false;
    }
    partial->Send(head.substr(0, kSentAtOnce));
    return true;
  };
  REQUIRE(gateway.Await([&] { return !may_connect(); }));
  REQUIRE(silent);
  gateway.RunFor(milliseconds(200));
  silent->Send(head);
  partial->Send(head.substr(kSentAtOnce));
  for (RawConnection* client : {&*silent, &*partial}) {
    gateway.Await([&] { return client->HasEnded(); });
    // The request's deadline is after the end of the grace period.
    CHECK(HasWholeResponse(client->Receive(), "503", 1));
    CHECK(client->Receive().find(R"("outcome":"not_run")") !=
          std::string::npos);
  }
  CHECK(gateway.Await([&] { return gateway.process(0).HasEnded(); }));
  CHECK(gateway.process(0).exit_code() == 0);
}

// Guards against the header timeout of a client that has sent its headers in
// time, but not at once, and whose body or response then takes long.
TEST_CASE("the header timeout ends with the headers") {
  constexpr std::size_t kBytes = 400'000;
  constexpr int kSteps = 25;
  const bool is_upload = GENERATE(true, false);
  INFO((is_upload ? "long body" : "long response"));
  // The setting limits the socket buffers, which would take the response whole.
  OneGateway gateway(
      ConfigurationWith("2s", "60s", "20s"),
      [](const RawRequest& request) {
        return RawResponse{SignedOkResponse(request, std::string(kBytes, 'x'))};
      },
      "memory = 112\n");
  RawConnection client(gateway.request_address(0), 4'096);
  const std::string head =
      is_upload ? HeadFor("POST", "/once/1", "r-2", 20'000) +
                      "Content-Length: " + std::to_string(kBytes) + "\r\n\r\n"
                : HeadFor("GET", "/safe/1", "r-2", 20'000) + "\r\n";
  REQUIRE(client.Send(head.substr(0, 40)));
  gateway.RunFor(milliseconds(1'500));
  REQUIRE(client.Send(head.substr(40)));
  // 5 s in all, longer than the header timeout and the interval of its checks.
  std::string unsent = is_upload ? std::string(kBytes, 'b') : "";
  for (int i = 0; i < kSteps; ++i) {
    gateway.RunFor(milliseconds(200));
    unsent.erase(0, client.SendSome(
                        std::string_view(unsent).substr(0, kBytes / kSteps)));
    client.Receive(kBytes / kSteps / 2);
  }
  gateway.Await([&] {
    unsent.erase(0, client.SendSome(unsent));
    return HasWholeResponse(client.Receive(), "200", kBytes) ||
           client.has_read_end();
  });
  CHECK(HasWholeResponse(client.Receive(), "200", kBytes));
}

// Guards against giving up requests that a server has received. All clients
// have kept connections, and their requests need more memory than there is.
TEST_CASE("requests at servers are answered while memory is exhausted") {
  constexpr int kClients = 175;
  constexpr int kClientsPerStep = 10;
  const std::size_t response_bytes = GENERATE(400, 60'000);
  const std::string method = GENERATE("POST", "GET");
  INFO(method << " with responses of " << response_bytes << " bytes");
  OneGateway gateway(
      ConfigurationWith("60s", "60s", "10s"),
      [&](const RawRequest& request) {
        const bool is_probe = RawHeader(request.head, "Request-Id") == "r-1";
        return RawResponse{.bytes = SignedOkResponse(
                               request, std::string(response_bytes, 'x')),
                           .delay = milliseconds(is_probe ? 0 : 1'500)};
      },
      "memory = 64\n");
  std::vector<RawConnection> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(gateway.request_address(0));
  }
  gateway.RunFor(milliseconds(200));
  for (int i = 0; i < kClients; ++i) {
    const bool has_body = method == "POST";
    // The connection may be closed before it has a request.
    clients[static_cast<std::size_t>(i)].Send(
        HeadFor(method, has_body ? "/once/1" : "/safe/1",
                "m-" + std::to_string(i), 10'000) +
        (has_body ? "Content-Length: 400\r\n\r\n" + std::string(400, 'b')
                  : "\r\n"));
    if (i % kClientsPerStep == 0) {
      gateway.RunFor(milliseconds(20));
    }
  }
  const auto is_whole = [&](RawConnection& client) {
    return HasWholeResponse(client.Receive(), "200", response_bytes);
  };
  const auto is_rejected = [](RawConnection& client) {
    const std::string& response = client.Receive();
    return response.starts_with("HTTP/1.1 503") &&
           response.find(R"("outcome":"not_run")") != std::string::npos;
  };
  gateway.Await(
      [&] {
        return std::ranges::all_of(clients, [&](RawConnection& client) {
          return client.HasEnded() || is_rejected(client) || is_whole(client);
        });
      },
      seconds(20));
  std::set<std::string> received;
  for (const RawRequest& request : gateway.server("s-1").requests()) {
    received.insert(RawHeader(request.head, "Request-Id"));
  }
  int answered = 0;
  int rejected = 0;
  int lost = 0;
  int executed_though_rejected = 0;
  for (int i = 0; i < kClients; ++i) {
    RawConnection& client = clients[static_cast<std::size_t>(i)];
    const bool is_at_server = received.contains("m-" + std::to_string(i));
    answered += is_whole(client) ? 1 : 0;
    rejected += is_rejected(client) ? 1 : 0;
    lost += is_at_server && !is_whole(client) ? 1 : 0;
    executed_though_rejected += is_at_server && is_rejected(client) ? 1 : 0;
  }
  INFO(answered << " answered, " << rejected << " rejected, " << lost
                << " received by the server but not answered");
  CHECK(lost == 0);
  CHECK(executed_though_rejected == 0);
  CHECK(answered > 0);
  CHECK(answered < kClients);
  CHECK_FALSE(gateway.process(0).HasEnded());
}

// Guards against giving up uploads that a server is receiving, instead of
// reading less of them, when a crowd of requests exhausts the memory.
TEST_CASE("uploads at servers are completed while memory is exhausted") {
  constexpr int kUploads = 20;
  constexpr int kClients = 175;
  constexpr std::size_t kBodyBytes = 300'000;
  constexpr std::size_t kBytesPerStep = 20'000;
  OneGateway gateway(
      ConfigurationWith("60s", "60s", "20s"),
      [](const RawRequest& request) {
        const bool is_crowd =
            RawHeader(request.head, "Request-Id").starts_with("m-");
        return RawResponse{.bytes = SignedOkResponse(request, "fine"),
                           .delay = milliseconds(is_crowd ? 1'500 : 0)};
      },
      "memory = 64\n");
  std::vector<RawConnection> uploads;
  std::vector<std::string> unsent(kUploads, std::string(kBodyBytes, 'b'));
  const auto send_step = [&] {
    for (std::size_t i = 0; i < uploads.size(); ++i) {
      unsent[i].erase(0, uploads[i].SendSome(std::string_view(unsent[i]).substr(
                             0, kBytesPerStep)));
    }
  };
  for (int i = 0; i < kUploads; ++i) {
    uploads.emplace_back(gateway.request_address(0));
    REQUIRE(uploads.back().Send(
        HeadFor("POST", "/once/1", "u-" + std::to_string(i), 20'000) +
        "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n"));
  }
  // Until more has arrived than is buffered, and all of them are passed on.
  REQUIRE(gateway.Await([&] {
    if (unsent.front().size() > kBodyBytes / 2) {
      send_step();
    }
    return gateway.server("s-1").open_connections() >= kUploads;
  }));
  std::vector<RawConnection> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(gateway.request_address(0));
    clients.back().Send(
        HeadFor("GET", "/safe/1", "m-" + std::to_string(i), 10'000) + "\r\n");
  }
  CHECK(gateway.Await(
      [&] {
        send_step();
        return std::ranges::all_of(uploads, [](RawConnection& upload) {
          return upload.HasEnded() || !upload.Receive().empty();
        });
      },
      seconds(20)));
  CHECK(std::ranges::count_if(uploads, [](RawConnection& upload) {
          return upload.Receive().starts_with("HTTP/1.1 200");
        }) == kUploads);
  CHECK(std::ranges::any_of(clients, [](RawConnection& client) {
    return client.HasEnded() || client.Receive().starts_with("HTTP/1.1 503");
  }));
}

}  // namespace
}  // namespace parsleyquay
