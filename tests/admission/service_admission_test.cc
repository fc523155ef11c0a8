#include "admission/service_admission.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr TimePoint kNow{seconds(1'000)};
constexpr RetrySupply kSupply = {.is_available = true, .per_second = 2};

AdmissionRequest MakeRequest(std::uint64_t id, int priority) {
  return {.id = id,
          .workspace = "a",
          .priority = priority,
          .started_at = kNow,
          .latency_target = milliseconds(800),
          .deadline = kNow + milliseconds(1'500)};
}

// A service of ten slots at which `load` requests are.
ServiceCapacity MakeCapacity(double load) {
  return {.slots = 10,
          .load = load,
          .completions_per_second = 100,
          .service_time = milliseconds(100)};
}

ServiceAdmission Overloaded(double load = 24) {
  ServiceAdmission state;
  state.refilled_at = kNow;
  REQUIRE(UpdateCapacity(state, MakeCapacity(load), kNow));
  return state;
}

AdmissionVerdict Arrive(ServiceAdmission& state,
                        const AdmissionRequest& request,
                        const RetrySupply& supply = kSupply) {
  const AdmissionVerdict verdict =
      DecideOnArrival(state, request, supply, kNow).verdict;
  if (verdict == AdmissionVerdict::kWait) {
    AddRequest(state.queue, request);
  }
  return verdict;
}

TEST_CASE("requests wait only while the service is overloaded") {
  ServiceAdmission state;
  CHECK_FALSE(UpdateCapacity(state, MakeCapacity(12), kNow));
  for (std::uint64_t id = 1; id <= 100; ++id) {
    CHECK(Arrive(state, MakeRequest(id, 2)) == AdmissionVerdict::kSend);
  }
  state = Overloaded();
  CHECK(Arrive(state, MakeRequest(1, 0)) == AdmissionVerdict::kSend);
  CHECK(Arrive(state, MakeRequest(2, 0)) == AdmissionVerdict::kWait);
}

TEST_CASE("the highest priority is sent first") {
  ServiceAdmission state = Overloaded();
  Arrive(state, MakeRequest(1, 0));
  REQUIRE(Arrive(state, MakeRequest(2, 2)) == AdmissionVerdict::kWait);
  REQUIRE(Arrive(state, MakeRequest(3, 1)) == AdmissionVerdict::kWait);
  REQUIRE(Arrive(state, MakeRequest(4, 0)) == AdmissionVerdict::kWait);
  const TimePoint later = kNow + milliseconds(100);
  CHECK(TakeSendable(state, kSupply, later)->id == 4);
  CHECK(TakeSendable(state, kSupply, later)->id == 3);
  CHECK(TakeSendable(state, kSupply, later)->id == 2);
  CHECK_FALSE(TakeSendable(state, kSupply, later));
}

// Guards against a low priority that goes on sending while the higher ones
// alone use the whole capacity.
TEST_CASE("a priority is rejected if higher ones use the capacity") {
  ServiceAdmission state = Overloaded();
  for (std::uint64_t id = 1; id <= 400; ++id) {
    Arrive(state, MakeRequest(id, 0));
  }
  CHECK(Arrive(state, MakeRequest(500, 2)) == AdmissionVerdict::kReject);
  CHECK(state.queue.classes.size() == 1);
}

// Guards against requests that are held although too many are before them.
TEST_CASE("a request that would wait too long is rejected on arrival") {
  ServiceAdmission state = Overloaded();
  // The service serves about 106 requests per second, in 240 ms each. In a
  // short overload requests may be late, otherwise they have to be in time.
  const bool is_short = GENERATE(true, false);
  if (!is_short) {
    state.flows[0].arrivals = {.per_second = 200, .updated_at = kNow};
  }
  std::uint64_t id = 0;
  while (Arrive(state, MakeRequest(++id, 0)) != AdmissionVerdict::kReject) {
    REQUIRE(id < 200);
  }
  CHECK(id > (is_short ? 80 : 25));
  CHECK(id < (is_short ? 140 : 60));
  CHECK(DecideOnArrival(state, MakeRequest(++id, 0), kSupply, kNow).excess >
        Duration(0));
}

TEST_CASE("a waiting request is given up early, or when its deadline nears") {
  ServiceAdmission state = Overloaded();
  for (std::uint64_t id = 1; id <= 20; ++id) {
    Arrive(state, MakeRequest(id, 0));
  }
  CHECK(TakeHopeless(state, kSupply, kNow).empty());
  ServiceCapacity reduced = MakeCapacity(24);
  reduced.instance_share = 0.01;
  UpdateCapacity(state, reduced, kNow);
  SECTION("while a rejection is cheap") {
    CHECK(TakeHopeless(state, kSupply, kNow + milliseconds(50)).size() > 15);
  }
  SECTION("at the deadline") {
    CHECK(TakeHopeless(state, kSupply, kNow + milliseconds(1'450)).size() ==
          static_cast<std::size_t>(19));
    CHECK(state.queue.requests.empty());
  }
}

TEST_CASE("no request is sent while all servers asked for a pause") {
  ServiceAdmission state;
  ServiceCapacity paused{.pause_left = milliseconds(200)};
  REQUIRE(UpdateCapacity(state, paused, kNow));
  REQUIRE(Arrive(state, MakeRequest(1, 0)) == AdmissionVerdict::kWait);
  CHECK_FALSE(TakeSendable(state, kSupply, kNow + milliseconds(100)));
  paused.pause_left = seconds(2);
  UpdateCapacity(state, paused, kNow);
  CHECK(Arrive(state, MakeRequest(2, 0)) == AdmissionVerdict::kReject);
  UpdateCapacity(state, MakeCapacity(5), kNow);
  CHECK(TakeSendable(state, kSupply, kNow)->id == 1);
}

TEST_CASE("a shed request waits for the retry budget") {
  ServiceAdmission state;
  UpdateCapacity(state, MakeCapacity(5), kNow);
  AdmissionRequest shed = MakeRequest(1, 1);
  shed.is_retry = true;
  CHECK(Arrive(state, shed) == AdmissionVerdict::kSend);
  const RetrySupply spent = {.is_available = false, .per_second = 5};
  REQUIRE(Arrive(state, shed, spent) == AdmissionVerdict::kWait);
  CHECK_FALSE(TakeSendable(state, spent, kNow));
  CHECK(TakeSendable(state, kSupply, kNow)->id == 1);
  const RetrySupply exhausted = {.is_available = false, .per_second = 0.1};
  CHECK(Arrive(state, shed, exhausted) == AdmissionVerdict::kReject);
}

// Guards against a full queue of low priority that keeps out a higher one.
TEST_CASE("the last request of the lowest priority gives way") {
  AdmissionQueue queue;
  AddRequest(queue, MakeRequest(1, 1));
  AddRequest(queue, MakeRequest(2, 2));
  AddRequest(queue, MakeRequest(3, 2));
  CHECK(FindEvictable(queue, 0) == 3);
  CHECK_FALSE(FindEvictable(queue, 2));
  CHECK(RemoveRequest(queue, 3));
  CHECK(RemoveRequest(queue, 2));
  CHECK_FALSE(RemoveRequest(queue, 2));
  CHECK(FindEvictable(queue, 0) == 1);
}

TEST_CASE("Retry-After is within the time that the client waits") {
  for (const std::uint64_t random : {std::uint64_t{0}, ~std::uint64_t{0}}) {
    CHECK(RetryAfterOf(seconds(5), milliseconds(1'500), random) * 1.5 <=
          milliseconds(500));
    CHECK(RetryAfterOf(milliseconds(1), seconds(9), random) <= seconds(2));
  }
}

}  // namespace
}  // namespace parsleyquay
