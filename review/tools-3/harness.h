#ifndef PARSLEYQUAY_REVIEW_TOOLS_3_HARNESS_H_
#define PARSLEYQUAY_REVIEW_TOOLS_3_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>

// What the review's cases share: the fleet's processes on loopback addresses,
// stand-ins for backend servers and clients, and the record of a run.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Returns whether the environment asks for the disruption (TROUBLE is not 0).
bool WantsDisruption();

// Writes record.txt, one line for each event with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  double Seconds() const;

 private:
  Clock::time_point began_at = Clock::now();
  std::mutex mutex;
  std::ofstream file;
};

// Writes a line for each request that a server has run.
class Backend;
void RecordRuns(Record& record, Backend& backend);

struct Response {
  int status = 0;  // 0: none arrived
  bool is_connected = false;
  std::string body;
};

// Connects, sends the bytes and reads one response.
Response Exchange(int port,
                  const std::string& bytes,
                  Milliseconds connect_timeout,
                  Milliseconds read_timeout);

// Opens a connection without waiting for it, and returns its descriptor.
int OpenConnection(int port);

// A request that a backend server has received.
struct Arrival {
  Clock::time_point at;
  std::string line;  // the request line
  std::map<std::string, std::string> headers;
  std::string server;
};

// A sound backend server with three slots: it runs each request and echoes its
// id. Further requests wait.
class Backend {
 public:
  Backend(std::string name, Milliseconds work);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  int port() const { return this->listening_port; }
  const std::string& name() const { return this->server_name; }
  std::vector<Arrival> Arrivals();  // without liveness checks
  void StayColdUntil(Clock::time_point until) { this->cold_until = until; }

 private:
  static constexpr int kSlots = 3;

  void Accept();
  void Serve(int connection);

  std::string server_name;
  Milliseconds work;
  int listener = -1;
  int listening_port = 0;
  std::counting_semaphore<> slots{kSlots};
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::vector<int> connections;
  std::vector<std::thread> threads;
  std::thread acceptor;
  std::atomic<bool> is_stopping = false;
  std::atomic<Clock::time_point> cold_until = Clock::time_point();
};

struct InstancePorts {
  int requests = 0;
  int readiness = 0;
  int directory = 0;
  int peers = 0;
  int metrics = 0;
  int store = 0;
};

struct FleetOptions {
  std::vector<std::string> failure_domains;  // one for each instance
  int memory_mb = 260;
  int descriptors = 4100;
};

// The stand-in store and the instances, as processes of their own. The
// destructor ends them.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts the store, publishes the configuration and starts the instances.
  // Returns whether all became ready.
  bool Start(const std::string& configuration);

  const InstancePorts& ports(std::size_t instance) const {
    return this->instances[instance];
  }
  std::size_t size() const { return this->instances.size(); }
  bool IsReady(std::size_t instance) const;
  bool IsRunning(std::size_t instance) const;
  std::string Log(std::size_t instance) const;

  // Writes a record as operators and servers do. Returns whether the store has
  // acknowledged it.
  bool Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  bool Drop(const std::string& topic, const std::string& key);
  bool SetStoreFault(const std::string& query);

  // Lists a ready server. Each call states the next sequence number.
  bool ListServer(const Backend& backend,
                  const std::string& service,
                  const std::string& failure_domain,
                  const std::string& cold_remaining);

 private:
  std::string RenderSettings(std::size_t instance) const;
  pid_t Spawn(const std::vector<std::string>& command,
              const std::string& log,
              const std::string& settings) const;

  FleetOptions options;
  std::string folder;
  std::vector<InstancePorts> instances;
  int control_port = 0;
  std::vector<pid_t> processes;  // the store first
  long sequence = 0;
};

// Renders parts of a configuration.
std::string RouteJson(const std::string& prefix,
                      const std::string& kind,
                      const std::string& service,
                      bool is_public);
std::string ServiceJson(const std::string& name);
std::string WorkspaceJson(const std::string& name, const std::string& key);
std::string LimitsJson();
std::string ConfigurationJson(int version,
                              const std::vector<std::string>& resources);

// Raises the process's own soft limit on descriptors. Returns whether `count`
// descriptors are available.
bool RaiseDescriptorLimit(std::size_t count);

// Waits until the condition holds. Returns whether it did in time.
bool Await(const std::function<bool()>& condition, Milliseconds timeout);

}  // namespace review

#endif  // PARSLEYQUAY_REVIEW_TOOLS_3_HARNESS_H_
