#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <iostream>
#include <sstream>

#include "support/configuration_text.h"
#include "support/gateway_fixture.h"

namespace parsleyquay {

namespace {

constexpr int kInstances = 4;
constexpr int kServers = 3;

// Of the metered workspace, and what the settings of the instances tolerate.
constexpr RateLimitBound kMetered = {.rate = 20,
                                     .burst = 10,
                                     .overshoot = 0.1,
                                     .slack = 20};

constexpr Duration kWarmUp = seconds(3);
constexpr Duration kTurn = milliseconds(12);  // one request to each turn
constexpr Duration kGrace = seconds(4);       // as in the settings

// A request's deadline is 1,500 ms; what comes a second later is late.
constexpr Duration kLateAfter = milliseconds(2'500);

// Until a holder's lease has lapsed and all instances have started again.
constexpr Duration kRecoveryTime = seconds(10);

std::string Configuration(int version) {
  return ConfigurationText(
      version, {{"shop", R"("shop-key")"},
                {"kiosk", R"("kiosk-key")", static_cast<int>(kMetered.rate),
                 static_cast<int>(kMetered.burst)}});
}

std::string BodyOf(const std::string& request) {
  return "answer to " + request + std::string(2'000, '.');
}

std::string ServerName(int server) {
  return "s-" + std::to_string(server);
}

}  // namespace

SoakRun::SoakRun(std::uint64_t seed, Duration length)
    : seed(seed),
      length(length),
      random(seed),
      fleet(kInstances),
      instances(kInstances) {}

std::vector<std::string> SoakRun::Run() {
  const std::vector<Fault> faults =
      GenerateFaultSchedule(this->seed, this->length, kInstances);
  for (const Fault& fault : faults) {
    std::cout << "fault=" << FaultName(fault.kind)
              << " at_ms=" << ToMilliseconds(fault.at)
              << " lasting_ms=" << ToMilliseconds(fault.duration)
              << " target=" << fault.target << std::endl;
  }
  if (!this->StartFleet()) {
    return {"the fleet did not start"};
  }
  const TimePoint began = this->fleet.loop.Now();
  std::deque<Fault> waiting(faults.begin(), faults.end());
  std::vector<Fault> running;
  const auto passed = [&] { return this->fleet.loop.Now() - began; };
  while (passed() < this->length || !running.empty()) {
    while (!waiting.empty() && waiting.front().at <= passed()) {
      this->Begin(waiting.front());
      running.push_back(waiting.front());
      waiting.pop_front();
    }
    for (const Fault& fault : running) {
      if (fault.at + fault.duration <= passed()) {
        this->End(fault);
      }
    }
    std::erase_if(running, [&](const Fault& fault) {
      return fault.at + fault.duration <= passed();
    });
    this->WatchInstances();
    this->SendToRandomInstance();
  }
  this->CheckRecovery();
  CheckRate(this->observed, kMetered);
  return this->observed.violations;
}

std::string SoakRun::LogLines(const std::string& request) const {
  std::string found;
  for (int instance = 0; instance < kInstances; ++instance) {
    std::istringstream log(this->fleet.Log(instance));
    for (std::string line; std::getline(log, line);) {
      if (line.find("request=" + request + " ") != std::string::npos) {
        found += line + "\n";
      }
    }
  }
  return found;
}

bool SoakRun::StartFleet() {
  if (!this->fleet.Start(Configuration(this->configuration_version))) {
    return false;
  }
  for (int server = 0; server < kServers; ++server) {
    this->fleet.AddServer(ServerName(server),
                          [this, server](const RawRequest& request) {
                            return this->Serve(server, request);
                          });
  }
  this->fleet.RunFor(kWarmUp);
  return true;
}

RawResponse SoakRun::Serve(int server, const RawRequest& request) {
  const std::string id = RawHeader(request.head, "Request-Id");
  if (id.empty()) {
    return {SignedOkResponse(request, "")};  // a health check
  }
  RecordRun(this->observed, id, this->fleet.loop.Now());
  const std::string good = SignedOkResponse(request, BodyOf(id));
  switch (this->server_modes[server]) {
    case ServerMode::kGood:
      return {good};
    case ServerMode::kFails:
      return {MakeResponse(request, "500 Internal Server Error",
                           "Response-Signature: sig\r\n", "failed")};
    case ServerMode::kResets:
      return {"", ConnectionAction::kReset};
    case ServerMode::kHangs:
      return {""};
    case ServerMode::kCutsAnswers:
      return {good.substr(0, good.size() - 500), ConnectionAction::kClose};
  }
  return {good};
}

void SoakRun::Begin(const Fault& fault) {
  const int server = fault.target % kServers;
  switch (fault.kind) {
    case FaultKind::kServerFails:
      this->server_modes[server] = ServerMode::kFails;
      return;
    case FaultKind::kServerResets:
      this->server_modes[server] = ServerMode::kResets;
      return;
    case FaultKind::kServerHangs:
      this->server_modes[server] = ServerMode::kHangs;
      return;
    case FaultKind::kServerTruncatesResponses:
      this->server_modes[server] = ServerMode::kCutsAnswers;
      return;
    case FaultKind::kServerDrains:
      this->fleet.ListServer(ServerName(server), "draining");
      return;
    case FaultKind::kNewConfiguration:
      this->fleet.Put("keyed.op", "config",
                      Configuration(++this->configuration_version));
      return;
    case FaultKind::kKillAll:
      for (int instance = 0; instance < kInstances; ++instance) {
        this->BeginOnInstance(fault, instance);
      }
      return;
    default:
      this->BeginOnStore(fault, fault.target);
      this->BeginOnInstance(fault, fault.target);
  }
}

void SoakRun::BeginOnStore(const Fault& fault, int instance) {
  const std::string number = std::to_string(instance);
  static const std::map<FaultKind, std::string> queries = {
      {FaultKind::kStoreDown, "down=all"},
      {FaultKind::kStoreRefusesInstance, "down="},
      {FaultKind::kStoreSilent, "silent="},
      {FaultKind::kStoreSlow, "slow_ms=80"},
      {FaultKind::kStoreLosesReplies, "lose_replies=6"},
      {FaultKind::kStoreDropsHistory, "forget=1"},
      {FaultKind::kStoreReassignsPartitions, "regroup=1"}};
  const auto query = queries.find(fault.kind);
  if (query != queries.end()) {
    const bool needs_number = query->second.back() == '=';
    this->fleet.SetStoreFault(query->second + (needs_number ? number : ""));
  }
}

void SoakRun::BeginOnInstance(const Fault& fault, int instance) {
  Instance& own = this->instances[static_cast<std::size_t>(instance)];
  if (own.state != InstanceState::kUp) {
    return;  // one fault of a process at a time
  }
  const TimePoint now = this->fleet.loop.Now();
  ChildProcess& process = this->fleet.process(instance);
  own.back_at = now + fault.duration;
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kKillAll:
      process.Kill();
      own.state = InstanceState::kDown;
      break;
    case FaultKind::kFreeze:
      process.Signal(SIGSTOP);
      own.state = InstanceState::kFrozen;
      break;
    case FaultKind::kTerminate:
      process.Signal(SIGTERM);
      own.state = InstanceState::kLeaving;
      own.leaving_since = now;
      break;
    case FaultKind::kReload:
      process.Signal(SIGHUP);
      break;
    default:
      break;
  }
}

void SoakRun::End(const Fault& fault) {
  const int server = fault.target % kServers;
  switch (fault.kind) {
    case FaultKind::kServerFails:
    case FaultKind::kServerResets:
    case FaultKind::kServerHangs:
    case FaultKind::kServerTruncatesResponses:
      this->server_modes[server] = ServerMode::kGood;
      return;
    case FaultKind::kServerDrains:
      this->fleet.ListServer(ServerName(server), "ready");
      return;
    case FaultKind::kStoreDown:
      this->fleet.SetStoreFault("up=all");
      return;
    case FaultKind::kStoreRefusesInstance:
    case FaultKind::kStoreSilent:
      this->fleet.SetStoreFault("up=" + std::to_string(fault.target));
      return;
    case FaultKind::kStoreSlow:
      this->fleet.SetStoreFault("slow_ms=0");
      return;
    default:
      return;  // those of instances end by themselves, see `WatchInstances`
  }
}

void SoakRun::WatchInstances() {
  const TimePoint now = this->fleet.loop.Now();
  for (int instance = 0; instance < kInstances; ++instance) {
    Instance& own = this->instances[static_cast<std::size_t>(instance)];
    const std::string name = "instance " + std::to_string(instance);
    ChildProcess& process = this->fleet.process(instance);
    switch (own.state) {
      case InstanceState::kUp:
        if (process.HasEnded()) {
          this->observed.violations.push_back(name + " ended by itself");
          own.state = InstanceState::kDown;
        }
        break;
      case InstanceState::kLeaving:
        if (process.HasEnded()) {
          if (process.exit_code() != 0) {
            this->observed.violations.push_back(name + " left with an error");
          }
          own.state = InstanceState::kDown;
        } else if (now - own.leaving_since > kGrace) {
          this->observed.violations.push_back(name + " outlived its grace");
          process.Kill();
          own.state = InstanceState::kDown;
        }
        break;
      case InstanceState::kDown:
      case InstanceState::kFrozen:
        own.last_unavailable_at = now;
        break;
    }
    if (now < own.back_at) {
      continue;
    }
    if (own.state == InstanceState::kDown) {
      this->fleet.StartGateway(instance);
      own.state = InstanceState::kUp;
    } else if (own.state == InstanceState::kFrozen) {
      process.Signal(SIGCONT);
      own.state = InstanceState::kUp;
    }
  }
}

void SoakRun::SendToRandomInstance() {
  const int instance =
      std::uniform_int_distribution<int>(0, kInstances - 1)(this->random);
  const Instance& own = this->instances[static_cast<std::size_t>(instance)];
  const bool is_running =
      own.state == InstanceState::kUp || own.state == InstanceState::kLeaving;
  if (is_running) {
    this->SendOne(instance);
  }
  this->fleet.RunFor(kTurn);
}

void SoakRun::SendOne(int instance) {
  std::bernoulli_distribution coin(0.5);
  const std::string id = "soak-" + std::to_string(this->next_request++);
  const bool is_idempotent = coin(this->random);
  const bool is_rate_limited = coin(this->random);
  // On a kept connection the client itself might send a request twice.
  const ConnectionUse use = is_idempotent && coin(this->random)
                                ? ConnectionUse::kReusable
                                : ConnectionUse::kFresh;
  RecordSent(this->observed, id, is_idempotent, is_rate_limited);
  ++this->in_flight;
  const TimePoint sent_at = this->fleet.loop.Now();
  this->fleet.SendAsync(
      instance, is_idempotent ? "GET" : "POST",
      is_idempotent ? "/safe/1" : "/once/1",
      [this, id, instance, sent_at](const BufferedResponse& response) {
        --this->in_flight;
        const TimePoint now = this->fleet.loop.Now();
        const Instance& own =
            this->instances[static_cast<std::size_t>(instance)];
        const bool is_whole = response.result.outcome == CallOutcome::kComplete;
        const bool was_gone =
            own.last_unavailable_at >= sent_at ||
            own.state == InstanceState::kDown ||
            own.state == InstanceState::kFrozen ||
            response.result.outcome == CallOutcome::kNeverSent;
        RecordCallerOutcome(
            this->observed, id,
            {.status = is_whole ? response.status : 0,
             .has_expected_body = response.body == BodyOf(id),
             .may_lack_response = was_gone,
             .is_late = now - sent_at > kLateAfter,
             .detail =
                 "instance " + std::to_string(instance) +
                 (own.state == InstanceState::kLeaving ? ", leaving, " : ", ") +
                 response.result.detail},
            now);
      },
      is_rate_limited ? "kiosk-key" : "shop-key", id, use);
}

void SoakRun::CheckRecovery() {
  this->fleet.Await([&] { return this->in_flight == 0; });
  const TimePoint until = this->fleet.loop.Now() + kRecoveryTime;
  this->fleet.SetStoreFault("up=all");
  for (int instance = 0; instance < kInstances; ++instance) {
    bool is_back = false;
    while (!is_back && this->fleet.loop.Now() < until) {
      this->WatchInstances();
      const std::string id = "soak-" + std::to_string(this->next_request++);
      RecordSent(this->observed, id, true, false);
      is_back =
          this->fleet.Send(instance, "GET", "/safe/1", "shop-key", id).status ==
          200;
      this->fleet.RunFor(milliseconds(50));
    }
    if (!is_back) {
      this->observed.violations.push_back("instance " +
                                          std::to_string(instance) +
                                          " does not serve after the faults");
    }
  }
}

}  // namespace parsleyquay
