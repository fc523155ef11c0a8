// A finding, no case: a failure domain is emptied and taken back, and its
// server has become cold shortly before the end of that.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "harness.h"

namespace {

using review::Clock;
using review::Milliseconds;

// Two failure domains with eight instances each, and one server in each.
constexpr int kInstancesPerDomain = 8;
constexpr char kHome[] = "ham-a";
constexpr char kOther[] = "akl-a";

// Requests per second at each instance: 48 at those of one failure domain.
constexpr Milliseconds kRequestInterval(167);
constexpr Milliseconds kTimeout(1'500);

// `cold_start`, the length of the evacuation, and from the cold listing to the
// end of the evacuation.
constexpr Milliseconds kColdStart(3'000);
constexpr Milliseconds kEvacuated(8'000);
constexpr Milliseconds kColdBefore(300);

// `cold_per_s` x `cold_overshoot` + `cold_slack`
constexpr double kBound = 7.3 * 1.5 + 5;

constexpr int kRounds = 7;
constexpr Milliseconds kSettle(4'000);
constexpr Milliseconds kHeartbeat(1'500);

struct Sent {
  std::string id;
  Clock::time_point at;
};

class Requester {
 public:
  Requester(int port, int number)
      : thread([this, port, number] { this->Run(port, number); }) {}
  ~Requester() {
    this->is_stopping = true;
    this->thread.join();
  }
  Requester(const Requester&) = delete;
  Requester& operator=(const Requester&) = delete;

  std::vector<Sent> Requests() {
    const std::scoped_lock lock(this->mutex);
    return this->requests;
  }

 private:
  void Run(int port, int number) {
    const auto began_at = Clock::now() + Milliseconds(10) * number;
    for (int i = 0; !this->is_stopping; ++i) {
      std::this_thread::sleep_until(began_at + kRequestInterval * i);
      const std::string id =
          "q-" + std::to_string(number) + "-" + std::to_string(i);
      {
        const std::scoped_lock lock(this->mutex);
        this->requests.push_back({id, Clock::now()});
      }
      review::Exchange(port,
                       "GET /p/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
                           id + "\r\nRequest-Deadline: 1500\r\n\r\n",
                       kTimeout, kTimeout);
    }
  }

  std::mutex mutex;
  std::vector<Sent> requests;
  std::atomic<bool> is_stopping = false;
  std::thread thread;
};

struct Cold {
  Clock::time_point from;
  Clock::time_point until;
};

// Returns the largest number of requests that were sent by requesters and
// arrived at the server within one second of a cold time.
int LargestSecond(
    const std::vector<std::pair<Clock::time_point, Clock::time_point>>& passed,
    const Cold& cold) {
  int largest = 0;
  for (const auto& first : passed) {
    const Clock::time_point begin = first.first;
    if (begin < cold.from) {
      continue;
    }
    const auto end = std::min(begin + std::chrono::seconds(1), cold.until);
    largest = std::max(
        largest,
        static_cast<int>(std::ranges::count_if(passed, [&](const auto& one) {
          return one.first >= begin && one.second < end;
        })));
  }
  return largest;
}

int Run() {
  review::Record record("target/review-3/finding-failback.txt");
  review::Backend home("i-home", Milliseconds(5));
  review::Backend other("i-other", Milliseconds(5));
  std::vector<std::string> domains;
  for (int i = 0; i < 2 * kInstancesPerDomain; ++i) {
    domains.push_back(i % 2 == 0 ? kHome : kOther);
  }
  review::Fleet fleet({.failure_domains = domains});
  auto cold_until = Clock::now();
  auto next_heartbeat = Clock::now();
  const auto list_home = [&] {
    const auto left = std::chrono::duration_cast<Milliseconds>(
        std::max(cold_until, Clock::now()) - Clock::now());
    return fleet.ListServer(home, "work", kHome,
                            std::to_string(left.count()) + "ms");
  };
  bool is_home_listed = true;
  const auto wait = [&](Milliseconds time) {
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
      if (Clock::now() >= next_heartbeat) {
        next_heartbeat = Clock::now() + kHeartbeat;
        fleet.ListServer(other, "work", kOther, "0ms");
        if (is_home_listed) {
          list_home();
        }
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
  };
  if (!fleet.Start(review::ConfigurationJson(
          1, {review::RouteJson("p", "safe", "work", true),
              review::ServiceJson("work"), review::LimitsJson()}))) {
    record.Line("the fleet did not start");
    return review::kCouldNotRun;
  }
  wait(kSettle);
  std::vector<std::unique_ptr<Requester>> requesters;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    requesters.push_back(std::make_unique<Requester>(fleet.ports(i).requests,
                                                     static_cast<int>(i)));
  }
  wait(kSettle);
  const std::string evacuation = std::string("evacuate/") + kHome;
  std::vector<Cold> cold_times;
  for (int round = 0; round < kRounds; ++round) {
    if (review::WantsDisruption()) {
      fleet.Put("keyed.op", evacuation, "{}");
      record.Line("the evacuation is acknowledged");
    } else {
      is_home_listed = false;
      fleet.Drop("keyed.servers", home.name());
      record.Line("the server has left");
    }
    wait(kEvacuated);
    cold_until = Clock::now() + kColdStart;
    home.StayColdUntil(cold_until);
    cold_times.push_back({Clock::now(), cold_until});
    is_home_listed = true;
    list_home();
    record.Line("the listing of the server as cold is acknowledged");
    if (review::WantsDisruption()) {
      wait(kColdBefore);
      fleet.Drop("keyed.op", evacuation);
      record.Line("the end of the evacuation is acknowledged");
    }
    wait(kColdStart + std::chrono::seconds(1));
  }
  std::map<std::string, Clock::time_point> sent_at;
  for (const auto& requester : requesters) {
    for (const Sent& sent : requester->Requests()) {
      sent_at[sent.id] = sent.at;
    }
  }
  requesters.clear();
  std::vector<std::pair<Clock::time_point, Clock::time_point>> passed;
  const auto seconds = [&](Clock::time_point time) {
    return std::to_string(
        record.Seconds() -
        std::chrono::duration<double>(Clock::now() - time).count());
  };
  for (const review::Arrival& arrival : home.Arrivals()) {
    const auto sent = sent_at.find(arrival.headers.at("request-id"));
    if (sent != sent_at.end()) {
      passed.emplace_back(sent->second, arrival.at);
    }
  }
  std::ranges::sort(passed);
  int broken = 0;
  std::string largest;
  for (const Cold& cold : cold_times) {
    const int count = LargestSecond(passed, cold);
    largest += " " + std::to_string(count);
    broken += count > kBound ? 1 : 0;
    for (const auto& [sent, arrived] : passed) {
      if (arrived >= cold.from && arrived < cold.until) {
        record.Line("a request reached the cold server: sent " + seconds(sent) +
                    " arrived " + seconds(arrived));
      }
    }
  }
  const std::string result =
      "rounds broken: " + std::to_string(broken) + " of " +
      std::to_string(kRounds) +
      ", the most requests in one second (bound 15.95):" + largest;
  record.Line(result);
  std::cout << result << '\n';
  return broken > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main() {
  return Run();
}
