#include "soak/soak_run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>

#include "support/configuration_text.h"
#include "support/gateway_fixture.h"

namespace parsleyquay {

namespace {

constexpr int kInstances = 4;
constexpr int kServers = 3;

// The rate limit of the workspace "kiosk", and the tolerance in the settings of
// the instances.
constexpr RateLimitBound kKioskRateLimit = {.rate = 20,
                                            .burst = 10,
                                            .overshoot = 0.1,
                                            .slack = 20};

constexpr Duration kWarmUp = seconds(3);
constexpr Duration kRequestInterval = milliseconds(12);
constexpr Duration kGracePeriod =
    seconds(4);  // for termination, as in settings

// The deadline of a request is 1,500 ms after it is sent. A response is late
// one second after the deadline.
constexpr Duration kLateAfter = milliseconds(2'500);

// Long enough for the lease of a shard owner to expire and for all instances to
// restart.
constexpr Duration kRecoveryTime = seconds(10);

std::string Configuration(int version) {
  return ConfigurationText(
      version,
      {{"shop", R"("shop-key")"},
       {"kiosk", R"("kiosk-key")", static_cast<int>(kKioskRateLimit.rate),
        static_cast<int>(kKioskRateLimit.burst)}});
}

// A hold of this process longer than this also delays the instances' calls to
// the store, which pass through it.
constexpr Duration kLongHold = milliseconds(150);
constexpr Duration kLoopWatchInterval = milliseconds(10);

// How long a server serves after it began to leave, at least; `drain` of the
// users' platform and some seconds.
constexpr Duration kServesWhileLeaving = seconds(5);

// The server in this slot repeats some of its responses all the time, and many
// of them are failures, so that a failure may follow a part of a success.
constexpr int kRepeatingSlot = 0;
constexpr int kRepeatedPercent = 25;
constexpr int kOftenRepeatedPercent = 60;

// Returns the begin of the headers, which shows what a response was mixed up
// with.
std::string Excerpt(const HeaderList& headers) {
  constexpr std::size_t kMaxSize = 200;
  std::string text;
  for (const Header& header : headers) {
    text += header.name + ": " + header.value + "; ";
  }
  return text.substr(0, kMaxSize);
}

std::size_t SlotOf(const Fault& fault) {
  return static_cast<std::size_t>(fault.target % kServers);
}

// Returns a body of which no part looks like another one.
std::string MakeBody(const std::string& signature, int size) {
  std::string body = signature;
  std::minstd_rand letters(
      static_cast<unsigned>(std::hash<std::string>{}(signature)));
  while (static_cast<int>(body.size()) < size) {
    body += static_cast<char>('a' + letters() % 26);
  }
  return body.substr(0, static_cast<std::size_t>(size));
}

std::string ToHex(std::size_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

std::string ToChunks(const std::string& body, std::size_t chunk_size) {
  std::string chunks;
  for (std::size_t at = 0; at < body.size(); at += chunk_size) {
    const std::string chunk = body.substr(at, chunk_size);
    chunks += ToHex(chunk.size()) + "\r\n" + chunk + "\r\n";
  }
  return chunks + "0\r\n\r\n";
}

std::string ServerName(int server) {
  return "s-" + std::to_string(server);
}

}  // namespace

SoakRun::SoakRun(std::uint64_t seed, Duration length)
    : seed(seed),
      length(length),
      random(seed),
      fleet(kInstances, true),
      instances(kInstances),
      loop_watch(this->fleet.loop, [this] { this->WatchOwnLoop(); }) {}

std::vector<std::string> SoakRun::Run() {
  const std::vector<Fault> faults =
      GenerateFaultSchedule(this->seed, this->length, kInstances);
  if (!this->StartFleet()) {
    return {"the fleet did not start"};
  }
  const TimePoint started_at = this->fleet.loop.Now();
  std::deque<Fault> pending(faults.begin(), faults.end());
  std::vector<Fault> active;
  const auto elapsed = [&] { return this->fleet.loop.Now() - started_at; };
  while (elapsed() < this->length || !active.empty()) {
    while (!pending.empty() && pending.front().at <= elapsed()) {
      Fault fault = pending.front();
      pending.pop_front();
      if (fault.target == kAggregatorTarget) {
        fault.target = this->FindAggregator();
      }
      std::cout << "fault=" << FaultName(fault.kind)
                << " time_ms=" << WallClockMilliseconds()
                << " at_ms=" << ToMilliseconds(fault.at)
                << " lasting_ms=" << ToMilliseconds(fault.duration)
                << " target=" << fault.target
                << " server=" << this->servers[SlotOf(fault)] << std::endl;
      this->Begin(fault);
      active.push_back(fault);
    }
    for (const Fault& fault : active) {
      if (IsStoreFault(fault.kind)) {
        this->observed.store_disturbed_at = this->fleet.loop.Now();
      } else if (fault.kind == FaultKind::kStorePathStalls) {
        RecordDisturbance(this->observed, fault.target, Disturbance::kAny,
                          this->fleet.loop.Now());
      }
      if (fault.at + fault.duration <= elapsed()) {
        this->End(fault);
      }
    }
    std::erase_if(active, [&](const Fault& fault) {
      return fault.at + fault.duration <= elapsed();
    });
    this->UpdateInstances();
    this->UpdateServers();
    this->SendToRandomInstance();
  }
  this->CheckRecovery();
  std::cout << "checked_departures=" << this->observed.checked_departures
            << " latest_arrival_ms="
            << ToMilliseconds(this->observed.latest_arrival)
            << " longest_hold_ms=" << ToMilliseconds(this->longest_hold)
            << std::endl;
  CheckRateLimit(this->observed, kKioskRateLimit);
  return this->observed.violations;
}

void SoakRun::KeepLogs(const std::string& directory) const {
  std::filesystem::create_directories(directory);
  for (int instance = 0; instance < kInstances; ++instance) {
    std::filesystem::copy(this->fleet.log_file(instance), directory,
                          std::filesystem::copy_options::overwrite_existing);
  }
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
    this->servers.push_back(server);
    this->AddServer(server);
  }
  this->loop_watch.StartRepeating(kLoopWatchInterval);
  for (int instance = 0; instance < kInstances; ++instance) {
    RecordDisturbance(this->observed, instance, Disturbance::kDown,
                      this->fleet.loop.Now());
  }
  this->observed.store_disturbed_at = this->fleet.loop.Now();
  this->fleet.RunFor(kWarmUp);
  return true;
}

void SoakRun::AddServer(int number) {
  this->fleet.AddServer(ServerName(number),
                        [this, number](const RawRequest& request) {
                          return this->Serve(number, request);
                        });
}

RawResponse SoakRun::Serve(int server, const RawRequest& request) {
  const std::string id = RawHeader(request.head, "Request-Id");
  if (id.empty()) {
    return {SignedOkResponse(request, "")};  // a health check
  }
  const ServerMode mode = this->server_modes[server % kServers];
  RecordArrival(this->observed, id, ServerName(server), this->turn_before_at);
  if (mode != ServerMode::kFails && this->RandomInt(1, 50) == 1) {
    return {MakeResponse(request, "503 Service Unavailable",
                         "Not-Executed: 1\r\n", "full")};
  }
  RecordRun(this->observed, id, this->fleet.loop.Now());
  ServerAnswer answer = this->MakeAnswer(server, id);
  if (mode == ServerMode::kResets) {
    return {"", ConnectionAction::kReset};
  }
  if (mode == ServerMode::kHangs) {
    return {""};
  }
  answer.is_whole = mode != ServerMode::kTruncatesResponses;
  RawResponse response = this->Encode(answer, id);
  if (!answer.is_whole) {
    response.bytes.resize(response.bytes.size() -
                          static_cast<std::size_t>(this->RandomInt(1, 4)));
    response.connection_action = ConnectionAction::kReset;
  }
  RecordAnswer(this->observed, id, std::move(answer));
  this->AddStrayBytes(response, server);
  response.delay = milliseconds(std::max(0, this->RandomInt(-50, 50)));
  return response;
}

ServerAnswer SoakRun::MakeAnswer(int server, const std::string& id) {
  const int draw =
      this->RandomInt(1, server % kServers == kRepeatingSlot ? 25 : 100);
  const bool fails =
      this->server_modes[server % kServers] == ServerMode::kFails || draw <= 4;
  const int size_draw = this->RandomInt(1, 100);
  const int size = size_draw <= 10   ? 0
                   : size_draw <= 85 ? this->RandomInt(1, 4'000)
                   : size_draw <= 95 ? this->RandomInt(4'000, 60'000)
                                     : this->RandomInt(60'000, 700'000);
  const std::string signature =
      "sig-" + id + "-" + std::to_string(this->next_answer++);
  const auto leaving =
      std::ranges::find(this->leaving_servers, server, &LeavingServer::number);
  return {.status = fails       ? 500
                    : draw <= 6 ? 404
                    : draw <= 8 ? 503
                                : 200,
          .signature = signature,
          .body = MakeBody(signature, size),
          .says_leaving =
              leaving != this->leaving_servers.end() && leaving->says_so,
          .server = ServerName(server)};
}

RawResponse SoakRun::Encode(const ServerAnswer& answer, const std::string& id) {
  const std::string head =
      "HTTP/1.1 " + std::to_string(answer.status) +
      " Some Reason\r\nServer: " + answer.server + "\r\nRequest-Id: " + id +
      "\r\nResponse-Signature: " + answer.signature + "\r\n" +
      (answer.says_leaving ? "Server-Leaving: 1\r\n" : "");
  const std::string interim =
      this->RandomInt(1, 12) == 1
          ? "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
          : "";
  const int framing = this->RandomInt(1, 100);
  if (framing <= 30) {
    return {interim + head + "Transfer-Encoding: chunked\r\n\r\n" +
            ToChunks(answer.body,
                     static_cast<std::size_t>(this->RandomInt(500, 20'000)))};
  }
  if (framing <= 40) {
    return {interim + head + "Connection: close\r\n\r\n" + answer.body,
            ConnectionAction::kClose};
  }
  return {interim + head + "Content-Length: " +
          std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body};
}

// Repeats the response, or a part of it, on a connection that is kept.
void SoakRun::AddStrayBytes(RawResponse& response, int server) {
  const int slot = server % kServers;
  const bool repeats_often =
      this->server_modes[slot] == ServerMode::kRepeatsResponses;
  const int percent = repeats_often            ? kOftenRepeatedPercent
                      : slot == kRepeatingSlot ? kRepeatedPercent
                                               : 0;
  const bool repeats = this->RandomInt(1, 100) <= percent;
  if (!repeats || response.connection_action != ConnectionAction::kKeep) {
    return;
  }
  const auto size = static_cast<int>(response.bytes.size());
  // Within the first lines, within the head or anywhere.
  const std::array ends = {40, 200, size};
  const auto cut = static_cast<std::size_t>(this->RandomInt(
      1,
      std::min(size, ends[static_cast<std::size_t>(this->RandomInt(0, 2))])));
  switch (this->RandomInt(0, 3)) {
    case 0:
      response.stray_bytes = response.bytes;
      break;
    case 1:
    case 2:
      response.stray_bytes = response.bytes.substr(0, cut);
      break;
    default:
      response.stray_bytes = response.bytes.substr(response.bytes.size() - cut);
  }
  // The last of these mostly passes with the next request.
  const std::array delays = {0, this->RandomInt(1, 300), 20'000, 20'000};
  response.stray_delay =
      milliseconds(delays[static_cast<std::size_t>(this->RandomInt(0, 3))]);
}

int SoakRun::RandomInt(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->random);
}

int SoakRun::FindAggregator() const {
  std::pair<int, long> best;  // rank of the role, and since when
  int found = 0;
  for (int instance = 0; instance < kInstances; ++instance) {
    if (this->instances[static_cast<std::size_t>(instance)].state !=
        InstanceState::kUp) {
      continue;
    }
    std::istringstream log(this->fleet.Log(instance));
    std::pair<int, long> role;
    for (std::string line; std::getline(log, line);) {
      const auto has = [&](const char* text) {
        return line.find(text) != std::string::npos;
      };
      if (has(" event=role ")) {
        role = {has(" aggregator=yes") ? 2
                : has(" standby=yes")  ? 1
                                       : 0,
                std::stol(line.substr(line.find('=') + 1))};
      }
    }
    if (role > best) {
      best = role;
      found = instance;
    }
  }
  return found;
}

void SoakRun::WatchOwnLoop() {
  const TimePoint now = this->fleet.loop.Now();
  const Duration hold = now - this->last_turn_at;
  if (this->last_turn_at != TimePoint()) {
    this->longest_hold = std::max(this->longest_hold, hold);
  }
  if (hold > kLongHold && this->last_turn_at != TimePoint()) {
    std::cout << "held_ms=" << ToMilliseconds(hold)
              << " time_ms=" << WallClockMilliseconds() << std::endl;
    this->observed.store_disturbed_at = now;
  }
  this->turn_before_at = std::exchange(this->last_turn_at, now);
}

void SoakRun::LetServerLeave(const Fault& fault) {
  int& current = this->servers[SlotOf(fault)];
  const int number = std::exchange(current, current + kServers);
  const std::string name = ServerName(number);
  this->AddServer(current);
  this->leaving_servers.push_back(
      {.number = number,
       .ends_at = this->fleet.loop.Now() + kServesWhileLeaving + fault.duration,
       .says_so = fault.kind == FaultKind::kServerTellsOfLeaving});
  if (fault.kind == FaultKind::kServerLeaves) {
    this->fleet.ListServer(name, "draining");
  } else if (fault.kind == FaultKind::kServerVanishes) {
    this->fleet.Drop("keyed.servers", name);
  } else {
    return;
  }
  RecordDeparture(this->observed, name, this->fleet.loop.Now());
}

void SoakRun::UpdateServers() {
  const TimePoint now = this->fleet.loop.Now();
  for (const auto& [number, until] : this->late_until) {
    this->observed.held_up_at[ServerName(number)] = now;
    if (now >= until) {
      this->fleet.server(ServerName(number)).ResumeAccepting();
    }
  }
  std::erase_if(this->late_until,
                [&](const auto& late) { return now >= late.second; });
  for (const int number : this->servers) {
    const auto drain = this->draining_until.find(number);
    if (drain != this->draining_until.end() && now >= drain->second) {
      this->draining_until.erase(drain);
      this->observed.departures.erase(ServerName(number));
      this->fleet.ListServer(ServerName(number), "ready");
    }
  }
  const auto has_ended = [&](const LeavingServer& server) {
    return now >= server.ends_at;
  };
  std::vector<LeavingServer> ending;
  std::ranges::copy_if(this->leaving_servers, std::back_inserter(ending),
                       has_ended);
  std::erase_if(this->leaving_servers, has_ended);
  for (const LeavingServer& server : ending) {
    this->late_until.erase(server.number);
    this->fleet.Drop("keyed.servers", ServerName(server.number));
    this->fleet.EndServer(ServerName(server.number));
  }
}

void SoakRun::Begin(const Fault& fault) {
  const int server = static_cast<int>(SlotOf(fault));
  const int number = this->servers[SlotOf(fault)];
  const std::string name = ServerName(number);
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
      this->server_modes[server] = ServerMode::kTruncatesResponses;
      return;
    case FaultKind::kServerRepeatsResponses:
      this->server_modes[server] = ServerMode::kRepeatsResponses;
      return;
    case FaultKind::kServerAcceptsLate:
      this->fleet.server(name).PauseAccepting();
      this->late_until[number] = this->fleet.loop.Now() + fault.duration;
      return;
    case FaultKind::kServerDrains:
      this->fleet.ListServer(name, "draining");
      RecordDeparture(this->observed, name, this->fleet.loop.Now());
      this->draining_until[number] = this->fleet.loop.Now() + fault.duration;
      return;
    case FaultKind::kServerLeaves:
    case FaultKind::kServerVanishes:
    case FaultKind::kServerTellsOfLeaving:
      this->LetServerLeave(fault);
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
  if (fault.kind == FaultKind::kStorePathStalls) {
    this->fleet.StallStoreConnections(instance, 1, this->random());
    return;
  }
  const auto query = queries.find(fault.kind);
  if (query != queries.end()) {
    const bool needs_number = query->second.back() == '=';
    this->fleet.SetStoreFault(query->second + (needs_number ? number : ""));
  }
}

void SoakRun::BeginOnInstance(const Fault& fault, int instance) {
  Instance& own = this->instances[static_cast<std::size_t>(instance)];
  if (own.state != InstanceState::kUp) {
    return;  // a process has only one fault at a time
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
    case FaultKind::kSlow:
      own.state = InstanceState::kSlow;
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
  const int server = static_cast<int>(SlotOf(fault));
  const std::string name = ServerName(this->servers[SlotOf(fault)]);
  switch (fault.kind) {
    case FaultKind::kServerFails:
    case FaultKind::kServerResets:
    case FaultKind::kServerHangs:
    case FaultKind::kServerTruncatesResponses:
    case FaultKind::kServerRepeatsResponses:
      this->server_modes[server] = ServerMode::kHealthy;
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
      return;  // faults of instances are ended by `UpdateInstances`
  }
}

void SoakRun::UpdateInstances() {
  const TimePoint now = this->fleet.loop.Now();
  for (int instance = 0; instance < kInstances; ++instance) {
    Instance& own = this->instances[static_cast<std::size_t>(instance)];
    const std::string name = "instance " + std::to_string(instance);
    ChildProcess& process = this->fleet.process(instance);
    switch (own.state) {
      case InstanceState::kUp:
        if (process.HasEnded()) {
          this->observed.violations.push_back(name + " exited unexpectedly");
          own.state = InstanceState::kDown;
        }
        break;
      case InstanceState::kLeaving:
        if (process.HasEnded()) {
          if (process.exit_code() != 0) {
            this->observed.violations.push_back(name +
                                                " shut down with an error");
          }
          own.state = InstanceState::kDown;
        } else if (now - own.leaving_since > kGracePeriod) {
          this->observed.violations.push_back(
              name + " exceeded the termination grace period");
          process.Kill();
          own.state = InstanceState::kDown;
        }
        break;
      case InstanceState::kSlow:
        // Runs in one turn of four.
        process.Signal(this->RandomInt(0, 3) == 0 ? SIGCONT : SIGSTOP);
        own.last_unavailable_at = now;
        break;
      case InstanceState::kDown:
      case InstanceState::kFrozen:
        own.last_unavailable_at = now;
        break;
    }
    if (own.state != InstanceState::kUp) {
      RecordDisturbance(this->observed, instance,
                        own.state == InstanceState::kDown ? Disturbance::kDown
                        : own.state == InstanceState::kLeaving
                            ? Disturbance::kAny
                            : Disturbance::kFrozen,
                        now);
    }
    if (now < own.back_at) {
      continue;
    }
    if (own.state == InstanceState::kDown) {
      this->fleet.StartGateway(instance);
      own.state = InstanceState::kUp;
    } else if (own.state == InstanceState::kFrozen ||
               own.state == InstanceState::kSlow) {
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
      own.state != InstanceState::kDown && own.state != InstanceState::kFrozen;
  if (is_running) {
    this->SendOne(instance);
    this->SendOne(instance);
  }
  this->fleet.RunFor(kRequestInterval);
}

void SoakRun::SendOne(int instance) {
  std::bernoulli_distribution coin(0.5);
  const std::string id = "soak-" + std::to_string(this->next_request++);
  const bool is_idempotent = coin(this->random);
  const bool is_rate_limited = this->RandomInt(1, 4) == 1;
  // On a reused connection the client itself may send a request twice, so only
  // idempotent requests use one.
  const ConnectionUse use = is_idempotent && coin(this->random)
                                ? ConnectionUse::kReusable
                                : ConnectionUse::kFresh;
  RecordSent(this->observed, id, is_idempotent, is_rate_limited, instance);
  ++this->in_flight;
  const TimePoint sent_at = this->fleet.loop.Now();
  this->fleet.SendAsync(
      instance, is_idempotent ? "GET" : "POST",
      is_idempotent ? "/safe/1" : "/once/1",
      [this, id, instance, sent_at, use](const BufferedResponse& response) {
        --this->in_flight;
        const TimePoint now = this->fleet.loop.Now();
        const Instance& own =
            this->instances[static_cast<std::size_t>(instance)];
        const bool is_complete =
            response.result.outcome == CallOutcome::kComplete;
        // A request on a kept connection that crosses the close of an instance
        // which exits is lost, if the instance has not passed it on.
        const bool has_crossed_close =
            use == ConnectionUse::kReusable &&
            own.state == InstanceState::kLeaving &&
            this->observed.requests[id].runs == 0 &&
            response.result.detail == "Couldn't connect to server";
        const bool was_unavailable =
            has_crossed_close || own.last_unavailable_at >= sent_at ||
            own.state == InstanceState::kDown ||
            own.state == InstanceState::kFrozen ||
            response.result.outcome == CallOutcome::kNeverSent;
        RecordCallerOutcome(
            this->observed, id,
            {.status = is_complete ? response.status : 0,
             .signature =
                 HeaderValueOrEmpty(response.headers, "Response-Signature"),
             .answered_id = HeaderValueOrEmpty(response.headers, "Request-Id"),
             .body = response.body,
             .was_instance_unavailable = was_unavailable,
             .is_late = now - sent_at > kLateAfter,
             .detail =
                 "instance " + std::to_string(instance) +
                 (own.state == InstanceState::kLeaving ? ", leaving, " : ", ") +
                 response.result.detail + ", " + Excerpt(response.headers)},
            now);
      },
      is_rate_limited ? "kiosk-key" : "shop-key", id, use);
}

void SoakRun::CheckRecovery() {
  this->fleet.Await([&] { return this->in_flight == 0; });
  const TimePoint deadline = this->fleet.loop.Now() + kRecoveryTime;
  this->fleet.SetStoreFault("up=all");
  for (int instance = 0; instance < kInstances; ++instance) {
    bool has_recovered = false;
    while (!has_recovered && this->fleet.loop.Now() < deadline) {
      this->UpdateInstances();
      this->UpdateServers();
      const std::string id = "soak-" + std::to_string(this->next_request++);
      RecordSent(this->observed, id, true, false, instance);
      has_recovered =
          this->fleet.Send(instance, "GET", "/safe/1", "shop-key", id).status ==
          200;
      this->fleet.RunFor(milliseconds(50));
    }
    if (!has_recovered) {
      this->observed.violations.push_back("instance " +
                                          std::to_string(instance) +
                                          " does not serve after the faults");
    }
  }
}

}  // namespace parsleyquay
