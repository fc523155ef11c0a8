// Guards against instances that the store serves but that do not know of a
// change in time, and against calls of the store that grow with the fleet, when
// those that read for a failure domain are turned away, frozen or not heard, in
// random schedules of these faults.

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "gateway/list_age_limit.h"

namespace parsleyquay {
namespace {

constexpr Duration kStep = milliseconds(1);
constexpr Duration kReadInterval = milliseconds(820);  // of the aggregator
constexpr Duration kDigestInterval = milliseconds(500);
constexpr Duration kReadTimeout = milliseconds(400);
constexpr Duration kFirstRetryDelay = milliseconds(150);
constexpr Duration kMaxRetryDelay = milliseconds(900);

// A change must be in force after 2 s. The rest is for its transfer.
constexpr Duration kMaxAge = milliseconds(1'800);

// The two feeds are read independently, so this is for one of them. Two readers
// a second suffice unless one of them is not heard by the others.
constexpr double kMostCallsPerSecond = 4;

constexpr Duration kFault = seconds(12);
constexpr Duration kSettled = seconds(3);

enum class StoreFault { kNone, kRejects, kSilent };

struct Member {
  StoreFault store = StoreFault::kNone;
  bool is_frozen = false;
  bool is_muted = false;  // nothing that it sends arrives
  TimePoint known_at;
  std::optional<TimePoint> read_for_others_at;
  // Of the read in progress.
  std::optional<TimePoint> read_sent_at;
  TimePoint read_ends_at;
  bool was_old = false;  // whether the read is one for the others
  int failures = 0;
  TimePoint next_read_at;  // of the aggregator, and of a retry
};

// One failure domain. The first member is its aggregator, the second one the
// standby. The decisions are the real ones; store, messages and clock are not.
class Domain {
 public:
  Domain(int size, unsigned seed) : random(seed) {
    this->members.resize(static_cast<std::size_t>(size));
    for (Member& member : this->members) {
      member.known_at = this->now;
    }
  }

  void Run() {
    this->RunFor(seconds(2));
    this->InjectFaults();
    this->RunFor(kSettled);
    this->is_judged = true;
    this->RunFor(kFault);
  }

  Duration max_age = Duration(0);  // of members that are served and run
  int calls = 0;                   // of members that are served

 private:
  struct Message {
    TimePoint at;
    std::size_t sender = 0;
    std::size_t receiver = 0;
    TimePoint known_at;
    bool operator<(const Message& other) const { return this->at > other.at; }
  };

  int Draw(int limit) {
    return static_cast<int>(this->random() % static_cast<unsigned>(limit));
  }

  // A third of the members is turned away. Those that read for the others are
  // turned away, frozen or not heard.
  void InjectFaults() {
    const std::size_t away = this->members.size() / 3;
    // Of those that are turned away.
    const auto first = static_cast<std::size_t>(this->Draw(3));
    const auto fault =
        this->Draw(2) == 0 ? StoreFault::kRejects : StoreFault::kSilent;
    for (std::size_t i = first; i < first + away; ++i) {
      this->members[i].store = fault;
    }
    for (std::size_t i = 0; i < first; ++i) {
      Member& reader = this->members[i];
      (this->Draw(2) == 0 ? reader.is_frozen : reader.is_muted) = true;
    }
    if (this->Draw(2) == 0) {
      this->members[first + away].is_muted = true;
    }
  }

  void RunFor(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kStep;
      while (!this->messages.empty() && this->messages.top().at <= this->now) {
        this->Receive(this->messages.top());
        this->messages.pop();
      }
      for (std::size_t i = 0; i < this->members.size(); ++i) {
        if (!this->members[i].is_frozen) {
          this->Update(i);
        }
      }
    }
  }

  void Receive(const Message& message) {
    Member& receiver = this->members[message.receiver];
    if (receiver.is_frozen) {
      return;
    }
    receiver.known_at = std::max(receiver.known_at, message.known_at);
    if (message.sender > 0 && message.sender < message.receiver) {
      receiver.read_for_others_at.reset();
    }
  }

  void Update(std::size_t index) {
    Member& member = this->members[index];
    if (member.read_sent_at && this->now >= member.read_ends_at) {
      this->EndRead(index);
    }
    const bool is_aggregator = index == 0;
    if (is_aggregator && this->now - this->digest_sent_at >= kDigestInterval) {
      this->Send(index);
    }
    if (!member.read_sent_at) {
      const ListReadOrder order =
          AfterReadForOthers({.is_first = index == 1, .rank = index},
                             member.read_for_others_at, this->now);
      const bool is_old = this->now - member.known_at >= ListAgeLimit(order);
      const bool is_due = this->now >= member.next_read_at;
      if (member.failures > 0 ? is_due : is_old || (is_aggregator && is_due)) {
        member.was_old = !is_aggregator;
        this->BeginRead(member);
      }
    }
    if (this->is_judged && member.store == StoreFault::kNone) {
      this->max_age = std::max(this->max_age, this->now - member.known_at);
    }
  }

  void BeginRead(Member& member) {
    member.read_sent_at = this->now;
    member.read_ends_at = this->now + (member.store == StoreFault::kSilent
                                           ? kReadTimeout
                                           : milliseconds(4 + this->Draw(12)));
    if (this->is_judged && member.store == StoreFault::kNone) {
      ++this->calls;
    }
  }

  void EndRead(std::size_t index) {
    Member& member = this->members[index];
    const TimePoint sent_at = *member.read_sent_at;
    member.read_sent_at.reset();
    if (member.store != StoreFault::kNone) {
      const Duration delay =
          kFirstRetryDelay * (1 << std::min(3, member.failures));
      member.next_read_at = this->now + std::min(delay, kMaxRetryDelay);
      ++member.failures;
      return;
    }
    member.failures = 0;
    member.next_read_at = this->now + kReadInterval;
    member.known_at = std::max(member.known_at, sent_at);
    if (member.was_old) {
      member.read_for_others_at = this->now;
    }
    this->Send(index);
  }

  void Send(std::size_t index) {
    if (index == 0) {
      this->digest_sent_at = this->now;
    }
    if (this->members[index].is_muted) {
      return;
    }
    for (std::size_t i = 0; i < this->members.size(); ++i) {
      this->messages.push({this->now + milliseconds(1 + this->Draw(4)), index,
                           i, this->members[index].known_at});
    }
  }

  std::mt19937 random;
  TimePoint now = TimePoint(seconds(1'000));
  TimePoint digest_sent_at;
  std::vector<Member> members;
  std::priority_queue<Message> messages;
  bool is_judged = false;
};

TEST_CASE("served members know the end of a feed, with few calls") {
  constexpr unsigned kSeeds = 40;
  for (const int size : {6, 9, 36, 107}) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      Domain domain(size, seed);
      domain.Run();
      CAPTURE(size, seed);
      CHECK(ToMilliseconds(domain.max_age) < ToMilliseconds(kMaxAge));
      CHECK(domain.calls / ToSeconds(kFault) <= kMostCallsPerSecond);
    }
  }
}

}  // namespace
}  // namespace parsleyquay
