// Tests that instances which restart keep the rate limits together while the
// shards have no owners.

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr int kInstances = 3;
constexpr int kRate = 4;
constexpr int kBurst = 4;
// Of GatewayProcesses: what a window admits, with its tolerance.
constexpr Duration kWindow = seconds(5);
constexpr double kAdmittedPerWindow = (kRate * 5 + kBurst) * 1.1 + 20;

struct RestartingFleet : GatewayProcesses {
  RestartingFleet() : GatewayProcesses(kInstances) {
    REQUIRE(this->Start(
        ConfigurationText(1, {{"shop", R"("shop-key")", kRate, kBurst},
                              {"unlimited", R"("other-key")"}})));
    this->AddServer("s-1", [this](const RawRequest& request) {
      if (request.head.find("/safe/limited") != std::string::npos) {
        this->arrivals.push_back(this->loop.Now());
      }
      return RawResponse{SignedOkResponse(request, "fine")};
    });
    for (int gateway = 0; gateway < kInstances; ++gateway) {
      this->AwaitServing(gateway);
    }
    this->RunFor(seconds(6));  // until the shards have owners
    this->arrivals.clear();
  }

  // "unlimited" is served as soon as the instance knows configuration and
  // servers.
  void AwaitServing(int gateway) {
    REQUIRE(this->Await([&] {
      return this->Send(gateway, "GET", "/safe/1", "other-key").status == 200;
    }));
  }

  // Sends far more requests than the limit to all instances.
  void Flood(Duration duration) {
    for (const TimePoint end = this->loop.Now() + duration;
         this->loop.Now() < end; this->RunFor(milliseconds(25))) {
      for (int gateway = 0; gateway < kInstances; ++gateway) {
        this->SendAsync(gateway, "GET", "/safe/limited",
                        [](const BufferedResponse&) {});
      }
    }
  }

  // The most requests that have arrived in one window.
  long MostInWindow() const {
    long most = 0;
    for (auto first = this->arrivals.begin(); first != this->arrivals.end();
         ++first) {
      most = std::max(most, std::upper_bound(first, this->arrivals.end(),
                                             *first + kWindow) -
                                first);
    }
    return most;
  }

  std::vector<TimePoint> arrivals;  // of requests of "shop"
};

// Guards against a quota that is handed out more than once: by each process of
// an instance that restarts, or by each instance that knows no others yet.
TEST_CASE("instances that restart use no fallback quota again") {
  RestartingFleet fleet;
  fleet.Flood(milliseconds(300));
  for (int restart = 0; restart < 3; ++restart) {
    for (int gateway = 0; gateway < kInstances; ++gateway) {
      fleet.process(gateway).Kill();
    }
    for (int gateway = 0; gateway < kInstances; ++gateway) {
      fleet.StartGateway(gateway);
    }
    fleet.Flood(milliseconds(1'000));
  }
  CHECK(static_cast<double>(fleet.MostInWindow()) <= kAdmittedPerWindow);
  // The fleet admits the rate again, by owners or by the quota.
  fleet.RunFor(seconds(8));
  fleet.arrivals.clear();
  fleet.Flood(kWindow);
  CHECK(fleet.arrivals.size() >= kRate * 5 * 0.9);
  CHECK(static_cast<double>(fleet.MostInWindow()) <= kAdmittedPerWindow);
}

}  // namespace
}  // namespace parsleyquay
