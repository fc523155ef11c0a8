#ifndef PARSLEYQUAY_REVIEW_FLEET_H_
#define PARSLEYQUAY_REVIEW_FLEET_H_

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "wire.h"

namespace review {

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCannotRun = 2;

// Returns whether the case is to run with its disruption: unless TROUBLE is 0.
bool HasTrouble();

// The file record.txt of a case. Its functions may be called by any thread.
class Record {
 public:
  explicit Record(const std::string& path);

  // Writes a line with the milliseconds since the start of the case.
  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point started_at = Clock::now();
};

// A process that ends with this object, or with the process that started it.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command,
               const std::string& environment,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  bool HasEnded();

 private:
  pid_t process = -1;
  bool has_ended = false;
};

struct Instance {
  std::string name;
  std::string request_address;
  std::string readiness_address;
  std::string settings_file;
  std::unique_ptr<ChildProcess> process;
};

// A small deployment on loopback: the store stand-in, and instances started
// with the command of the deploy file and with settings from its template.
class Fleet {
 public:
  // `root` is the repository, and `work_folder` an existing, empty folder.
  Fleet(const std::string& root, const std::string& work_folder);

  // Starts the store. Returns false if it does not respond.
  bool StartStore();

  // Publishes `resources`, the resources of a configuration as JSON.
  void Configure(int version, const std::vector<std::string>& resources);

  // Writes the entry of a backend server, as that server would.
  void ListServer(const std::string& id,
                  const std::string& service,
                  const std::string& address);

  // Removes that entry.
  void RemoveServer(const std::string& id);

  // Starts instances and waits until they are ready.
  bool StartInstances(int count);

  // Starts an instance again that has ended.
  void RestartInstance(std::size_t index) { this->StartInstance(index); }

  Instance& instance(std::size_t index) { return this->instances.at(index); }

 private:
  void StartInstance(std::size_t index);
  std::string Settings(Instance& instance) const;

  std::string root;
  std::string work_folder;
  std::string store_address;
  std::unique_ptr<ChildProcess> store;
  std::vector<Instance> instances;
  int next_sequence = 1;
};

// Resources of a configuration, as in the examples of the users' pages.
std::string RouteResource(const std::string& name,
                          const std::string& kind,
                          const std::string& service);
std::string ServiceResource(const std::string& name);
std::string WorkspaceResource(const std::string& name, const std::string& key);
std::string LimitsResource();

// Sends a plain request to a route. Returns whether it was answered with 200,
// as a check that the instance works.
bool IsServed(const std::string& address,
              const std::string& route,
              const std::string& id,
              const std::string& key,
              Record& record);

// Runs a case: ARGV holds the repository, the folder of the case and a folder
// for temporary files. Returns the exit code.
int RunCase(int argc,
            char** argv,
            const std::function<int(Fleet& fleet, Record& record)>& run);

}  // namespace review

#endif  // PARSLEYQUAY_REVIEW_FLEET_H_
