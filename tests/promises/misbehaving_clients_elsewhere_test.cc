// Tests that a gateway process survives clients that misbehave at its directory
// address and its metrics address: it stays alive, within its memory and its
// descriptors, and responds to an ordinary request afterwards. No test depends
// on the speed of the machine. misbehaving_clients_test.cc does the same for
// the other addresses.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/process_usage.h"
#include "support/raw_clients.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr int kMemoryMegabytes = 64;
constexpr long kMaxMemoryKilobytes = kMemoryMegabytes * 1'000'000L / 1'024;
constexpr std::size_t kMaxDescriptors = 400;

// The clients go on for this time, unless none makes progress for the other.
constexpr Duration kMaxFlood = seconds(6);
constexpr Duration kMaxSilence = seconds(2);
constexpr Duration kMeasuringInterval = milliseconds(50);

enum class Target { kDirectory, kNoDirectory, kMetrics, kRollouts };

std::string PathOf(Target target) {
  switch (target) {
    case Target::kDirectory:
      return "/api/resolve?name=a.example&region=r&zone=x";
    case Target::kNoDirectory:
      return "/none/1";
    case Target::kMetrics:
      return "/";
    case Target::kRollouts:
      return "/rollouts";
  }
  return "";
}

// Returns the request line and the first headers.
std::string HeadFor(Target target, const std::string& method) {
  return method + " " + PathOf(target) +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-2\r\n";
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
    this->AddServer("s-1", Good());
    REQUIRE(this->Await([&] { return this->AnswersOrdinaryRequests(); }));
  }

  bool AnswersOrdinaryRequests() {
    return this->Send(0, "GET", "/safe/1").status == 200 && this->IsReady(0) &&
           !this->ResolveAddresses(0).empty() &&
           this->Get(this->metrics_address(0), "/").status == 200;
  }

  // Records the resident memory with the bytes in the buffers of client
  // connections, and the open descriptors.
  void Measure() {
    const pid_t id = this->process(0).id();
    const long queued =
        QueuedBytes({this->request_address(0), this->readiness_address(0),
                     this->directory_address(0), this->metrics_address(0)});
    this->most_memory =
        std::max({this->most_memory, StatusKilobytes(id, "VmHWM:"),
                  StatusKilobytes(id, "VmRSS:") + queued / 1'024});
    this->most_descriptors =
        std::max(this->most_descriptors, CountDescriptors(id));
  }

  // Lets clients connect to the target and act, and checks what must hold.
  void Survive(Target target, int count, const RawClientScript& script) {
    const long before = StatusKilobytes(this->process(0).id(), "VmHWM:");
    const bool is_directory =
        target == Target::kDirectory || target == Target::kNoDirectory;
    RawClients clients(
        is_directory ? this->directory_address(0) : this->metrics_address(0),
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
        this->Measure();
      }
    }
    CHECK_FALSE(this->process(0).HasEnded());
    CHECK(this->Await([&] { return this->AnswersOrdinaryRequests(); },
                      seconds(20)));
    CHECK_FALSE(this->process(0).HasEnded());
    this->Measure();
    INFO(PathOf(target) << ": peak memory " << this->most_memory << " KB ("
                        << before << " before), descriptors "
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
  return GENERATE(Target::kDirectory, Target::kNoDirectory, Target::kMetrics,
                  Target::kRollouts);
}

constexpr int kBodyClients = 700;
constexpr std::size_t kBodyBytes = 60'000;

std::string WholeBody(Target target) {
  return HeadFor(target, "POST") +
         "Content-Length: " + std::to_string(kBodyBytes + 10) + "\r\n\r\n" +
         std::string(kBodyBytes, 'b');
}

TEST_CASE("elsewhere: bodies that stop short of their end") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(target, kBodyClients,
                             {.bytes = WholeBody(target)});
}

TEST_CASE("elsewhere: bodies in small pieces that stop short of their end") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kBodyClients,
      {.bytes = WholeBody(target), .bytes_per_step = 1'000});
}

TEST_CASE("elsewhere: chunked bodies that stop short of their end") {
  const Target target = AnyTarget();
  const std::string chunk = "64\r\n" + std::string(100, 'b') + "\r\n";
  LowMemoryGateway().Survive(
      target, kBodyClients,
      {.bytes = HeadFor(target, "POST") + "Transfer-Encoding: chunked\r\n\r\n" +
                Repeat(chunk, 600)});
}

TEST_CASE("elsewhere: bodies far over the limit") {
  const Target target = AnyTarget();
  const std::string framing =
      GENERATE("Content-Length: 1000000000000\r\n\r\n",
               "Transfer-Encoding: chunked\r\n\r\n3fffffff\r\n");
  LowMemoryGateway().Survive(target, 40,
                             {.bytes = HeadFor(target, "POST") + framing +
                                       std::string(4'000'000, 'b')});
}

TEST_CASE("elsewhere: requests of very many short header fields") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kBodyClients,
      {.bytes = HeadFor(target, "POST") + Repeat("a:b\r\n", 700) +
                "Content-Length: 100\r\n\r\n" + std::string(90, 'b')});
}

constexpr int kReaders = 400;

TEST_CASE("elsewhere: pipelined requests whose responses are not read") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kReaders,
      {.bytes = HeadFor(target, "GET") + "\r\n", .repetitions = 500});
}

TEST_CASE("elsewhere: clients that read slowly") {
  const Target target = AnyTarget();
  LowMemoryGateway().Survive(
      target, kReaders,
      {.bytes = HeadFor(target, "GET") + "\r\n", .bytes_read_per_step = 1});
}

TEST_CASE("elsewhere: clients that stop within the headers") {
  const Target target = GENERATE(Target::kDirectory, Target::kMetrics);
  LowMemoryGateway().Survive(target, 1'800,
                             {.bytes = HeadFor(target, "GET") +
                                       "X-Long: " + std::string(15'000, 'h')});
}

// Guards against limits of each address that together exceed the memory.
TEST_CASE("elsewhere: clients at both addresses") {
  const std::string rest = "X-Long: " + std::string(15'000, 'h');
  LowMemoryGateway gateway;
  RawClients others(gateway.metrics_address(0), 1'800,
                    {.bytes = HeadFor(Target::kMetrics, "GET") + rest});
  for (int i = 0; i < 100; ++i) {
    others.Step();
    gateway.RunFor(milliseconds(10));
  }
  gateway.Survive(Target::kDirectory, 1'800,
                  {.bytes = HeadFor(Target::kDirectory, "GET") + rest});
}

TEST_CASE("elsewhere: more clients than descriptors") {
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

}  // namespace
}  // namespace parsleyquay
