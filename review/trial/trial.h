#ifndef PARSLEYQUAY_REVIEW_TRIAL_TRIAL_H_
#define PARSLEYQUAY_REVIEW_TRIAL_TRIAL_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

// Returns whether the case runs with its disruption: unless TROUBLE is 0.
bool HasTrouble();

void SleepFor(milliseconds duration);

// Writes one line per event, with the time since its creation, to the file that
// REVIEW_RECORD names.
class Record {
 public:
  Record();
  void Write(const std::string& line);

 private:
  std::mutex mutex;
  Clock::time_point begin = Clock::now();
  std::ofstream file;
};

// A child process. The destructor kills it and waits for its end.
class Process {
 public:
  Process(const std::vector<std::string>& command,
          const std::map<std::string, std::string>& environment,
          const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void Signal(int signal) const;
  // Returns whether the process has ended.
  bool HasEnded();
  // Returns the resident memory in kB.
  long MemoryKb() const;

 private:
  pid_t process_id = -1;
  bool is_running = false;
};

// The head of a message. Header names are in lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> headers;
  // Returns the value of a header, or "".
  std::string Get(const std::string& name) const;
  // Returns the status of a response, or 0.
  int status() const;
};

// A TCP connection on loopback.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  // Connects to a port. `receive_buffer` limits the receive window if it is not
  // 0.
  static std::optional<Connection> To(int port, int receive_buffer = 0);
  ~Connection();
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) = delete;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns whether all bytes were accepted.
  bool Send(const std::string& bytes) const;
  // Receives up to `capacity` bytes. Returns "" at the end of the connection,
  // after an error, or when nothing arrives in time.
  std::string Receive(std::size_t capacity = 65'536);
  // Reads a head, or nothing if the connection ends before it is complete.
  std::optional<Head> ReadHead();
  // Reads a body of a known length. A shorter one means that the connection
  // ended. Sleeps for `pause` after each part of at most `part` bytes.
  std::string ReadBody(std::size_t length,
                       std::size_t part = 65'536,
                       milliseconds pause = milliseconds(0));
  void SetTimeout(milliseconds timeout) const;
  // Returns the error of the last call, or "none".
  std::string error() const { return this->last_error; }
  // Returns whether the peer has closed or reset the connection. A read that
  // has only taken too long does not count.
  bool has_ended() const { return this->is_ended; }

 private:
  int socket = -1;
  std::string buffer;
  mutable std::string last_error = "none";
  mutable bool is_ended = false;
};

// What a backend server has done with a request.
struct ServerRun {
  bool has_arrived = false;  // its headers have been read
  bool has_begun = false;    // the server has begun to work on it
  bool has_run = false;      // the server has finished it
};

// A sound backend server: reads each request as a whole, processes up to six at
// the same time and queues twelve, takes `work` for each, and responds with a
// signed body of `response_bytes`. Stops at the request's deadline, sheds what
// exceeds the queue, and rejects what expects another server. Tells its load,
// and renews its entry in the store every 1.5 s.
class BackendServer {
 public:
  BackendServer(std::string id,
                std::string service,
                milliseconds work,
                std::size_t response_bytes,
                Record& record);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  // Returns the next text of the server's entry in the store.
  std::string NextEntry();
  const std::string& id() const { return this->server_id; }
  ServerRun RunOf(const std::string& request_id);

 private:
  void Accept();
  void Serve(Connection connection);
  // Waits for a slot. Returns false if the queue is full.
  bool TakeSlot();
  void ReturnSlot();
  // Returns the response to a request that has been read as a whole.
  std::string Process(const Head& head);
  std::string LoadHeader();

  std::string server_id;
  std::string service;
  milliseconds work;
  std::size_t response_bytes;
  Record& record;
  int listener = -1;
  int port = 0;
  std::uint64_t sequence = 0;
  std::mutex mutex;
  std::condition_variable slot_returned;
  int running = 0;
  int waiting = 0;
  std::map<std::string, ServerRun> runs;
  std::atomic<int> open_connections = 0;
  std::thread thread;
};

// The body that a backend server responds with.
std::string ResponseBody(const std::string& request_id, std::size_t bytes);

// A small fleet: the store stand-in, gateways with the commands of the deploy
// file and settings from its template, and backend servers.
class Fleet {
 public:
  // `fields` replace values of the settings.
  Fleet(int gateways,
        Record& record,
        const std::map<std::string, std::string>& fields = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  BackendServer& AddServer(const std::string& id,
                           const std::string& service,
                           milliseconds work,
                           std::size_t response_bytes);
  // Publishes a configuration, starts the gateways, and waits until all are
  // ready and the fleet has been calm for longer than `stable_window`. Returns
  // whether it worked.
  bool Start(const std::string& configuration);
  int request_port(int gateway) const;
  Process& process(int gateway) {
    return *this->gateways[static_cast<std::size_t>(gateway)].process;
  }
  // Returns what the servers have done with a request, all together.
  ServerRun RunOf(const std::string& request_id);

 private:
  struct Gateway {
    std::map<std::string, std::string> fields;
    std::unique_ptr<Process> process;
  };
  bool Put(const std::string& topic,
           const std::string& key,
           const std::string& value) const;
  bool IsReady(const Gateway& gateway) const;
  void Renew();

  Record& record;
  std::string folder;
  int store_port = 0;
  std::unique_ptr<Process> store;
  std::vector<Gateway> gateways;
  std::vector<std::unique_ptr<BackendServer>> servers;
  std::atomic<bool> is_ending = false;
  std::thread renewals;
};

// Returns the headers of a request that every case sends, without the empty
// line.
std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& request_id,
                        int deadline_ms);

// Returns a configuration with one route, "/case/", to the service "work".
std::string MakeConfiguration(const std::string& kind, int timeout_ms);

}  // namespace review

#endif  // PARSLEYQUAY_REVIEW_TRIAL_TRIAL_H_
