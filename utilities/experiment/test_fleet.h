#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_TEST_FLEET_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_TEST_FLEET_H_

#include <json/json.h>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "experiment/child_process.h"
#include "experiment/profile.h"
#include "experiment/run_records.h"
#include "operations/blocking_http_client.h"
#include "operations/publisher.h"

namespace parsleyquay {

struct FleetOptions {
  Profile profile = SmallProfile();
  // Time that a restarted backend server takes to reach its full capacity.
  int cold_start_ms = 3'000;
  int slots = 3;  // requests that a backend server works on concurrently
  long leave_delay_ms = 1'000;
  // Lists the first two instances as seeds in the settings of each instance.
  bool has_seed_addresses = false;
  int seed = 1;  // of the random choices of the stand-ins
};

// A fleet of real processes on loopback: the platform stand-in, a fault proxy
// for the links between instances and from instances to the platform, the
// backend server stand-ins, and entry instances. The destructor ends all
// processes and deletes their log files, unless PARSLEYQUAY_KEEP_LOGS is set.
class TestFleet {
 public:
  explicit TestFleet(FleetOptions options);
  ~TestFleet();

  // Starts all processes, publishes the declaration, issues one key for each
  // workspace and waits until all instances serve. Returns false if a step
  // fails or does not finish within 30 s.
  bool Start();

  BlockingHttpClient& http() { return this->client; }
  const Profile& profile() const { return this->options.profile; }
  std::string platform() const;
  std::string http_address(int instance) const;
  std::vector<std::string> http_addresses() const;
  const std::string& key(const std::string& workspace) const {
    return this->keys.at(workspace);
  }
  const std::string& key_id(const std::string& workspace) const {
    return this->key_ids.at(workspace);
  }

  // Sends one request to one instance and waits for the response. Sends the key
  // of `workspace` unless that is empty.
  BufferedResponse Send(int instance,
                        const std::string& method,
                        const std::string& target,
                        const std::string& workspace,
                        const HeaderList& headers = {});

  // Switch faults of the platform, the backend servers or the links; the head
  // of each stand-in's source file lists the parameters of `query`.
  void SetPlatformFault(const std::string& query);
  void SetServerFault(const std::string& query);
  void SetLinkFault(const std::string& query);
  // Cuts an instance off from all other instances and from the platform.
  void IsolateInstance(int instance);
  void HealInstance(int instance);

  void StartInstance(int instance);
  ChildProcess& instance(int index) { return *this->instances.at(index); }
  void KillInstance(int instance);

  // Replaces the platform's list of backend servers. `states` maps a server's
  // index to its state, "live" by default; "gone" leaves the server out.
  void PublishServers(const std::map<int, std::string>& states = {});

  // Publishes a change that is based on the newest state. Returns its offset,
  // or std::nullopt if it was not accepted.
  std::optional<std::uint64_t> PublishBody(RecordBody body);
  // Publishes a change that is based on `fleet` and returns its outcome.
  PublishResult TryPublish(FleetState fleet, RecordBody body);
  FleetState ReadState();

  Json::Value Status(int instance);
  std::map<std::string, double> Metrics(int instance);
  Json::Value ServerStats();
  std::vector<RunRecord> RunRecords();
  int server_count() const;
  std::vector<std::string> server_addresses() const;
  std::string DomainOfServer(int server) const;
  std::string DomainOfInstance(int instance) const;

  // Runs the event loop until `condition` holds or `timeout` has passed;
  // returns whether it holds.
  bool WaitFor(const std::function<bool()>& condition, Duration timeout);
  void RunFor(Duration time);

  // Returns the index of the instance that owns a shard of a workspace's rate
  // limit, or -1 if none does.
  int OwnerOfWorkspaceShard(const std::string& workspace, std::size_t shard);

  const std::filesystem::path& directory() const {
    return this->work_directory;
  }

 private:
  void StartStandIns();
  void WriteSettings(int instance);
  bool AreAllServing();
  int Port(int block, int index) const;
  std::string Address(int block, int index) const;

  FleetOptions options;
  std::filesystem::path work_directory;
  int base_port = 0;
  int port_lock = -1;
  BlockingHttpClient client;
  std::unique_ptr<ChildProcess> platform_process;
  std::unique_ptr<ChildProcess> faults_process;
  std::unique_ptr<ChildProcess> servers_process;
  std::map<int, std::unique_ptr<ChildProcess>> instances;
  std::map<std::string, std::string> keys;
  std::map<std::string, std::string> key_ids;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_TEST_FLEET_H_
