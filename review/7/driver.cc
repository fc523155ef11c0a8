// Case 7: requesters that send further safe requests before the first one has
// been answered, and that read slowly, while their instance gets SIGTERM.

#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "../trial/trial.h"

namespace {

using review::Connection;
using review::Fleet;
using review::milliseconds;
using review::Record;
using review::SleepFor;

constexpr int kGateways = 2;
constexpr int kStoppedGateway = 0;
constexpr int kClientsPerGateway = 12;
constexpr milliseconds kServerWork(250);
constexpr std::size_t kResponseBytes = 30'000;
constexpr int kRouteTimeoutMs = 15'000;
constexpr int kDeadlineMs = 30'000;

constexpr int kRequestsPerClient = 5;
constexpr milliseconds kRequestInterval(100);
// A small window, of which 4 kB are read in 20 ms: 200 kB/s.
constexpr int kReceiveBufferBytes = 4'096;
constexpr std::size_t kReadBytes = 4'096;
constexpr milliseconds kReadInterval(20);
// When the first requests are being processed by the servers.
constexpr milliseconds kSignalDelay(150);

struct Outcome {
  std::string request_id;
  int status = 0;
  std::size_t body_bytes = 0;
  bool is_whole = false;
  bool has_ended = false;  // the connection was closed or reset
};

// Sends requests one after the other without waiting for responses, then reads
// the responses in order. Returns what became of those whose turn came.
std::vector<Outcome> RunClient(Fleet& fleet,
                               Record& record,
                               int gateway,
                               int client) {
  const std::string name =
      "r-" + std::to_string(gateway) + "-" + std::to_string(client) + "-";
  std::vector<Outcome> outcomes;
  auto connection =
      Connection::To(fleet.request_port(gateway), kReceiveBufferBytes);
  if (!connection) {
    return outcomes;
  }
  connection->SetTimeout(milliseconds(kRouteTimeoutMs));
  for (int i = 0; i < kRequestsPerClient; ++i) {
    outcomes.push_back({.request_id = name + std::to_string(i)});
    const std::string& id = outcomes.back().request_id;
    const bool is_sent = connection->Send(
        review::RequestHead("GET", "/case/list", id, kDeadlineMs) + "\r\n");
    record.Write("client sends " + id + (is_sent ? "" : ", refused"));
    SleepFor(kRequestInterval);
  }
  for (Outcome& outcome : outcomes) {
    const auto head = connection->ReadHead();
    if (head) {
      const std::size_t length = std::stoul("0" + head->Get("content-length"));
      const std::string body =
          connection->ReadBody(length, kReadBytes, kReadInterval);
      outcome.status = head->status();
      outcome.body_bytes = body.size();
      outcome.is_whole = body.size() == length;
    }
    outcome.has_ended = connection->has_ended();
    record.Write("client gets for " + outcome.request_id + " " +
                 std::to_string(outcome.status) + " with " +
                 std::to_string(outcome.body_bytes) + " body bytes, " +
                 (outcome.is_whole ? "whole" : "not whole") +
                 ", connection: " + connection->error());
    if (!outcome.is_whole || head->Get("connection") == "close") {
      break;
    }
  }
  return outcomes;
}

}  // namespace

int main() {
  Record record;
  Fleet fleet(kGateways, record);
  for (const char* id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}) {
    fleet.AddServer(id, "work", kServerWork, kResponseBytes);
  }
  if (!fleet.Start(review::MakeConfiguration("safe", kRouteTimeoutMs))) {
    record.Write("the fleet did not start");
    return review::kCouldNotRun;
  }
  std::vector<std::vector<Outcome>> outcomes(kGateways * kClientsPerGateway);
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    clients.emplace_back([&fleet, &record, &outcomes, i] {
      outcomes[i] = RunClient(fleet, record, static_cast<int>(i) % kGateways,
                              static_cast<int>(i) / kGateways);
    });
  }
  SleepFor(kSignalDelay);
  if (review::HasTrouble()) {
    record.Write("SIGTERM to gateway " + std::to_string(kStoppedGateway));
    fleet.process(kStoppedGateway).Signal(SIGTERM);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  // The clients of the other instance show that the fleet serves.
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    const bool is_of_other = static_cast<int>(i) % kGateways != kStoppedGateway;
    if (outcomes[i].empty() || (is_of_other && !outcomes[i].front().is_whole)) {
      record.Write("a client was not served");
      return review::kCouldNotRun;
    }
  }
  int passed_on = 0;
  int losses = 0;
  for (const std::vector<Outcome>& of_client : outcomes) {
    for (const Outcome& outcome : of_client) {
      const bool has_arrived = fleet.RunOf(outcome.request_id).has_arrived;
      passed_on += has_arrived ? 1 : 0;
      losses += has_arrived && !outcome.is_whole && outcome.has_ended ? 1 : 0;
    }
  }
  record.Write(std::to_string(losses) + " of " + std::to_string(passed_on) +
               " requests that were passed on got no complete answer");
  record.Write(losses > 0 ? "LOST is broken" : "LOST held");
  return losses > 0 ? review::kRuleBroken : review::kRuleHeld;
}
