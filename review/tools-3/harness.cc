#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr char kGateway[] = "target/services/parsleyquay-gateway";
constexpr char kStore[] = "target/review-3/standins/standin-store";
constexpr char kTemplate[] = "deploy/settings.template";
constexpr int kBacklog = 1'024;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

int PortOf(int socket) {
  sockaddr_in address = {};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Returns a port that is free for TCP and UDP now.
int FreePort() {
  while (true) {
    const int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in any = LoopbackAddress(0);
    const bool is_bound = bind(stream, AsSockaddr(any), sizeof(any)) == 0;
    const int port = PortOf(stream);
    const sockaddr_in same = LoopbackAddress(port);
    const bool is_free =
        is_bound && bind(datagram, AsSockaddr(same), sizeof(same)) == 0;
    close(stream);
    close(datagram);
    if (is_free) {
      return port;
    }
  }
}

bool WaitFor(int socket, short events, Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now());
  pollfd entry = {.fd = socket, .events = events, .revents = 0};
  return poll(&entry, 1, static_cast<int>(std::max<long>(0, left.count()))) > 0;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::map<std::string, std::string> ParseHeaders(const std::string& head) {
  std::map<std::string, std::string> headers;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of('\r') + 1);
    headers[Lower(line.substr(0, colon))] = value;
  }
  return headers;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Sends all bytes. Returns whether it could.
bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

}  // namespace

bool WantsDisruption() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

Record::Record(const std::string& path) : file(path) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - this->began_at).count();
}

void Record::Line(const std::string& text) {
  const std::scoped_lock lock(this->mutex);
  this->file << std::fixed << std::setprecision(3) << this->Seconds() << ' '
             << text << std::endl;
}

void RecordRuns(Record& record, Backend& backend) {
  for (const Arrival& arrival : backend.Arrivals()) {
    const auto id = arrival.headers.find("request-id");
    record.Line("server " + arrival.server + " ran: " + arrival.line + " id " +
                (id == arrival.headers.end() ? "none" : id->second));
  }
}

int OpenConnection(int port) {
  const int connection =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = LoopbackAddress(port);
  // Fails at first with EINPROGRESS; the caller waits for the outcome.
  static_cast<void>(connect(connection, AsSockaddr(address), sizeof(address)));
  return connection;
}

Response Exchange(int port,
                  const std::string& bytes,
                  Milliseconds connect_timeout,
                  Milliseconds read_timeout) {
  Response response;
  const int connection = OpenConnection(port);
  int error = 0;
  socklen_t size = sizeof(error);
  const bool is_open =
      connection >= 0 &&
      WaitFor(connection, POLLOUT, Clock::now() + connect_timeout) &&
      getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0;
  response.is_connected = is_open;
  if (is_open && SendAll(connection, bytes)) {
    const auto until = Clock::now() + read_timeout;
    std::string received;
    std::array<char, 16'384> buffer;
    while (WaitFor(connection, POLLIN, until)) {
      const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      received.append(buffer.data(), static_cast<std::size_t>(count));
      const auto end = received.find("\r\n\r\n");
      if (end == std::string::npos) {
        continue;
      }
      const auto headers = ParseHeaders(received.substr(0, end + 2));
      const auto length = headers.find("content-length");
      const std::size_t expected =
          length == headers.end() ? 0 : std::stoul(length->second);
      response.body = received.substr(end + 4);
      if (response.body.size() >= expected) {
        response.status = std::stoi(received.substr(9, 3));
        break;
      }
    }
  }
  if (connection >= 0) {
    close(connection);
  }
  return response;
}

Backend::Backend(std::string name, Milliseconds work)
    : server_name(std::move(name)), work(work) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in any = LoopbackAddress(0);
  if (bind(this->listener, AsSockaddr(any), sizeof(any)) != 0) {
    throw std::runtime_error("a backend server has no port");
  }
  listen(this->listener, kBacklog);
  this->listening_port = PortOf(this->listener);
  this->acceptor = std::thread([this] { this->Accept(); });
}

Backend::~Backend() {
  this->is_stopping = true;
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  close(this->listener);
  {
    const std::scoped_lock lock(this->mutex);
    for (const int connection : this->connections) {
      shutdown(connection, SHUT_RDWR);
    }
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  for (const int connection : this->connections) {
    close(connection);
  }
}

std::vector<Arrival> Backend::Arrivals() {
  const std::scoped_lock lock(this->mutex);
  return this->arrivals;
}

void Backend::Accept() {
  while (!this->is_stopping) {
    const int connection =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const int enabled = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const std::scoped_lock lock(this->mutex);
    this->connections.push_back(connection);
    this->threads.emplace_back([this, connection] { this->Serve(connection); });
  }
}

void Backend::Serve(int connection) {
  std::string received;
  std::array<char, 16'384> buffer;
  while (!this->is_stopping) {
    auto end = received.find("\r\n\r\n");
    while (end == std::string::npos) {
      const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        shutdown(connection, SHUT_RDWR);
        return;
      }
      received.append(buffer.data(), static_cast<std::size_t>(count));
      end = received.find("\r\n\r\n");
    }
    const std::string head = received.substr(0, end + 2);
    received.erase(0, end + 4);
    Arrival arrival{.at = Clock::now(),
                    .line = head.substr(0, head.find("\r\n")),
                    .headers = ParseHeaders(head),
                    .server = this->server_name};
    if (arrival.line.starts_with("GET /health ")) {
      const auto left = std::chrono::duration_cast<Milliseconds>(
          this->cold_until.load() - Clock::now());
      const std::string cold =
          left > Milliseconds(0)
              ? "\r\nCold-Remaining: " + std::to_string(left.count()) + "ms"
              : "";
      if (!SendAll(connection, "HTTP/1.1 200 OK\r\nInstance-Id: " +
                                   this->server_name + cold +
                                   "\r\nServer-Load: 0,0,3"
                                   "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    const std::string id = arrival.headers["request-id"];
    const std::string expected = arrival.headers["expected-instance"];
    const bool is_meant = expected.empty() || expected == this->server_name;
    if (is_meant) {
      const std::scoped_lock lock(this->mutex);
      this->arrivals.push_back(std::move(arrival));
    }
    this->slots.acquire();
    std::this_thread::sleep_for(this->work);
    this->slots.release();
    const std::string status =
        is_meant ? "200 OK" : "421 Misdirected\r\nNot-Executed: 1";
    if (!SendAll(connection, "HTTP/1.1 " + status + "\r\nRequest-Id: " + id +
                                 "\r\nResponse-Signature: s." + id +
                                 "\r\nServer-Load: 1,0,3"
                                 "\r\nContent-Length: 4\r\n\r\nfine")) {
      return;
    }
  }
}

Fleet::Fleet(FleetOptions options) : options(std::move(options)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  for (std::size_t i = 0; i < this->options.failure_domains.size(); ++i) {
    this->instances.push_back({FreePort(), FreePort(), FreePort(), FreePort(),
                               FreePort(), FreePort()});
  }
  this->control_port = FreePort();
}

Fleet::~Fleet() {
  for (const pid_t process : this->processes) {
    kill(process, SIGKILL);
  }
  for (const pid_t process : this->processes) {
    waitpid(process, nullptr, 0);
  }
  std::error_code ignored;  // a leftover folder does no harm
  std::filesystem::remove_all(this->folder, ignored);
}

pid_t Fleet::Spawn(const std::vector<std::string>& command,
                   const std::string& log,
                   const std::string& settings) const {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  std::string variable = "PARSLEYQUAY_BOOT=" + settings;
  std::array<char*, 2> environment = {variable.data(), nullptr};
  const pid_t process = fork();
  if (process == 0) {
    // Ends with the check, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  return process;
}

// Fills in deploy/settings.template as the platform does. A field without a
// value becomes empty.
std::string Fleet::RenderSettings(std::size_t instance) const {
  const InstancePorts& ports = this->instances[instance];
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const std::map<std::string, std::string> fields = {
      {"node", "front-" + std::to_string(instance)},
      {"zone", this->options.failure_domains[instance]},
      {"limits.cpu_share", "0.5"},
      {"limits.link_mbps", "200.0"},
      {"limits.memory_mb", std::to_string(this->options.memory_mb)},
      {"limits.max_fds", std::to_string(this->options.descriptors)},
      {"listen.front", address(ports.requests)},
      {"listen.readiness", address(ports.readiness)},
      {"listen.directory", address(ports.directory)},
      {"ip", "127.0.0.1"},
      {"internal_ports.0", std::to_string(ports.peers)},
      {"internal_ports.1", std::to_string(ports.metrics)},
      {"platform.address", address(ports.store)},
      {"platform.parts", "12"},
      {"platform.min_ttl", "1000ms"},
      {"bounds.grace", "6s"},
      {"bounds.ttl_max", "5s"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.retry_budget_slack", "58"},
      {"bounds.budget_window", "10s"},
      {"bounds.quota_window", "5s"},
      {"bounds.quota_overshoot", "0.1"},
      {"bounds.quota_slack", "20"},
      {"bounds.cold_overshoot", "1.5"},
      {"bounds.cold_slack", "5"}};
  std::string text = ReadFile(kTemplate);
  for (auto begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const auto end = text.find("}}", begin);
    const auto found = fields.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin,
                 found == fields.end() ? "" : found->second);
  }
  return text;
}

bool Fleet::Start(const std::string& configuration) {
  std::string listen;
  for (const InstancePorts& ports : this->instances) {
    listen += "127.0.0.1:" + std::to_string(ports.store) + ",";
  }
  listen += "127.0.0.1:" + std::to_string(this->control_port);
  this->processes.push_back(this->Spawn({kStore, "--listen=" + listen},
                                        this->folder + "/store.log", ""));
  const bool is_published =
      Await([&] { return this->Put("keyed.op", "config", configuration); },
            std::chrono::seconds(10));
  if (!is_published) {
    return false;
  }
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const std::string settings =
        this->folder + "/front-" + std::to_string(i) + ".ini";
    std::ofstream(settings) << this->RenderSettings(i);
    this->processes.push_back(this->Spawn(
        {kGateway}, this->folder + "/front-" + std::to_string(i) + ".log",
        settings));
  }
  return Await(
      [&] {
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
          if (!this->IsReady(i)) {
            return false;
          }
        }
        return true;
      },
      std::chrono::seconds(20));
}

bool Fleet::IsReady(std::size_t instance) const {
  return Exchange(this->instances[instance].readiness,
                  "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n",
                  std::chrono::seconds(1), std::chrono::seconds(1))
             .status == 200;
}

bool Fleet::IsRunning(std::size_t instance) const {
  return waitpid(this->processes[instance + 1], nullptr, WNOHANG) == 0;
}

std::string Fleet::Log(std::size_t instance) const {
  return ReadFile(this->folder + "/front-" + std::to_string(instance) + ".log");
}

bool Fleet::SetStoreFault(const std::string& query) {
  return Exchange(this->control_port,
                  "POST /control?" + query +
                      " HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n",
                  std::chrono::seconds(1), std::chrono::seconds(2))
             .status == 200;
}

bool Fleet::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  return Exchange(this->control_port,
                  "POST /control?put=" + topic + "&key=" + key +
                      " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                      std::to_string(value.size()) + "\r\n\r\n" + value,
                  std::chrono::seconds(1), std::chrono::seconds(2))
             .status == 200;
}

bool Fleet::Drop(const std::string& topic, const std::string& key) {
  return this->SetStoreFault("drop=" + topic + "&key=" + key);
}

bool Fleet::ListServer(const Backend& backend,
                       const std::string& service,
                       const std::string& failure_domain,
                       const std::string& cold_remaining) {
  return this->Put("keyed.servers", backend.name(),
                   R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
                       std::to_string(backend.port()) + R"(","zone":")" +
                       failure_domain +
                       R"(","version":"v1","slots":3,"state":"ready",)" +
                       R"("cold_remaining":")" + cold_remaining +
                       R"(","born":1767225600000,"seq":)" +
                       std::to_string(++this->sequence) + "}");
}

std::string RouteJson(const std::string& prefix,
                      const std::string& kind,
                      const std::string& service,
                      bool is_public) {
  return R"({"resource_kind":"routes","metadata":{"name":"r-)" + prefix +
         R"("},"spec":{"host":"a.example","path_prefix":"/)" + prefix +
         R"(/","kind":")" + kind +
         R"(","timeout":"1500ms","slo_latency":"800ms","priority":1,)" +
         R"("service":")" + service + R"(","max_attempts":2,"public":)" +
         (is_public ? "true" : "false") + "}}";
}

std::string ServiceJson(const std::string& name) {
  return R"({"resource_kind":"services","metadata":{"name":")" + name +
         R"("},"spec":{"health_path":"/health","max_conns":330,)" +
         R"("protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":7.3}})";
}

std::string WorkspaceJson(const std::string& name, const std::string& key) {
  return R"({"resource_kind":"tenants","metadata":{"name":")" + name +
         R"("},"spec":{"api_keys":[")" + key +
         R"("],"priority":1,"rate_per_s":0,"burst":0}})";
}

std::string LimitsJson() {
  return R"({"resource_kind":"limits","metadata":{},"spec":{)"
         R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout":"3000ms","idle_timeout":"15000ms"}})";
}

std::string ConfigurationJson(int version,
                              const std::vector<std::string>& resources) {
  std::string text =
      R"({"version":)" + std::to_string(version) + R"(,"resources":[)";
  for (const std::string& resource : resources) {
    text += (text.back() == '[' ? "" : ",") + resource;
  }
  return text + "]}";
}

bool RaiseDescriptorLimit(std::size_t count) {
  rlimit limit = {};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < count && limit.rlim_max >= count) {
    limit.rlim_cur = count;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur >= count;
}

bool Await(const std::function<bool()>& condition, Milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return true;
}

}  // namespace review
