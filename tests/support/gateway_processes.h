#ifndef PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_PROCESSES_H_
#define PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_PROCESSES_H_

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event/timer.h"
#include "experiment/child_process.h"
#include "http/http_client.h"
#include "support/scripted_server.h"
#include "tcp_relay.h"

namespace parsleyquay {

// Runs gateways and the store stand-in as processes on loopback, and scripted
// backend servers in this process. The destructor ends all of them.
class GatewayProcesses {
 public:
  // With `relays_store`, each gateway reaches the store through a TcpRelay.
  // `instance_settings` are further lines for [instance] of the settings,
  // `further_sections` are sections to append.
  explicit GatewayProcesses(int count,
                            bool relays_store = false,
                            std::string instance_settings = "",
                            std::string further_sections = "");
  ~GatewayProcesses();

  // Starts the store, publishes the configuration and starts all gateways.
  // Returns whether all of them became ready in time.
  bool Start(const std::string& configuration);

  void StartGateway(int index);
  int count() const { return static_cast<int>(this->gateways.size()); }
  ChildProcess& process(int index) {
    return *this->gateways[static_cast<std::size_t>(index)].process;
  }

  // Write a record to the store, or remove one, as operators and servers do.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& topic, const std::string& key);
  // Stalls a random share of the gateway's open connections to the store.
  void StallStoreConnections(int gateway, double share, std::uint64_t seed) {
    this->gateways[static_cast<std::size_t>(gateway)]
        .store_relay->StallOpenConnections(share, seed);
  }
  // Changes the faults of the store, see StoreModel.
  void SetStoreFault(const std::string& query);
  // Returns how many reads of the topic have arrived at the store, for each
  // gateway.
  std::vector<int> CountReads(const std::string& topic);
  std::string Metrics(int gateway);

  ScriptedServer& AddServer(const std::string& id,
                            ScriptedServer::Script script);
  void ListServer(const std::string& id, const std::string& state);
  // Ends a server. Its entry in the store's list stays.
  void EndServer(const std::string& id) { this->servers.erase(id); }
  ScriptedServer& server(const std::string& id) { return *this->servers[id]; }

  BufferedResponse Send(int gateway,
                        const std::string& method,
                        const std::string& target,
                        const std::string& key = "shop-key",
                        const std::string& id = "r-1");
  // Sends a request without waiting for its completion.
  void SendAsync(int gateway,
                 const std::string& method,
                 const std::string& target,
                 std::function<void(const BufferedResponse&)> on_response,
                 const std::string& key = "shop-key",
                 const std::string& id = "r-1",
                 ConnectionUse connection_use = ConnectionUse::kFresh);
  BufferedResponse Get(const std::string& address, const std::string& target);
  bool IsReady(int gateway);
  std::string ResolveAddresses(int gateway);
  std::string Log(int gateway) const;
  std::string log_file(int gateway) const;
  const std::string& request_address(int gateway) const {
    return this->gateways[static_cast<std::size_t>(gateway)].request_address;
  }
  const std::string& readiness_address(int gateway) const {
    return this->gateways[static_cast<std::size_t>(gateway)].readiness_address;
  }
  const std::string& directory_address(int gateway) const {
    return this->gateways[static_cast<std::size_t>(gateway)].directory_address;
  }
  const std::string& metrics_address(int gateway) const {
    return this->gateways[static_cast<std::size_t>(gateway)].metrics_address;
  }

  bool Await(const std::function<bool()>& condition,
             Duration timeout = seconds(10));
  void RunFor(Duration duration);

  EventLoop loop;
  HttpClient client{loop};

 private:
  struct GatewayProcess {
    std::string name;
    std::string request_address;
    std::string readiness_address;
    std::string directory_address;
    std::string metrics_address;
    std::string settings_file;
    std::unique_ptr<TcpRelay> store_relay;
    std::unique_ptr<ChildProcess> process;
  };

  void WriteSettings(GatewayProcess& gateway, std::size_t index);
  // Returns the body of the response.
  std::string Control(const std::string& query, const std::string& body = "");
  CallRequest MakeRequest(int gateway,
                          const std::string& method,
                          const std::string& target,
                          const std::string& key,
                          const std::string& id) const;

  std::string StoreAddress(GatewayProcess& gateway, std::size_t index);

  std::filesystem::path work_directory;
  bool relays_store = false;
  std::string instance_settings;
  std::string further_sections;
  std::vector<std::string> store_addresses;
  std::unique_ptr<ChildProcess> store;
  std::vector<GatewayProcess> gateways;
  std::map<std::string, std::unique_ptr<ScriptedServer>> servers;
  long next_sequence = 1;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_PROCESSES_H_
