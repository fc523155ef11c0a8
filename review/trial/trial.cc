#include "trial.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr char kStore[] = "target/review-2/standin-store";
constexpr char kTemplate[] = "deploy/settings.template";
constexpr char kDeployFile[] = "deploy/system.toml";
constexpr char kHost[] = "case.example";
constexpr char kApiKey[] = "case-key";
constexpr int kSlots = 6;
constexpr int kQueueLength = 12;
constexpr milliseconds kHeartbeat(1'500);
constexpr milliseconds kStartTime(10'000);
// Longer than stable_window (3000 ms).
constexpr milliseconds kCalmTime(3'500);

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a port. Returns the socket, or -1, and the port.
std::pair<int, int> Listen(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = LoopbackAddress(port);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  if (bind(socket, raw, size) != 0 || listen(socket, SOMAXCONN) != 0 ||
      getsockname(socket, raw, &size) != 0) {
    close(socket);
    return {-1, 0};
  }
  return {socket, ntohs(address.sin_port)};
}

// Returns a port that nobody listens on, another one each time. It is below the
// ports that the system chooses for connections.
int FreePort() {
  constexpr int kFirstPort = 12'000;
  constexpr int kLastPort = 31'999;
  static std::mt19937 random{std::random_device()()};
  static std::set<int> used;
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  while (true) {
    const int port = ports(random);
    if (!used.insert(port).second) {
      continue;
    }
    const int socket = Listen(port).first;
    if (socket >= 0) {
      close(socket);
      return port;
    }
  }
}

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

int PortOf(const std::string& address) {
  return std::stoi(address.substr(address.find(':') + 1));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Replaces each {{name}} by its field, or by nothing if there is none.
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& fields) {
  for (auto begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const auto end = text.find("}}", begin);
    const auto field = fields.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin,
                 field == fields.end() ? "" : field->second);
  }
  return text;
}

// Returns the command of the first role in the deploy file.
std::vector<std::string> DeployCommand() {
  const std::string text = ReadFile(kDeployFile);
  constexpr std::string_view kRun = "run = \"";
  const auto begin = text.find(kRun) + kRun.size();
  std::istringstream words(text.substr(begin, text.find('"', begin) - begin));
  std::vector<std::string> command;
  for (std::string word; words >> word;) {
    command.push_back(word);
  }
  return command;
}

// Values as on the users' pages for a deployment of the customer `kilifi-quay`.
std::map<std::string, std::string> CommonFields() {
  return {{"limits.cpu_share", "0.5"},
          {"limits.link_mbps", "200"},
          {"limits.memory_mb", "512"},
          {"limits.max_fds", "8192"},
          {"platform.parts", "24"},
          {"platform.min_ttl", "1000ms"},
          {"bounds.grace", "6s"},
          {"bounds.ttl_max", "5s"},
          {"bounds.retry_budget_ratio", "0.2"},
          {"bounds.retry_budget_slack", "282"},
          {"bounds.budget_window", "10s"},
          {"bounds.quota_window", "5s"},
          {"bounds.quota_overshoot", "0.1"},
          {"bounds.quota_slack", "20"}};
}

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return text;
}

// Returns the path in REVIEW_RECORD.
std::string RecordPath() {
  const char* path = std::getenv("REVIEW_RECORD");
  return path ? path : "record.txt";
}

std::string Trim(const std::string& text) {
  const auto begin = text.find_first_not_of(" \t");
  const auto end = text.find_last_not_of(" \t\r");
  return begin == std::string::npos ? "" : text.substr(begin, end + 1 - begin);
}

}  // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

void SleepFor(milliseconds duration) {
  std::this_thread::sleep_for(duration);
}

Record::Record() : file(RecordPath()) {}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  const auto passed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - this->begin);
  this->file << passed.count() << " ms  " << line << std::endl;
}

Process::Process(const std::vector<std::string>& command,
                 const std::map<std::string, std::string>& environment,
                 const std::string& log_file) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  this->process_id = fork();
  if (this->process_id == 0) {
    // The child ends with this process, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                         S_IRUSR | S_IWUSR);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (const auto& [name, value] : environment) {
      setenv(name.c_str(), value.c_str(), 1);
    }
    execv(arguments[0], arguments.data());
    _exit(kCouldNotRun);
  }
  this->is_running = this->process_id > 0;
}

Process::~Process() {
  if (!this->HasEnded()) {
    this->Signal(SIGKILL);
    waitpid(this->process_id, nullptr, 0);
  }
}

void Process::Signal(int signal) const {
  kill(this->process_id, signal);
}

bool Process::HasEnded() {
  if (this->is_running &&
      waitpid(this->process_id, nullptr, WNOHANG) == this->process_id) {
    this->is_running = false;
  }
  return !this->is_running;
}

long Process::MemoryKb() const {
  std::ifstream file("/proc/" + std::to_string(this->process_id) + "/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE) / 1'000;
}

std::string Head::Get(const std::string& name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? "" : found->second;
}

int Head::status() const {
  const auto blank = this->first_line.find(' ');
  return blank == std::string::npos
             ? 0
             : std::atoi(this->first_line.c_str() + blank + 1);
}

std::optional<Connection> Connection::To(int port, int receive_buffer) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket);
    return std::nullopt;
  }
  return Connection(socket);
}

Connection::~Connection() {
  if (this->socket >= 0) {
    close(this->socket);
  }
}

Connection::Connection(Connection&& other) noexcept
    : socket(std::exchange(other.socket, -1)),
      buffer(std::move(other.buffer)) {}

bool Connection::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(this->socket, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      this->last_error = std::strerror(errno);
      this->is_ended = errno == ECONNRESET || errno == EPIPE;
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

std::string Connection::Receive(std::size_t capacity) {
  std::string bytes(capacity, '\0');
  const ssize_t size = recv(this->socket, bytes.data(), capacity, 0);
  if (size < 0) {
    this->last_error = std::strerror(errno);
    this->is_ended = errno == ECONNRESET || errno == EPIPE;
  } else if (size == 0) {
    this->last_error = "closed";
    this->is_ended = true;
  }
  bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(0, size)));
  return bytes;
}

std::optional<Head> Connection::ReadHead() {
  constexpr std::string_view kEnd = "\r\n\r\n";
  auto end = this->buffer.find(kEnd);
  while (end == std::string::npos) {
    const std::string received = this->Receive();
    if (received.empty()) {
      return std::nullopt;
    }
    this->buffer += received;
    end = this->buffer.find(kEnd);
  }
  std::istringstream lines(this->buffer.substr(0, end));
  this->buffer.erase(0, end + kEnd.size());
  Head head;
  std::getline(lines, head.first_line);
  head.first_line = Trim(head.first_line);
  for (std::string line; std::getline(lines, line);) {
    const auto colon = line.find(':');
    head.headers[ToLower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
  }
  return head;
}

std::string Connection::ReadBody(std::size_t length,
                                 std::size_t part,
                                 milliseconds pause) {
  while (this->buffer.size() < length) {
    const std::string received =
        this->Receive(std::min(part, length - this->buffer.size()));
    if (received.empty()) {
      break;
    }
    this->buffer += received;
    SleepFor(pause);
  }
  const std::string body = this->buffer.substr(0, length);
  this->buffer.erase(0, body.size());
  return body;
}

void Connection::SetTimeout(milliseconds timeout) const {
  const timeval value = {.tv_sec = timeout.count() / 1'000,
                         .tv_usec = timeout.count() % 1'000 * 1'000};
  setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

std::string ResponseBody(const std::string& request_id, std::size_t bytes) {
  std::string body;
  while (body.size() < bytes) {
    body += request_id + ".";
  }
  body.resize(bytes);
  return body;
}

BackendServer::BackendServer(std::string id,
                             std::string service,
                             milliseconds work,
                             std::size_t response_bytes,
                             Record& record)
    : server_id(std::move(id)),
      service(std::move(service)),
      work(work),
      response_bytes(response_bytes),
      record(record) {
  std::tie(this->listener, this->port) = Listen(FreePort());
  this->thread = std::thread([this] { this->Accept(); });
}

BackendServer::~BackendServer() {
  shutdown(this->listener, SHUT_RDWR);
  this->thread.join();
  close(this->listener);
  // The gateways have ended, and with them the connections.
  while (this->open_connections > 0) {
    SleepFor(milliseconds(10));
  }
}

std::string BackendServer::NextEntry() {
  const std::lock_guard lock(this->mutex);
  return R"({"service":")" + this->service + R"(","address":")" +
         Loopback(this->port) + R"(","zone":"zone-a","version":"v1","slots":)" +
         std::to_string(kSlots) +
         R"(,"state":"ready",)"
         R"("cold_remaining":"0ms","born":1,"seq":)" +
         std::to_string(++this->sequence) + "}";
}

ServerRun BackendServer::RunOf(const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  return this->runs[request_id];
}

void BackendServer::Accept() {
  while (true) {
    const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    ++this->open_connections;
    std::thread([this, connection = Connection(socket)]() mutable {
      this->Serve(std::move(connection));
      --this->open_connections;
    }).detach();
  }
}

bool BackendServer::TakeSlot() {
  std::unique_lock lock(this->mutex);
  if (this->running >= kSlots && this->waiting >= kQueueLength) {
    return false;
  }
  ++this->waiting;
  this->slot_returned.wait(lock, [this] { return this->running < kSlots; });
  --this->waiting;
  ++this->running;
  return true;
}

void BackendServer::ReturnSlot() {
  {
    const std::lock_guard lock(this->mutex);
    --this->running;
  }
  this->slot_returned.notify_one();
}

std::string BackendServer::LoadHeader() {
  const std::lock_guard lock(this->mutex);
  return "\r\nServer-Load: " + std::to_string(this->running) + "," +
         std::to_string(this->waiting) + "," + std::to_string(kSlots);
}

std::string BackendServer::Process(const Head& head) {
  const std::string id = head.Get("request-id");
  const std::string common =
      "\r\nRequest-Id: " + id + "\r\nInstance-Id: " + this->server_id;
  constexpr char kNoBody[] = "\r\nContent-Length: 0\r\n\r\n";
  if (head.first_line.starts_with("GET /health ")) {
    return "HTTP/1.1 200 OK" + common + this->LoadHeader() + kNoBody;
  }
  const std::string expected = head.Get("expected-instance");
  if (!expected.empty() && expected != this->server_id) {
    return "HTTP/1.1 421 Misdirected Request" + common + kNoBody;
  }
  const auto arrived_at = Clock::now();
  if (!this->TakeSlot()) {
    this->record.Write("server " + this->server_id + " sheds " + id);
    return "HTTP/1.1 503 Service Unavailable" + common + "\r\nNot-Executed: 1" +
           this->LoadHeader() + kNoBody;
  }
  const std::string deadline = head.Get("request-deadline");
  const milliseconds left = deadline.empty()
                                ? this->work
                                : milliseconds(std::stol(deadline)) -
                                      std::chrono::duration_cast<milliseconds>(
                                          Clock::now() - arrived_at);
  if (left <= milliseconds(0)) {
    this->ReturnSlot();
    return "HTTP/1.1 503 Service Unavailable" + common + "\r\nNot-Executed: 1" +
           this->LoadHeader() + kNoBody;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->runs[id].has_begun = true;
  }
  this->record.Write("server " + this->server_id + " runs " + id);
  SleepFor(std::min(this->work, left));
  this->ReturnSlot();
  {
    const std::lock_guard lock(this->mutex);
    this->runs[id].has_run = true;
  }
  this->record.Write("server " + this->server_id + " has run " + id);
  const bool is_in_time = this->work <= left;
  const std::string body =
      is_in_time ? ResponseBody(id, this->response_bytes) : "";
  return (is_in_time ? "HTTP/1.1 200 OK" : "HTTP/1.1 504 Gateway Timeout") +
         common + "\r\nResponse-Signature: case." + id + this->LoadHeader() +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void BackendServer::Serve(Connection connection) {
  while (const auto head = connection.ReadHead()) {
    const std::string id = head->Get("request-id");
    {
      const std::lock_guard lock(this->mutex);
      this->runs[id].has_arrived = true;
    }
    this->record.Write("server " + this->server_id + " gets " + id + ": " +
                       head->first_line);
    const std::string length = head->Get("content-length");
    const std::size_t body_bytes = length.empty() ? 0 : std::stoul(length);
    const std::size_t received = connection.ReadBody(body_bytes).size();
    if (received < body_bytes) {
      this->record.Write("server " + this->server_id + " loses " + id +
                         " after " + std::to_string(received) + " of " +
                         length + " body bytes");
      return;
    }
    if (!connection.Send(this->Process(*head))) {
      this->record.Write("server " + this->server_id +
                         " finds the connection of " + id + " closed");
      return;
    }
  }
}

Fleet::Fleet(int gateways,
             Record& record,
             const std::map<std::string, std::string>& fields)
    : record(record), store_port(FreePort()) {
  std::string folder_template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = mkdtemp(folder_template.data());
  const std::string settings = ReadFile(kTemplate);
  for (int i = 0; i < gateways; ++i) {
    Gateway gateway;
    gateway.fields = fields;
    gateway.fields.merge(CommonFields());
    gateway.fields.merge(std::map<std::string, std::string>{
        {"node", "front-" + std::to_string(i)},
        {"zone", "zone-a"},
        {"ip", "127.0.0.1"},
        {"platform.address", Loopback(this->store_port)},
        {"internal_ports.0", std::to_string(FreePort())},
        {"internal_ports.1", std::to_string(FreePort())},
        {"listen.front", Loopback(FreePort())},
        {"listen.readiness", Loopback(FreePort())},
        {"listen.directory", Loopback(FreePort())}});
    std::ofstream(this->folder + "/" + gateway.fields["node"] + ".settings")
        << Fill(settings, gateway.fields);
    this->gateways.push_back(std::move(gateway));
  }
}

Fleet::~Fleet() {
  this->is_ending = true;
  if (this->renewals.joinable()) {
    this->renewals.join();
  }
  this->gateways.clear();
  this->store.reset();
  std::error_code ignored;  // a leftover folder does no harm
  std::filesystem::remove_all(this->folder, ignored);
}

BackendServer& Fleet::AddServer(const std::string& id,
                                const std::string& service,
                                milliseconds work,
                                std::size_t response_bytes) {
  this->servers.push_back(std::make_unique<BackendServer>(
      id, service, work, response_bytes, this->record));
  return *this->servers.back();
}

bool Fleet::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) const {
  auto connection = Connection::To(this->store_port);
  if (!connection) {
    return false;
  }
  connection->SetTimeout(milliseconds(1'000));
  connection->Send("POST /control?put=" + topic + "&key=" + key +
                   " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                   std::to_string(value.size()) + "\r\n\r\n" + value);
  const auto head = connection->ReadHead();
  return head && head->status() == 200;
}

bool Fleet::IsReady(const Gateway& gateway) const {
  auto connection =
      Connection::To(PortOf(gateway.fields.at("listen.readiness")));
  if (!connection) {
    return false;
  }
  connection->SetTimeout(milliseconds(1'000));
  connection->Send("GET /api/ready HTTP/1.1\r\nHost: platform\r\n\r\n");
  const auto head = connection->ReadHead();
  return head && head->status() == 200;
}

void Fleet::Renew() {
  auto renewed_at = Clock::now();
  while (!this->is_ending) {
    SleepFor(milliseconds(50));
    if (Clock::now() - renewed_at < kHeartbeat) {
      continue;
    }
    renewed_at = Clock::now();
    for (const auto& server : this->servers) {
      this->Put("keyed.servers", server->id(), server->NextEntry());
    }
  }
}

bool Fleet::Start(const std::string& configuration) {
  const auto deadline = Clock::now() + kStartTime;
  this->store = std::make_unique<Process>(
      std::vector<std::string>{kStore,
                               "--listen=" + Loopback(this->store_port)},
      std::map<std::string, std::string>(), this->folder + "/store.log");
  while (!this->Put("keyed.op", "config", configuration)) {
    if (Clock::now() > deadline || this->store->HasEnded()) {
      return false;
    }
    SleepFor(milliseconds(50));
  }
  for (const auto& server : this->servers) {
    this->Put("keyed.servers", server->id(), server->NextEntry());
  }
  this->renewals = std::thread([this] { this->Renew(); });
  for (Gateway& gateway : this->gateways) {
    const std::string file = this->folder + "/" + gateway.fields["node"];
    gateway.process =
        std::make_unique<Process>(DeployCommand(),
                                  std::map<std::string, std::string>{
                                      {"PARSLEYQUAY_BOOT", file + ".settings"}},
                                  file + ".log");
  }
  while (!std::ranges::all_of(this->gateways, [this](const Gateway& gateway) {
    return this->IsReady(gateway);
  })) {
    if (Clock::now() > deadline) {
      return false;
    }
    SleepFor(milliseconds(50));
  }
  SleepFor(kCalmTime);
  return true;
}

int Fleet::request_port(int gateway) const {
  return PortOf(this->gateways[static_cast<std::size_t>(gateway)].fields.at(
      "listen.front"));
}

ServerRun Fleet::RunOf(const std::string& request_id) {
  ServerRun all;
  for (const auto& server : this->servers) {
    const ServerRun run = server->RunOf(request_id);
    all.has_arrived |= run.has_arrived;
    all.has_run |= run.has_run;
    all.has_begun |= run.has_begun;
  }
  return all;
}

std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& request_id,
                        int deadline_ms) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nRequest-Id: " + request_id +
         "\r\nRequest-Deadline: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + kApiKey + "\r\n";
}

std::string MakeConfiguration(const std::string& kind, int timeout_ms) {
  return R"({"version":7,"resources":[)"
         R"({"resource_kind":"routes","metadata":{"name":"r-case"},"spec":{)"
         R"("host":")" +
         std::string(kHost) + R"(","path_prefix":"/case/","kind":")" + kind +
         R"(","timeout":")" + std::to_string(timeout_ms) +
         R"(ms","slo_latency":"2000ms","priority":1,"service":"work",)"
         R"("max_attempts":2,"public":false}},)"
         R"({"resource_kind":"services","metadata":{"name":"work"},"spec":{)"
         R"("health_path":"/health","max_conns":2259,"protocol":"h1",)"
         R"("tls":false}},)"
         R"({"resource_kind":"tenants","metadata":{"name":"t-case"},"spec":{)"
         R"("api_keys":[")" +
         kApiKey +
         R"("],"priority":1,"rate_per_s":0,"burst":0}},)"
         R"({"resource_kind":"limits","metadata":{},"spec":{)"
         R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
}

}  // namespace review
