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

namespace parsleyquay {

// Gateways as real processes on loopback, the store stand-in as another, and
// backend servers scripted in this process. Ends all that it started.
class GatewayProcesses {
 public:
  explicit GatewayProcesses(int count);
  ~GatewayProcesses();

  // Starts the store, publishes the configuration and starts all gateways.
  // Returns whether they became ready.
  bool Start(const std::string& configuration);

  void StartGateway(int index);
  int count() const { return static_cast<int>(this->gateways.size()); }
  ChildProcess& process(int index) {
    return *this->gateways[static_cast<std::size_t>(index)].process;
  }

  // Writes a record into the store, as operators and servers do.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& topic, const std::string& key);
  void SetStoreFault(const std::string& query);

  ScriptedServer& AddServer(const std::string& id,
                            ScriptedServer::Script script);
  void ListServer(const std::string& id, const std::string& state);

  BufferedResponse Send(int gateway,
                        const std::string& method,
                        const std::string& target,
                        const std::string& key = "shop-key",
                        const std::string& id = "r-1");
  // The same, without waiting for the end.
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
    return this->gateways[static_cast<std::size_t>(gateway)].requests;
  }

  bool Await(const std::function<bool()>& condition,
             Duration patience = seconds(10));
  void RunFor(Duration duration);

  EventLoop loop;
  HttpClient client{loop};

 private:
  struct GatewayProcess {
    std::string name;
    std::string requests;
    std::string readiness;
    std::string directory;
    std::string settings_file;
    std::unique_ptr<ChildProcess> process;
  };

  void WriteSettings(GatewayProcess& gateway, std::size_t index);
  void Control(const std::string& query, const std::string& body = "");
  CallRequest MakeRequest(int gateway,
                          const std::string& method,
                          const std::string& target,
                          const std::string& key,
                          const std::string& id) const;

  std::filesystem::path folder;
  std::vector<std::string> store_addresses;
  std::unique_ptr<ChildProcess> store;
  std::vector<GatewayProcess> gateways;
  std::map<std::string, std::unique_ptr<ScriptedServer>> servers;
  long next_sequence = 1;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_PROCESSES_H_
