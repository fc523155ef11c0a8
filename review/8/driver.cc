// Case 8: one of two instances of the smallest class is killed, and its
// requesters move to the other one. All requesters then send one request at the
// same time.

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../trial/trial.h"

namespace {

using review::Clock;
using review::Connection;
using review::Fleet;
using review::milliseconds;
using review::Record;
using review::SleepFor;

constexpr int kClients = 450;
constexpr int kRemainingGateway = 0;
constexpr int kKilledGateway = 1;
constexpr int kGateways = 2;
// Their slots are more than the requesters; what exceeds a server's slots waits
// in its queue.
constexpr int kServers = 90;
constexpr milliseconds kServerWork(1'600);
constexpr std::size_t kRequestBytes = 400;
constexpr std::size_t kResponseBytes = 400;
constexpr int kRouteTimeoutMs = 6'000;
constexpr int kDeadlineMs = 12'000;

// Times after the start: of the first requests, of the kill, of the first
// requests on new connections, and of the requests that are judged.
constexpr milliseconds kFirstSpread(4'000);
constexpr milliseconds kKillTime(7'000);
constexpr milliseconds kMoveTime(8'000);
constexpr milliseconds kMoveSpread(4'000);
constexpr milliseconds kBurstTime(16'000);
constexpr milliseconds kBurstSpread(500);

// More than this many such requests of one machine break the rule.
constexpr int kPermittedLosses = 3;

struct Outcome {
  std::string request_id;
  int gateway = 0;
  bool has_connection = false;
  int status = 0;          // of the response, 0 if there was none
  bool has_ended = false;  // the connection was closed or reset
  milliseconds duration = milliseconds(0);
};

// Sends a request and reads the response. Returns the status, 0 if the response
// is missing or incomplete.
int Exchange(Connection& connection,
             Record& record,
             const std::string& request_id) {
  record.Write("client sends " + request_id);
  connection.Send(
      review::RequestHead("POST", "/case/grant", request_id, kDeadlineMs) +
      "Content-Length: " + std::to_string(kRequestBytes) + "\r\n\r\n" +
      std::string(kRequestBytes, 'x'));
  const auto head = connection.ReadHead();
  if (!head) {
    return 0;
  }
  const std::size_t length = std::stoul("0" + head->Get("content-length"));
  return connection.ReadBody(length).size() == length ? head->status() : 0;
}

// Connects to a gateway and has a request served there.
std::unique_ptr<Connection> Connect(Fleet& fleet,
                                    Record& record,
                                    int gateway,
                                    const std::string& request_id) {
  auto connection = Connection::To(fleet.request_port(gateway));
  if (!connection) {
    return nullptr;
  }
  connection->SetTimeout(milliseconds(kDeadlineMs));
  auto kept = std::make_unique<Connection>(std::move(*connection));
  const int status = Exchange(*kept, record, request_id);
  record.Write("client gets " + std::to_string(status) + " for " + request_id);
  return status == 200 ? std::move(kept) : nullptr;
}

Outcome RunClient(Fleet& fleet,
                  Record& record,
                  int client,
                  Clock::time_point start) {
  const std::string name = "r-" + std::to_string(client);
  const double turn = static_cast<double>(client) / kClients;
  const auto wait_for = [&](milliseconds time, milliseconds spread) {
    std::this_thread::sleep_until(
        start + time + std::chrono::duration_cast<milliseconds>(spread * turn));
  };
  Outcome outcome{.request_id = name + "-burst", .gateway = client % kGateways};
  wait_for(milliseconds(0), kFirstSpread);
  auto connection = Connect(fleet, record, outcome.gateway, name + "-first");
  if (review::HasTrouble() && outcome.gateway == kKilledGateway) {
    wait_for(kMoveTime, kMoveSpread);
    outcome.gateway = kRemainingGateway;
    connection = Connect(fleet, record, outcome.gateway, name + "-moved");
  }
  if (!connection) {
    record.Write("client " + name + " has no connection");
    return outcome;
  }
  wait_for(kBurstTime, kBurstSpread);
  outcome.has_connection = true;
  const auto begin = Clock::now();
  outcome.status = Exchange(*connection, record, outcome.request_id);
  outcome.has_ended = connection->has_ended();
  outcome.duration =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  record.Write("client gets " + std::to_string(outcome.status) + " for " +
               outcome.request_id + ", connection: " + connection->error());
  return outcome;
}

}  // namespace

int main() {
  Record record;
  Fleet fleet(kGateways, record,
              {{"limits.cpu_share", "0.07"},
               {"limits.link_mbps", "10"},
               {"limits.memory_mb", "112"},
               {"limits.max_fds", "2870"}});
  for (int i = 0; i < kServers; ++i) {
    fleet.AddServer("i-" + std::to_string(i), "work", kServerWork,
                    kResponseBytes);
  }
  if (!fleet.Start(review::MakeConfiguration("unsafe", kRouteTimeoutMs))) {
    record.Write("the fleet did not start");
    return review::kCouldNotRun;
  }
  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  const auto start = Clock::now();
  for (int client = 0; client < kClients; ++client) {
    Outcome& outcome = outcomes[static_cast<std::size_t>(client)];
    clients.emplace_back([&fleet, &record, &outcome, client, start] {
      outcome = RunClient(fleet, record, client, start);
    });
  }
  std::this_thread::sleep_until(start + kKillTime);
  if (review::HasTrouble()) {
    record.Write("SIGKILL to gateway " + std::to_string(kKilledGateway));
    fleet.process(kKilledGateway).Signal(SIGKILL);
  }
  std::this_thread::sleep_until(start + kBurstTime + milliseconds(1'500));
  record.Write("memory of gateway " + std::to_string(kRemainingGateway) + ": " +
               std::to_string(fleet.process(kRemainingGateway).MemoryKb()) +
               " kB of 112000 kB");
  for (std::thread& client : clients) {
    client.join();
  }
  if (!std::ranges::all_of(outcomes, &Outcome::has_connection)) {
    record.Write("a client had no request served before");
    return review::kCouldNotRun;
  }
  bool is_broken = false;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    int sent = 0;
    int losses = 0;
    int run_losses = 0;
    for (const Outcome& outcome : outcomes) {
      if (outcome.gateway != gateway) {
        continue;
      }
      const review::ServerRun run = fleet.RunOf(outcome.request_id);
      const bool is_lost = outcome.status == 0 && outcome.has_ended &&
                           outcome.duration < milliseconds(kRouteTimeoutMs) &&
                           run.has_arrived;
      ++sent;
      losses += is_lost ? 1 : 0;
      run_losses += is_lost && run.has_begun ? 1 : 0;
    }
    record.Write("gateway " + std::to_string(gateway) + ": " +
                 std::to_string(losses) + " of " + std::to_string(sent) +
                 " requests were passed on and got no answer, " +
                 std::to_string(run_losses) + " of them have run");
    is_broken = is_broken || losses > kPermittedLosses;
  }
  record.Write(is_broken ? "LOST is broken" : "LOST held");
  return is_broken ? review::kRuleBroken : review::kRuleHeld;
}
