#include "support/gateway_processes.h"

#include <json/json.h>
#include <unistd.h>

#include <fstream>
#include <optional>
#include <sstream>

#include "support/await.h"

namespace parsleyquay {

namespace {

std::string Binary(const std::string& path) {
  return std::string(PARSLEYQUAY_BINARY_DIR) + "/" + path;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

GatewayProcesses::GatewayProcesses(int count,
                                   bool relays_store,
                                   std::string instance_settings,
                                   std::string further_sections)
    : work_directory(std::filesystem::temp_directory_path() /
                     ("parsleyquay-gateways-" + std::to_string(getpid()) + "-" +
                      std::to_string(reinterpret_cast<std::uintptr_t>(this)))),
      relays_store(relays_store),
      instance_settings(std::move(instance_settings)),
      further_sections(std::move(further_sections)) {
  std::filesystem::create_directories(this->work_directory);
  for (int i = 0; i < count; ++i) {
    this->store_addresses.push_back(FreeAddress());
  }
  this->gateways.resize(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    this->WriteSettings(this->gateways[i], i);
  }
}

GatewayProcesses::~GatewayProcesses() {
  this->gateways.clear();
  this->store.reset();
  std::error_code ignored;  // a leftover directory does no harm
  std::filesystem::remove_all(this->work_directory, ignored);
}

void GatewayProcesses::WriteSettings(GatewayProcess& gateway,
                                     std::size_t index) {
  gateway.name = "g-" + std::to_string(index);
  gateway.request_address = FreeAddress();
  gateway.readiness_address = FreeAddress();
  gateway.directory_address = FreeAddress();
  gateway.metrics_address = FreeAddress();
  gateway.settings_file = this->work_directory / (gateway.name + ".ini");
  std::ofstream file(gateway.settings_file);
  file << "[instance]\nname = " << gateway.name << "\nfailure_domain = x\n"
       << this->instance_settings
       << "[listen]\nrequests = " << gateway.request_address
       << "\nreadiness = " << gateway.readiness_address
       << "\ndirectory = " << gateway.directory_address
       << "\npeers = " << FreeAddress()
       << "\nmetrics = " << gateway.metrics_address
       << "\n[store]\naddress = " << this->StoreAddress(gateway, index)
       << "\nduty_count = 12\nshortest_lease = 1000ms\n"
          "[bounds]\ngrace = 4s\naddress_lifetime = 5s\nretry_ratio = 0.2\n"
          "retry_slack = 50\nretry_window = 10s\nallowance_window = 5s\n"
          "allowance_overshoot = 0.1\nallowance_slack = 20\n"
          "cold_overshoot = 1.5\ncold_slack = 5\n"
       << this->further_sections;
}

std::string GatewayProcesses::StoreAddress(GatewayProcess& gateway,
                                           std::size_t index) {
  const std::string& store_address = this->store_addresses[index];
  if (!this->relays_store) {
    return store_address;
  }
  std::string relay_address = FreeAddress();
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            gateway.store_relay,
            TcpRelay::Create(this->loop, relay_address, store_address));
        return {};
      },
      [](const Error& error) { throw std::runtime_error(ToString(error)); });
  return relay_address;
}

bool GatewayProcesses::Start(const std::string& configuration) {
  std::string listen;
  for (const std::string& address : this->store_addresses) {
    listen += (listen.empty() ? "" : ",") + address;
  }
  this->store = std::make_unique<ChildProcess>(
      std::vector<std::string>{Binary("utilities/standins/standin-store"),
                               "--listen=" + listen},
      (this->work_directory / "store.log").string());
  const bool is_up = this->Await([&] {
    return this->Get(this->store_addresses[0],
                     "/api/log-newest?topic=keyed.op&part=0")
               .status == 200;
  });
  if (!is_up) {
    return false;
  }
  this->Put("keyed.op", "config", configuration);
  const int count = static_cast<int>(this->gateways.size());
  for (int i = 0; i < count; ++i) {
    this->StartGateway(i);
  }
  return this->Await([&] {
    for (int i = 0; i < count; ++i) {
      if (!this->IsReady(i)) {
        return false;
      }
    }
    return true;
  });
}

void GatewayProcesses::StartGateway(int index) {
  GatewayProcess& gateway = this->gateways[static_cast<std::size_t>(index)];
  gateway.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{Binary("services/parsleyquay-gateway"),
                               "--settings=" + gateway.settings_file},
      this->log_file(index));
}

void GatewayProcesses::Put(const std::string& topic,
                           const std::string& key,
                           const std::string& value) {
  this->Control("put=" + topic + "&key=" + key, value);
}

void GatewayProcesses::Drop(const std::string& topic, const std::string& key) {
  this->Control("drop=" + topic + "&key=" + key);
}

void GatewayProcesses::SetStoreFault(const std::string& query) {
  this->Control(query);
}

std::vector<int> GatewayProcesses::CountReads(const std::string& topic) {
  Json::Value counts;
  std::istringstream(this->Control("reads=" + topic)) >> counts;
  std::vector<int> reads;
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    reads.push_back(counts.get(std::to_string(i), 0).asInt());
  }
  return reads;
}

std::string GatewayProcesses::Metrics(int gateway) {
  return this
      ->Get(this->gateways[static_cast<std::size_t>(gateway)].metrics_address,
            "/metrics")
      .body;
}

std::string GatewayProcesses::Control(const std::string& query,
                                      const std::string& body) {
  std::optional<BufferedResponse> response;
  this->client.Fetch(
      {.method = "POST",
       .address = this->store_addresses[0],
       .target = "/control?" + query},
      body, [&](const BufferedResponse& result) { response = result; });
  this->Await([&] { return response.has_value(); });
  return response.value_or(BufferedResponse{}).body;
}

ScriptedServer& GatewayProcesses::AddServer(const std::string& id,
                                            ScriptedServer::Script script) {
  this->servers[id] =
      std::make_unique<ScriptedServer>(this->loop, std::move(script));
  this->ListServer(id, "ready");
  return *this->servers[id];
}

void GatewayProcesses::ListServer(const std::string& id,
                                  const std::string& state) {
  this->Put("keyed.servers", id,
            R"({"service":"work","address":")" + this->servers[id]->address() +
                R"(","zone":"x","version":"v1","slots":3,"state":")" + state +
                R"(","cold_remaining":"0ms","seq":)" +
                std::to_string(this->next_sequence++) + "}");
}

CallRequest GatewayProcesses::MakeRequest(int gateway,
                                          const std::string& method,
                                          const std::string& target,
                                          const std::string& key,
                                          const std::string& id) const {
  return {.method = method,
          .address =
              this->gateways[static_cast<std::size_t>(gateway)].request_address,
          .target = target,
          .headers = {{"Host", "a.example"},
                      {"Request-Id", id},
                      {"Request-Deadline", "1500"},
                      {"Authorization", "Bearer " + key}},
          .connection_use = ConnectionUse::kFresh,
          .total_timeout = seconds(5)};
}

BufferedResponse GatewayProcesses::Send(int gateway,
                                        const std::string& method,
                                        const std::string& target,
                                        const std::string& key,
                                        const std::string& id) {
  std::optional<BufferedResponse> response;
  this->client.Fetch(
      this->MakeRequest(gateway, method, target, key, id),
      method == "POST" ? "body" : "",
      [&](const BufferedResponse& result) { response = result; });
  this->Await([&] { return response.has_value(); });
  return response.value_or(BufferedResponse{});
}

void GatewayProcesses::SendAsync(
    int gateway,
    const std::string& method,
    const std::string& target,
    std::function<void(const BufferedResponse&)> on_response,
    const std::string& key,
    const std::string& id,
    ConnectionUse connection_use) {
  CallRequest request = this->MakeRequest(gateway, method, target, key, id);
  request.connection_use = connection_use;
  this->client.Fetch(std::move(request), method == "POST" ? "body" : "",
                     std::move(on_response));
}

BufferedResponse GatewayProcesses::Get(const std::string& address,
                                       const std::string& target) {
  std::optional<BufferedResponse> response;
  this->client.Fetch(
      {.address = address,
       .target = target,
       .connection_use = ConnectionUse::kFresh,
       .total_timeout = seconds(1)},
      "", [&](const BufferedResponse& result) { response = result; });
  this->Await([&] { return response.has_value(); });
  return response.value_or(BufferedResponse{});
}

bool GatewayProcesses::IsReady(int gateway) {
  return this->Get(this->gateways[static_cast<std::size_t>(gateway)]
                       .readiness_address,
                   "/api/ready")
             .status == 200;
}

std::string GatewayProcesses::ResolveAddresses(int gateway) {
  return this
      ->Get(this->gateways[static_cast<std::size_t>(gateway)].directory_address,
            "/api/resolve?name=a.example&region=r&zone=x")
      .body;
}

std::string GatewayProcesses::log_file(int gateway) const {
  return (this->work_directory /
          (this->gateways[static_cast<std::size_t>(gateway)].name + ".log"))
      .string();
}

std::string GatewayProcesses::Log(int gateway) const {
  return ReadFile(this->log_file(gateway));
}

bool GatewayProcesses::Await(const std::function<bool()>& condition,
                             Duration timeout) {
  return RunLoopUntil(this->loop, condition, timeout);
}

void GatewayProcesses::RunFor(Duration duration) {
  this->Await([] { return false; }, duration);
}

}  // namespace parsleyquay
