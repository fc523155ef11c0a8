// Promises that hold while instances fail, are cut off, or leave.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <set>

#include "experiment/load_generator.h"
#include "experiment/test_fleet.h"

namespace parsleyquay {
namespace {

FleetOptions SixInstances() {
  FleetOptions options;
  options.profile.instances = 6;
  options.profile.failure_domains = 3;
  options.profile.workspaces = {{"alpha", 200, 100}};
  return options;
}

TEST_CASE("an order sent again through another instance runs once") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  const HeaderList key = {{"Idempotency-Key", "order-1"}};
  const BufferedResponse first =
      fleet.Send(0, "POST", "/order/main/1", "alpha", key);
  REQUIRE(first.status == 200);
  const BufferedResponse again =
      fleet.Send(3, "POST", "/order/main/1", "alpha", key);
  CHECK(again.status == 200);
  CHECK(again.body == first.body);
  fleet.KillInstance(0);
  const BufferedResponse after_kill =
      fleet.Send(4, "POST", "/order/main/1", "alpha", key);
  CAPTURE(after_kill.body);
  CHECK((after_kill.body == first.body ||
         after_kill.body.find("not_run") != std::string::npos ||
         after_kill.body.find("unknown") != std::string::npos));
  CHECK(CountRuns(fleet.RunRecords(), "/order/main/1") == 1);
}

TEST_CASE("an order whose instance was killed on the way never runs twice") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  for (int round = 0; round < 2; ++round) {
    const std::string path = "/order/main/k" + std::to_string(round);
    const std::string name = "kill-" + std::to_string(round);
    fleet.SetServerFault("server=all&slow=100");  // half a second of work
    CallRequest request;
    request.method = "POST";
    request.address = fleet.http_address(round);
    request.target = path;
    request.headers = {{"Authorization", "Bearer " + fleet.key("alpha")},
                       {"Idempotency-Key", name}};
    request.connection_use = ConnectionUse::kFresh;
    fleet.http().client().Fetch(request, "", [](const BufferedResponse&) {});
    fleet.RunFor(milliseconds(150));
    fleet.KillInstance(round);
    fleet.SetServerFault("server=all&slow=1");
    for (int instance = 2; instance < 6; ++instance) {
      const BufferedResponse again = fleet.Send(instance, "POST", path, "alpha",
                                                {{"Idempotency-Key", name}});
      CAPTURE(again.status, again.body);
      CHECK(again.status != 200);
    }
    CHECK(CountRuns(fleet.RunRecords(), path) <= 1);
  }
}

TEST_CASE("the outcome of an unknown order can be asked for later") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  fleet.SetServerFault("server=all&die_after_read=1");
  const HeaderList key = {{"Idempotency-Key", "lost-order"}};
  const BufferedResponse lost =
      fleet.Send(0, "POST", "/order/main/2", "alpha", key);
  CHECK(lost.body.find("\"ask\":\"/.parsleyquay/outcome\"") !=
        std::string::npos);
  fleet.SetServerFault("server=all&die_after_read=0");
  REQUIRE(fleet
              .Send(1, "POST", "/order/main/3", "alpha",
                    {{"Idempotency-Key", "good-order"}})
              .status == 200);
  CHECK(fleet.Send(2, "GET", "/.parsleyquay/outcome", "alpha", key)
            .body.find("\"state\":\"unknown\"") != std::string::npos);
  CHECK(fleet
            .Send(2, "GET", "/.parsleyquay/outcome", "alpha",
                  {{"Idempotency-Key", "good-order"}})
            .body.find("\"state\":\"done\"") != std::string::npos);
  CHECK(CountRuns(fleet.RunRecords(), "/order/main/2") == 1);
}

TEST_CASE("the fleet goes on without the log; a lone instance stops") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  fleet.SetPlatformFault("down=1");
  constexpr int kCutOff = 5;
  bool is_cut = false;
  LoadStream stream{"alpha", fleet.key("alpha"), "GET", "/work/main/o", 60};
  LoadGenerator load(fleet.http(), fleet.http_addresses(), {stream}, 1);
  load.Run(seconds(14), [&](Duration elapsed) {
    if (elapsed >= seconds(7) && !is_cut) {
      is_cut = true;
      fleet.IsolateInstance(kCutOff);
    }
  });
  const BufferedResponse alone =
      fleet.Send(kCutOff, "GET", "/work/main/alone", "alpha");
  CHECK(alone.status == 503);
  CHECK(alone.body.find("instance_not_current") != std::string::npos);
  CHECK(alone.body.find("\"addresses\":[") != std::string::npos);
  CHECK(CountRuns(fleet.RunRecords(), "/work/main/alone") == 0);
  const std::size_t answered =
      CountOutcome(load.results(), LoadOutcome::kServed);
  CHECK(static_cast<double>(answered) >=
        0.98 * static_cast<double>(load.results().size()));
  fleet.SetPlatformFault("down=0");
  fleet.HealInstance(kCutOff);
  CHECK(fleet.WaitFor(
      [&] { return fleet.Status(kCutOff)["is_current"].asBool(); },
      seconds(10)));
}

TEST_CASE("a graceful shutdown under load cuts nothing") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  constexpr int kLeaving = 2;
  bool is_told = false;
  // A long download through the leaving instance, read slowly.
  std::size_t received = 0;
  bool is_download_whole = false;
  CallRequest download;
  download.address = fleet.http_address(kLeaving);
  download.target = "/download/60000000";
  download.headers = {{"Authorization", "Bearer " + fleet.key("alpha")}};
  CallHandlers handlers;
  std::shared_ptr<HttpCall> call;
  bool is_slow = true;
  handlers.on_data = [&](std::string_view data) {
    if (is_slow && received > 1'000'000) {
      return false;
    }
    received += data.size();
    return true;
  };
  handlers.on_done = [&](const CallResult& result) {
    is_download_whole = result.outcome == CallOutcome::kComplete;
  };
  call = fleet.http().client().Start(download, handlers);
  LoadStream stream{"alpha", fleet.key("alpha"), "GET", "/work/main/g", 100};
  stream.fixed_addresses = fleet.http_addresses();
  LoadGenerator load(fleet.http(), fleet.http_addresses(), {stream}, 1);
  load.Run(seconds(6), [&](Duration elapsed) {
    if (elapsed >= seconds(1) && !is_told) {
      is_told = true;
      fleet.instance(kLeaving).Signal(SIGTERM);
    }
  });
  CHECK_FALSE(fleet.instance(kLeaving).HasEnded());
  is_slow = false;
  call->ResumeResponseBody();
  CHECK(fleet.WaitFor([&] { return fleet.instance(kLeaving).HasEnded(); },
                      seconds(15)));
  CHECK(fleet.instance(kLeaving).exit_code() == 0);
  CHECK(is_download_whole);
  CHECK(received == 60'000'000);
  const auto broken = CountOutcome(load.results(), LoadOutcome::kIncomplete);
  CHECK(broken == 0);
  CHECK(CountOutcome(load.results(), LoadOutcome::kServed) ==
        load.results().size());
}

TEST_CASE("a refusal that says not run is true, under many faults at once") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  fleet.SetServerFault("server=0&die_after_read=1");
  fleet.SetServerFault("server=1&fail_percent=30");
  fleet.SetServerFault("server=2&hang=1");
  LoadStream orders{"alpha", fleet.key("alpha"), "POST", "/order/main/n", 40};
  orders.has_idempotency_keys = true;
  LoadStream reads{"alpha", fleet.key("alpha"), "GET", "/work/main/n", 60};
  LoadGenerator load(fleet.http(), fleet.http_addresses(), {orders, reads}, 1);
  int step = 0;
  load.Run(seconds(10), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && step == 0) {
      step = 1;
      fleet.IsolateInstance(1);
    }
    if (elapsed >= seconds(4) && step == 1) {
      step = 2;
      fleet.KillInstance(2);
    }
  });
  std::map<std::string, int> runs;
  for (const RunRecord& record : fleet.RunRecords()) {
    ++runs[record.request_id];
  }
  std::size_t refusals = 0;
  for (const LoadResult& result : load.results()) {
    for (const std::string& id : result.not_run_ids) {
      ++refusals;
      CHECK_FALSE(runs.contains(id));
    }
    const bool is_order = result.stream == 0 && !result.request_id.empty();
    if (is_order && runs.contains(result.request_id)) {
      CHECK(runs[result.request_id] == 1);
    }
  }
  CHECK(refusals > 0);
}

}  // namespace
}  // namespace parsleyquay
