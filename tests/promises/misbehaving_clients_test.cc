// Tests that a gateway process survives clients that misbehave: it stays alive,
// within its memory and its descriptors, and responds to an ordinary request
// afterwards. No test depends on the speed of the machine.

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/raw_clients.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr int kMemoryMegabytes = 64;
constexpr long kMaxMemoryKilobytes = kMemoryMegabytes * 1'000'000L / 1'024;
constexpr std::size_t kMaxDescriptors = 400;
constexpr std::size_t kResponseBytes = 1'500'000;

// The clients go on for this time, unless none makes progress for the other.
constexpr Duration kMaxFlood = seconds(6);
constexpr Duration kMaxSilence = seconds(2);
constexpr Duration kMeasuringInterval = milliseconds(50);

enum class Target { kRoute, kNoRoute, kReadiness };

std::string NameOf(Target target) {
  return target == Target::kRoute     ? "route"
         : target == Target::kNoRoute ? "no route"
                                      : "readiness";
}

// Returns the request line and the first headers.
std::string HeadFor(Target target, const std::string& method) {
  const std::string path = target == Target::kReadiness ? "/api/ready"
                           : target == Target::kNoRoute ? "/none/1"
                           : method == "POST"           ? "/once/1"
                                                        : "/safe/1";
  return method + " " + path +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-2\r\n"
         "Request-Deadline: 1500\r\nAuthorization: Bearer shop-key\r\n";
}

std::string Repeat(const std::string& text, std::size_t count) {
  std::string repeated;
  for (std::size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

// One gateway with lowered limits and one server.
struct LimitedGateway : GatewayProcesses {
  explicit LimitedGateway(const std::string& limits)
      : GatewayProcesses(1, false, limits) {
    REQUIRE(this->Start(ConfigurationText(1, {{"shop", R"("shop-key")"}})));
    this->AddServer("s-1", Good(std::string(kResponseBytes, 'x')));
    REQUIRE(this->Await(
        [&] { return this->Send(0, "GET", "/safe/1").status == 200; }));
  }

  // Returns a value of the process's status, such as "VmHWM:".
  long StatusKilobytes(const std::string& name) {
    std::ifstream status("/proc/" + std::to_string(this->process(0).id()) +
                         "/status");
    for (std::string word; status >> word;) {
      long kilobytes = 0;
      if (word == name && status >> kilobytes) {
        return kilobytes;
      }
    }
    return 0;
  }

  // Records the resident memory and the bytes that wait in the socket buffers
  // of the gateway's client connections.
  void MeasureMemory() {
    long queued = 0;
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line);  // the names of the columns
    while (std::getline(sockets, line)) {
      std::istringstream fields(line);
      std::string number, local, remote, state, queues;
      fields >> number >> local >> remote >> state >> queues;
      const std::string port =
          std::to_string(std::stol(local.substr(9), nullptr, 16));
      constexpr const char* kListening = "0A";
      if (state != kListening &&
          (this->request_address(0).ends_with(":" + port) ||
           this->readiness_address(0).ends_with(":" + port))) {
        queued += std::stol(queues.substr(0, 8), nullptr, 16) +
                  std::stol(queues.substr(9), nullptr, 16);
      }
    }
    this->most_memory =
        std::max({this->most_memory, this->StatusKilobytes("VmHWM:"),
                  this->StatusKilobytes("VmRSS:") + queued / 1'024});
  }

  std::size_t CountDescriptors() {
    std::error_code error;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(this->process(0).id()) + "/fd", error);
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
  }

  // Lets clients connect to the target and act, and checks what must hold.
  void Survive(Target target, int count, const RawClientScript& script) {
    const long before = this->StatusKilobytes("VmHWM:");
    RawClients clients(target == Target::kReadiness ? this->readiness_address(0)
                                                    : this->request_address(0),
                       count, script);
    const TimePoint began = this->loop.Now();
    TimePoint progressed_at = began;
    TimePoint measured_at = began;
    while (this->loop.Now() - began < kMaxFlood &&
           this->loop.Now() - progressed_at < kMaxSilence) {
      if (clients.Step()) {
        progressed_at = this->loop.Now();
      }
      this->RunFor(milliseconds(2));
      if (this->loop.Now() - measured_at >= kMeasuringInterval) {
        measured_at = this->loop.Now();
        this->MeasureMemory();
        this->most_descriptors =
            std::max(this->most_descriptors, this->CountDescriptors());
      }
    }
    CHECK_FALSE(this->process(0).HasEnded());
    CHECK(this->Await(
        [&] { return this->Send(0, "GET", "/safe/1").status == 200; },
        seconds(20)));
    CHECK(this->Await([&] { return this->IsReady(0); }, seconds(20)));
    CHECK_FALSE(this->process(0).HasEnded());
    this->MeasureMemory();
    INFO(NameOf(target) << ": peak memory " << this->most_memory << " KB ("
                        << before << " before, resident "
                        << this->StatusKilobytes("VmHWM:") << "), descriptors "
                        << this->most_descriptors);
    CHECK(before > 0);
    CHECK(this->most_memory < kMaxMemoryKilobytes);
  }

  long most_memory = 0;  // KB
  std::size_t most_descriptors = 0;
};

struct LowMemoryGateway : LimitedGateway {
  LowMemoryGateway()
      : LimitedGateway("memory = " + std::to_string(kMemoryMegabytes) + "\n") {}
};

Target AnyTarget() {
  return GENERATE(Target::kRoute, Target::kNoRoute, Target::kReadiness);
}

constexpr int kBodyClients = 700;
constexpr std::size_t kBodyBytes = 60'000;

std::string WholeBody(Target target) {
  return HeadFor(target, "POST") +
         "Content-Length: " + std::to_string(kBodyBytes + 10) + "\r\n\r\n" +
         std::string(kBodyBytes, 'b');
}

TEST_CASE("bodies that stop short of their end") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(target, kBodyClients,
                             {.bytes = WholeBody(target)});
}

TEST_CASE("bodies in small pieces that stop short of their end") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kBodyClients,
      {.bytes = WholeBody(target), .bytes_per_step = 1'000});
}

TEST_CASE("chunked bodies that stop short of their end") {
  const Target target = AnyTarget();
  const std::string chunk = "64\r\n" + std::string(100, 'b') + "\r\n";
  LowMemoryGateway().Survive(
      target, kBodyClients,
      {.bytes = HeadFor(target, "POST") + "Transfer-Encoding: chunked\r\n\r\n" +
                Repeat(chunk, 600)});
}

TEST_CASE("bodies far over the limit") {
  const Target target = AnyTarget();
  const std::string framing =
      GENERATE("Content-Length: 1000000000000\r\n\r\n",
               "Transfer-Encoding: chunked\r\n\r\n3fffffff\r\n");
  LowMemoryGateway().Survive(target, 40,
                             {.bytes = HeadFor(target, "POST") + framing +
                                       std::string(4'000'000, 'b')});
}

TEST_CASE("requests of very many short header fields") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kBodyClients,
      {.bytes = HeadFor(target, "POST") + Repeat("a:b\r\n", 700) +
                "Content-Length: 100\r\n\r\n" + std::string(90, 'b')});
}

constexpr int kReaders = 400;

TEST_CASE("pipelined requests whose responses are not read") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kReaders,
      {.bytes = HeadFor(target, "GET") + "\r\n", .repetitions = 500});
}

TEST_CASE("clients that read slowly") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kReaders,
      {.bytes = HeadFor(target, "GET") + "\r\n", .bytes_read_per_step = 1});
}

TEST_CASE("clients that stop within the headers") {
  const Target target = GENERATE(Target::kRoute, Target::kReadiness);
  LowMemoryGateway().Survive(target, 1'800,
                             {.bytes = HeadFor(target, "GET") +
                                       "X-Long: " + std::string(15'000, 'h')});
}

TEST_CASE("more clients than descriptors") {
  const Target target = AnyTarget();
  const std::size_t bytes_per_step = GENERATE(1, 10'000);
  LimitedGateway gateway("descriptors = " + std::to_string(kMaxDescriptors) +
                         "\n");
  gateway.Survive(
      target, 600,
      {.bytes = HeadFor(target, "POST") + "Content-Length: 100\r\n\r\n" +
                std::string(90, 'b'),
       .bytes_per_step = bytes_per_step});
  INFO("descriptors " << gateway.most_descriptors);
  CHECK(gateway.most_descriptors > 0);
  CHECK(gateway.most_descriptors <= kMaxDescriptors);
}

// Guards against limits that refuse a client which keeps within those that the
// configuration states: the largest body, and the longest pause.
TEST_CASE("an idle instance serves clients up to every limit") {
  GatewayProcesses gateway(1, false, "memory = 112\ndescriptors = 2870\n");
  std::string configuration = ConfigurationText(1, {{"shop", R"("shop-key")"}});
  const std::string timeout = "1500ms";
  for (std::size_t at = configuration.find(timeout); at != std::string::npos;
       at = configuration.find(timeout)) {
    configuration.replace(at, timeout.size(), "60s");
  }
  REQUIRE(gateway.Start(configuration));
  std::size_t received = 0;
  gateway.AddServer("s-1", [&](const RawRequest& request) {
    received = request.body.size();
    return RawResponse{SignedOkResponse(request, "fine")};
  });
  REQUIRE(gateway.Await(
      [&] { return gateway.Send(0, "GET", "/safe/1").status == 200; }));
  const auto send = [&](const std::string& body) {
    std::optional<int> status;
    gateway.client.Fetch({.method = "POST",
                          .address = gateway.request_address(0),
                          .target = "/once/1",
                          .headers = {{"Host", "a.example"},
                                      {"Request-Id", "r-1"},
                                      {"Authorization", "Bearer shop-key"}},
                          .total_timeout = seconds(60)},
                         body, [&](const BufferedResponse& response) {
                           status = response.status;
                         });
    gateway.Await([&] { return status.has_value(); }, seconds(60));
    return status.value_or(0);
  };
  constexpr std::size_t kMaxBodyBytes = 67'108'864;
  CHECK(send(std::string(kMaxBodyBytes, 'b')) == 200);
  CHECK(received == kMaxBodyBytes);
  gateway.RunFor(seconds(12));
  CHECK(send("body") == 200);
  CHECK(gateway.Log(0).find("event=clients_closed") == std::string::npos);
}

}  // namespace
}  // namespace parsleyquay
