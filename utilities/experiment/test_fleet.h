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
  int cold_start_ms = 3'000;  // of a backend server
  int slots = 3;
  long leave_delay_ms = 1'000;
  bool has_seed_addresses = false;
  int seed = 1;
};

// A fleet of real processes on loopback: the platform stand-in, the fault
// proxy between instances and before the platform, backend server stand-ins
// and entry instances. Ends all of them with itself.
class TestFleet {
 public:
  explicit TestFleet(FleetOptions options);
  ~TestFleet();

  // Starts everything, publishes the declaration, issues one key for each
  // workspace and waits until all instances serve. Returns whether they do.
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

  // One request to one instance.
  BufferedResponse Send(int instance,
                        const std::string& method,
                        const std::string& target,
                        const std::string& workspace,
                        const HeaderList& headers = {});

  // Switches faults; see the stand-ins for the words.
  void SetPlatformFault(const std::string& query);
  void SetServerFault(const std::string& query);
  void SetLinkFault(const std::string& query);
  void IsolateInstance(int instance);
  void HealInstance(int instance);

  void StartInstance(int instance);
  ChildProcess& instance(int index) { return *this->instances.at(index); }
  void KillInstance(int instance);

  // Puts the list of servers on the platform, with some in another state.
  void PublishServers(const std::map<int, std::string>& states = {});

  // Publishes a change and expects it to be accepted; returns its offset.
  std::optional<std::uint64_t> PublishBody(RecordBody body);
  // The same without a check on what became of it.
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

  // Serves the loop until the condition holds or the time is up.
  bool WaitFor(const std::function<bool()>& condition, Duration patience);
  void RunFor(Duration time);

  // Instance that is home of a share of a workspace; -1 when none is.
  int OwnerOfWorkspaceShard(const std::string& workspace, std::size_t share);

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
