#include "admission/fair_queue.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr TimePoint kNow{seconds(1000)};
constexpr TimePoint kLater = kNow + seconds(10);

TEST_CASE("a small workspace passes the queue of a large one") {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    queue = Enqueue(std::move(queue), {id, "large", 1, kLater});
  }
  queue = Enqueue(std::move(queue), {100, "small", 1, kLater});
  DequeueResult first = Dequeue(std::move(queue), Duration(0), kNow);
  DequeueResult second = Dequeue(std::move(first.queue), Duration(0), kNow);
  CHECK((first.request->id == 100 || second.request->id == 100));
}

TEST_CASE("service follows the shares") {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    queue = Enqueue(std::move(queue), {id, "a", 3, kLater});
    queue = Enqueue(std::move(queue), {100 + id, "b", 1, kLater});
  }
  int of_a = 0;
  for (int i = 0; i < 40; ++i) {
    DequeueResult next = Dequeue(std::move(queue), Duration(0), kNow);
    of_a += next.request->workspace == "a" ? 1 : 0;
    queue = std::move(next.queue);
  }
  CHECK(of_a >= 29);
  CHECK(of_a <= 31);
}

TEST_CASE("what cannot meet its deadline is given back, not served") {
  FairQueue queue = Enqueue({}, {1, "a", 1, kNow + milliseconds(5)});
  queue = Enqueue(std::move(queue), {2, "a", 1, kLater});
  const DequeueResult next = Dequeue(std::move(queue), milliseconds(10), kNow);
  CHECK(next.expired == std::vector<std::uint64_t>{1});
  CHECK(next.request->id == 2);
}

TEST_CASE("a removed request is not served") {
  FairQueue queue = Enqueue({}, {1, "a", 1, kLater});
  queue = Remove(std::move(queue), 1);
  CHECK(queue == FairQueue{});
  CHECK_FALSE(Dequeue(queue, Duration(0), kNow).request);
}

}  // namespace
}  // namespace parsleyquay
