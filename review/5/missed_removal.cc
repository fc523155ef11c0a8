// Each instance in turn is killed and restarted, as the platform does, and a
// target leaves meanwhile. The instances that were not killed have to stop
// sending to that target in time.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <vector>

#include "../fleet.h"

namespace {

using review::Clock;
using review::Connection;
using review::Message;
using review::milliseconds;

constexpr int kInstances = 3;
constexpr int kTargets = 6;

// The rule's bound, from the acknowledgement of a target's leaving.
constexpr milliseconds kDrain(2'000);

// A target whose entry is removed goes on serving for this long, then ends.
constexpr milliseconds kServesOn(8'000);

// From the kill to the target's leaving, and to the restart.
constexpr milliseconds kLeavesAfter(100);
constexpr milliseconds kRestartsAfter(500);

// Until the fleet is in a steady state again.
constexpr milliseconds kPause(10'500);

constexpr milliseconds kWorkTime(200);
constexpr int kClientsPerInstance = 3;
constexpr milliseconds kRequestInterval(100);

constexpr char kService[] = "registry";

// One request that a target has read.
struct Arrival {
  int target = 0;
  int instance = 0;
  Clock::time_point at;
};

// Requests are named INSTANCE-CLIENT-NUMBER.
int InstanceOf(const std::string& request_id) {
  return std::stoi(request_id);
}

struct Arrivals {
  std::mutex mutex;
  std::vector<Arrival> list;
  std::array<int, kTargets> running = {};  // requests at each target
};

// Changes the number of requests that a target runs, and returns it.
int AddRunning(Arrivals& arrivals, int target, int change) {
  const std::scoped_lock lock(arrivals.mutex);
  return arrivals.running.at(static_cast<std::size_t>(target)) += change;
}

void Serve(Connection& connection,
           int target,
           review::Record& record,
           Arrivals& arrivals) {
  while (true) {
    const Message request = connection.ReadMessage();
    if (!request.is_complete) {
      return;
    }
    const std::string name = "i-" + std::to_string(target);
    if (review::AnswerLivenessCheck(connection, request, name)) {
      continue;
    }
    const std::string id = request.Header("request-id");
    {
      const std::scoped_lock lock(arrivals.mutex);
      arrivals.list.push_back({target, InstanceOf(id), Clock::now()});
    }
    record.Write(name + " runs " + id);
    const int running = AddRunning(arrivals, target, 1);
    const bool is_closed = connection.WaitForClose(kWorkTime);
    AddRunning(arrivals, target, -1);
    if (is_closed) {
      return;
    }
    connection.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                    "\r\nResponse-Signature: 3e1b." + id +
                    "\r\nServer-Load: " + std::to_string(running) +
                    ",0,3\r\nContent-Length: 2\r\n\r\nok");
  }
}

// The clients of all instances, which send until they are told to stop.
class Clients {
 public:
  Clients(review::Fleet& fleet, review::Record& record) : record(record) {
    for (int instance = 0; instance < kInstances; ++instance) {
      const std::string address =
          fleet.instance(static_cast<std::size_t>(instance)).request_address;
      for (int client = 0; client < kClientsPerInstance; ++client) {
        this->threads.emplace_back([this, instance, client, address] {
          this->Send(std::to_string(instance) + "-" + std::to_string(client),
                     address);
        });
      }
    }
  }
  ~Clients() { this->Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Stop() {
    this->is_stopping = true;
    this->threads.clear();
  }

  // Returns the number of answers by status; 0 stands for none.
  std::map<int, int> Answers() {
    const std::scoped_lock lock(this->mutex);
    return this->answers;
  }

 private:
  void Send(const std::string& name, const std::string& address) {
    for (int number = 0; !this->is_stopping; ++number) {
      const std::string id = name + "-" + std::to_string(number);
      this->record.Write("client sends " + id);
      const Message response = review::Fetch(
          address, "POST /transfer/" + id +
                       " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                       "\r\nRequest-Deadline: 1500\r\nContent-Length: 4\r\n"
                       "\r\nbody");
      this->record.Write(id + " got " + std::to_string(response.Status()));
      {
        const std::scoped_lock lock(this->mutex);
        ++this->answers[response.Status()];
      }
      std::this_thread::sleep_for(kRequestInterval);
    }
  }

  review::Record& record;
  std::atomic<bool> is_stopping = false;
  std::mutex mutex;
  std::map<int, int> answers;
  std::vector<std::jthread> threads;
};

std::string Describe(const std::map<int, int>& answers) {
  std::string text;
  for (const auto& [status, count] : answers) {
    text += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  return text;
}

// Counts the requests that reached the target too late after it had left, from
// instances other than the one that was killed.
int CountLate(Arrivals& arrivals,
              int target,
              int killed_instance,
              Clock::time_point left_at,
              review::Record& record) {
  const std::scoped_lock lock(arrivals.mutex);
  int late = 0;
  milliseconds latest(0);
  for (const Arrival& arrival : arrivals.list) {
    const auto after =
        std::chrono::duration_cast<milliseconds>(arrival.at - left_at);
    const bool counts = arrival.target == target && after > kDrain &&
                        arrival.instance != killed_instance;
    if (counts) {
      ++late;
      latest = std::max(latest, after);
    }
  }
  record.Write("target i-" + std::to_string(target) + " got " +
               std::to_string(late) + " requests later than " +
               std::to_string(kDrain.count()) +
               " ms after it had left, the last one after " +
               std::to_string(latest.count()) + " ms");
  return late;
}

int Run(review::Fleet& fleet, review::Record& record) {
  Arrivals arrivals;
  std::vector<std::unique_ptr<review::TcpServer>> targets;
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<review::TcpServer>(
        [&arrivals, &record, i](Connection& connection) {
          Serve(connection, i, record, arrivals);
        }));
  }
  fleet.Configure(
      1, {review::RouteResource("transfer", "unsafe", kService),
          review::ServiceResource(kService), review::LimitsResource()});
  for (int i = 0; i < kTargets; ++i) {
    fleet.ListServer("i-" + std::to_string(i), kService,
                     targets[static_cast<std::size_t>(i)]->address());
  }
  if (!fleet.StartInstances(kInstances)) {
    record.Write("cannot run: the instances are not ready");
    return review::kCannotRun;
  }
  std::this_thread::sleep_for(milliseconds(4'000));
  Clients clients(fleet, record);
  std::this_thread::sleep_for(milliseconds(2'000));

  int late = 0;
  for (int round = 0; round < kInstances; ++round) {
    const auto index = static_cast<std::size_t>(round);
    const auto began_at = Clock::now();
    if (review::HasTrouble()) {
      record.Write("SIGKILL to " + fleet.instance(index).name);
      fleet.instance(index).process->Signal(SIGKILL);
    }
    std::this_thread::sleep_until(began_at + kLeavesAfter);
    fleet.RemoveServer("i-" + std::to_string(round));
    const auto left_at = Clock::now();
    record.Write("the store has acknowledged that i-" + std::to_string(round) +
                 " is gone");
    std::this_thread::sleep_until(began_at + kRestartsAfter);
    if (review::HasTrouble()) {
      fleet.RestartInstance(index);
      record.Write(fleet.instance(index).name + " is started again");
    }
    std::this_thread::sleep_until(left_at + kServesOn);
    targets[index].reset();
    record.Write("target i-" + std::to_string(round) +
                 " has ended; answers:" + Describe(clients.Answers()));
    late += CountLate(arrivals, round, review::HasTrouble() ? round : -1,
                      left_at, record);
    std::this_thread::sleep_until(left_at + kPause);
  }
  clients.Stop();
  const auto answers = clients.Answers();
  record.Write("answers in all:" + Describe(answers) + "; " +
               std::to_string(late) + " requests reached a target too late");
  if (late > 0) {
    return review::kRuleBroken;
  }
  const bool is_served = answers.contains(200) && answers.at(200) > 100;
  return is_served ? review::kRuleHeld : review::kCannotRun;
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, &Run);
}
