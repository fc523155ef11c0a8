#include "experiment/test_fleet.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "base/random_id.h"
#include "experiment/port_range.h"
#include "fleet/record_codec.h"
#include "limits/shard_takeover.h"
#include "operations/fleet_reader.h"

namespace parsleyquay {

namespace {

// Blocks of ports, each of kBlockPorts, from the fleet's first port on.
constexpr int kBlockPorts = 64;
constexpr int kControlBlock = 0;
constexpr int kHttpBlock = 1;
constexpr int kRealPeerBlock = 2;
constexpr int kAdvertisedPeerBlock = 3;
constexpr int kLogBlock = 4;
constexpr int kServerBlock = 5;
constexpr int kPlatformPlace = 0;
constexpr int kFaultsPlace = 1;

constexpr std::size_t kIdBytes = 8;
constexpr Duration kStartPatience = seconds(30);

std::string Binary(const std::string& path) {
  return std::string(PARSLEYQUAY_BINARY_DIR) + "/" + path;
}

}  // namespace

TestFleet::TestFleet(FleetOptions options) : options(std::move(options)) {
  const PortRange range = ReservePortRange();
  this->base_port = range.base;
  this->port_lock = range.lock_descriptor;
  if (sodium_init() < 0) {
    std::abort();
  }
  this->work_directory = std::filesystem::temp_directory_path() /
                         ("parsleyquay-" + RandomHex(kIdBytes));
  std::filesystem::create_directories(this->work_directory);
}

TestFleet::~TestFleet() {
  this->instances.clear();
  this->servers_process.reset();
  this->faults_process.reset();
  this->platform_process.reset();
  close(this->port_lock);
  if (!std::getenv("PARSLEYQUAY_KEEP_LOGS")) {
    std::filesystem::remove_all(this->work_directory);
  }
}

int TestFleet::Port(int block, int index) const {
  return this->base_port + block * kBlockPorts + index;
}

std::string TestFleet::Address(int block, int index) const {
  return "127.0.0.1:" + std::to_string(this->Port(block, index));
}

std::string TestFleet::platform() const {
  return this->Address(kControlBlock, kPlatformPlace);
}

std::string TestFleet::http_address(int instance) const {
  return this->Address(kHttpBlock, instance);
}

std::vector<std::string> TestFleet::http_addresses() const {
  std::vector<std::string> addresses;
  for (int i = 0; i < this->options.profile.instances; ++i) {
    addresses.push_back(this->http_address(i));
  }
  return addresses;
}

int TestFleet::server_count() const {
  int count = 0;
  for (const ProfileService& service : this->options.profile.services) {
    count += service.servers;
  }
  return count;
}

std::vector<std::string> TestFleet::server_addresses() const {
  std::vector<std::string> addresses;
  for (int i = 0; i < this->server_count(); ++i) {
    addresses.push_back(this->Address(kServerBlock, i));
  }
  return addresses;
}

std::string TestFleet::DomainOfServer(int server) const {
  return "domain-" +
         std::to_string(server % this->options.profile.failure_domains);
}

std::string TestFleet::DomainOfInstance(int instance) const {
  return "domain-" +
         std::to_string(instance % this->options.profile.failure_domains);
}

void TestFleet::StartStandIns() {
  const auto log = [&](const std::string& name) {
    return (this->work_directory / (name + ".log")).string();
  };
  const auto number = [](auto value) { return std::to_string(value); };
  const Profile& profile = this->options.profile;
  this->platform_process = std::make_unique<ChildProcess>(
      std::vector<std::string>{Binary("utilities/standins/standin-platform"),
                               "--listen=" + this->platform()},
      log("platform"));
  this->faults_process = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Binary("utilities/standins/standin-faults"),
          "--control=" + this->Address(kControlBlock, kFaultsPlace),
          "--count=" + number(profile.instances),
          "--first_peer_port=" + number(this->Port(kAdvertisedPeerBlock, 0)),
          "--first_real_port=" + number(this->Port(kRealPeerBlock, 0)),
          "--first_log_port=" + number(this->Port(kLogBlock, 0)),
          "--platform=" + this->platform(),
          "--delay_ms=" + number(profile.instance_delay_ms),
          "--seed=" + number(this->options.seed)},
      log("faults"));
  this->servers_process = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Binary("utilities/standins/standin-backend"),
          "--first_port=" + number(this->Port(kServerBlock, 0)),
          "--count=" + number(this->server_count()),
          "--work_ms=" + number(profile.work_ms),
          "--noise=" + number(profile.work_time_spread),
          "--slots=" + number(this->options.slots),
          "--cold_ms=" + number(this->options.cold_start_ms),
          "--seed=" + number(this->options.seed)},
      log("servers"));
}

void TestFleet::WriteSettings(int instance) {
  std::ofstream file(this->work_directory /
                     ("entry-" + std::to_string(instance) + ".ini"));
  file << "[instance]\nname = entry-" << instance
       << "\nfailure_domain = " << this->DomainOfInstance(instance)
       << "\nhttp = " << this->http_address(instance)
       << "\npeer = " << this->Address(kRealPeerBlock, instance)
       << "\nadvertised_peer = "
       << this->Address(kAdvertisedPeerBlock, instance)
       << "\nleave_delay_ms = " << this->options.leave_delay_ms
       << "\n[fleet]\nplatform = " << this->Address(kLogBlock, instance)
       << "\nkey = a-fleet-key-for-tests\n";
  if (this->options.has_seed_addresses) {
    file << "seeds = " << this->http_address(0) << ' ' << this->http_address(1)
         << '\n';
  }
}

void TestFleet::StartInstance(int instance) {
  this->WriteSettings(instance);
  const std::string name = "entry-" + std::to_string(instance);
  this->instances[instance] = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Binary("services/parsleyquay-entry"),
          "--settings=" + (this->work_directory / (name + ".ini")).string()},
      (this->work_directory / (name + ".log")).string());
}

void TestFleet::KillInstance(int instance) {
  this->instances.at(instance)->Kill();
}

bool TestFleet::Start() {
  this->StartStandIns();
  const bool are_up = this->WaitFor(
      [&] {
        return this->client.Get(this->platform(), "/log?from=0").is_ok() &&
               this->client.Get(this->Address(kServerBlock, 0), "/health")
                   .is_ok() &&
               this->client.Get(this->Address(kControlBlock, kFaultsPlace), "/")
                       .status == 200;
      },
      kStartPatience);
  if (!are_up) {
    return false;
  }
  this->PublishServers();
  const Declaration declaration =
      ParseDeclaration(DeclarationText(this->options.profile)).declaration;
  if (!this->PublishBody(DeclarationChange{0, FindChanges({}, declaration)})) {
    return false;
  }
  for (const ProfileWorkspace& workspace : this->options.profile.workspaces) {
    const std::string secret = RandomHex(kIdBytes * 2);
    const std::string id = RandomHex(kIdBytes);
    this->keys[workspace.name] = secret;
    this->key_ids[workspace.name] = id;
    if (!this->PublishBody(
            KeyIssuance{id, SecretDigest(secret), workspace.name})) {
      return false;
    }
  }
  for (int i = 0; i < this->options.profile.instances; ++i) {
    this->StartInstance(i);
  }
  return this->WaitFor([&] { return this->AreAllServing(); }, kStartPatience);
}

bool TestFleet::AreAllServing() {
  for (int i = 0; i < this->options.profile.instances; ++i) {
    const Json::Value status = this->Status(i);
    const bool is_serving =
        status["is_current"].asBool() &&
        status["members"].asInt() == this->options.profile.instances &&
        status["are_earlier_rights_lapsed"].asBool();
    if (!is_serving) {
      return false;
    }
  }
  return true;
}

BufferedResponse TestFleet::Send(int instance,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& workspace,
                                 const HeaderList& headers) {
  CallRequest request;
  request.method = method;
  request.address = this->http_address(instance);
  request.target = target;
  request.headers = headers;
  request.connection_use = ConnectionUse::kFresh;
  if (!workspace.empty()) {
    request.headers.push_back(
        {"Authorization", "Bearer " + this->keys.at(workspace)});
  }
  request.total_timeout = seconds(30);
  return this->client.Fetch(std::move(request));
}

void TestFleet::SetPlatformFault(const std::string& query) {
  CallRequest request;
  request.method = "POST";
  request.address = this->platform();
  request.target = "/control?" + query;
  this->client.Fetch(std::move(request));
}

void TestFleet::SetServerFault(const std::string& query) {
  CallRequest request;
  request.method = "POST";
  request.address = this->Address(kServerBlock, 0);
  request.target = "/control?" + query;
  this->client.Fetch(std::move(request));
}

void TestFleet::SetLinkFault(const std::string& query) {
  CallRequest request;
  request.method = "POST";
  request.address = this->Address(kControlBlock, kFaultsPlace);
  request.target = "/control?" + query;
  this->client.Fetch(std::move(request));
}

void TestFleet::IsolateInstance(int instance) {
  const std::string name = std::to_string(instance);
  this->SetLinkFault("cut=" + name + ":*");
  this->SetLinkFault("cut=*:" + name);
  this->SetLinkFault("log_cut=" + name);
}

void TestFleet::HealInstance(int instance) {
  const std::string name = std::to_string(instance);
  this->SetLinkFault("heal=" + name + ":*");
  this->SetLinkFault("heal=*:" + name);
  this->SetLinkFault("log_heal=" + name);
}

void TestFleet::PublishServers(const std::map<int, std::string>& states) {
  Json::Value json;
  json["instances"] = Json::arrayValue;
  int index = 0;
  for (const ProfileService& service : this->options.profile.services) {
    for (int i = 0; i < service.servers; ++i, ++index) {
      const auto state = states.find(index);
      if (state != states.end() && state->second == "gone") {
        continue;
      }
      Json::Value item;
      item["name"] = "server-" + std::to_string(index);
      item["service"] = service.name;
      item["address"] = this->Address(kServerBlock, index);
      item["domain"] = this->DomainOfServer(index);
      item["state"] = state == states.end() ? "live" : state->second;
      item["slots"] = this->options.slots;
      json["instances"].append(item);
    }
  }
  CallRequest request;
  request.method = "POST";
  request.address = this->platform();
  request.target = "/instances";
  this->client.Fetch(std::move(request), ToCompactText(json));
}

FleetState TestFleet::ReadState() {
  FleetState state;
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(state,
                          ReadFleetState(this->client, this->platform()));
        return {};
      },
      [](const Error&) {});
  return state;
}

PublishResult TestFleet::TryPublish(FleetState fleet, RecordBody body) {
  PublishResult result;
  const Record record{RandomHex(kIdBytes), "test", std::move(body)};
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(result, Publish(this->client, this->platform(),
                                          std::move(fleet), record));
        return {};
      },
      [&](const Error& error) { result.reason = ToString(error); });
  return result;
}

std::optional<std::uint64_t> TestFleet::PublishBody(RecordBody body) {
  FleetState fleet = this->ReadState();
  if (auto* change = std::get_if<DeclarationChange>(&body)) {
    change->base = fleet.next_offset;
  }
  if (auto* change = std::get_if<DomainChange>(&body)) {
    change->base = fleet.next_offset;
  }
  const PublishResult result =
      this->TryPublish(std::move(fleet), std::move(body));
  return result.status == PublishStatus::kAccepted
             ? std::optional(result.offset)
             : std::nullopt;
}

Json::Value TestFleet::Status(int instance) {
  const BufferedResponse response =
      this->client.Get(this->http_address(instance), "/.parsleyquay/status");
  const auto json = ParseJson(response.body);
  return response.is_ok() && json ? *json : Json::Value(Json::objectValue);
}

std::map<std::string, double> TestFleet::Metrics(int instance) {
  const BufferedResponse response =
      this->client.Get(this->http_address(instance), "/.parsleyquay/metrics");
  std::istringstream lines(response.body);
  std::map<std::string, double> metrics;
  std::string line;
  while (std::getline(lines, line)) {
    const auto blank = line.find(' ');
    if (!line.starts_with('#') && blank != std::string::npos) {
      metrics[line.substr(0, blank)] = std::stod(line.substr(blank + 1));
    }
  }
  return metrics;
}

Json::Value TestFleet::ServerStats() {
  const BufferedResponse response =
      this->client.Get(this->Address(kServerBlock, 0), "/stats");
  return ParseJson(response.body).value_or(Json::Value());
}

std::vector<RunRecord> TestFleet::RunRecords() {
  const BufferedResponse response =
      this->client.Get(this->Address(kServerBlock, 0), "/records");
  return ParseRunRecords(response.body);
}

bool TestFleet::WaitFor(const std::function<bool()>& condition,
                        Duration patience) {
  constexpr Duration kPause = milliseconds(50);
  const TimePoint give_up_at = this->client.Now() + patience;
  while (!condition()) {
    if (this->client.Now() >= give_up_at) {
      return false;
    }
    this->RunFor(kPause);
  }
  return true;
}

void TestFleet::RunFor(Duration time) {
  this->client.RunUntil([] { return false; }, time);
}

int TestFleet::OwnerOfWorkspaceShard(const std::string& workspace,
                                     std::size_t share) {
  const std::string owner =
      FindShardOwner(this->ReadState().view, ShardKey(workspace, share));
  return owner.starts_with("entry-") ? std::stoi(owner.substr(6)) : -1;
}

}  // namespace parsleyquay
