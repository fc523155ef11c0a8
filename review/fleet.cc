#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr char kGateway[] = "target/services/parsleyquay-gateway";
constexpr char kStore[] = "target/review/standins/standin-store";
constexpr char kTemplate[] = "deploy/settings.template";

constexpr auto kStartTimeout = std::chrono::seconds(15);
constexpr auto kPollInterval = milliseconds(50);

bool Await(const std::function<bool()>& condition) {
  const auto until = Clock::now() + kStartTimeout;
  while (!condition()) {
    if (Clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Resource(const std::string& kind,
                     const std::string& name,
                     const std::string& spec) {
  const std::string metadata =
      name.empty() ? "{}" : R"({"name":")" + name + "\"}";
  return R"({"resource_kind":")" + kind + R"(","metadata":)" + metadata +
         R"(,"spec":{)" + spec + "}}";
}

}  // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

Record::Record(const std::string& path) : file(path) {}

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(this->mutex);
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - this->started_at);
  this->file << elapsed.count() << " ms  " << line << std::endl;
}

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& environment,
                           const std::string& log_file) {
  std::vector<char*> arguments;
  std::ranges::transform(command, std::back_inserter(arguments),
                         [](const std::string& argument) {
                           return const_cast<char*>(argument.c_str());
                         });
  arguments.push_back(nullptr);
  std::array<char*, 2> variables = {const_cast<char*>(environment.c_str()),
                                    nullptr};
  const pid_t parent = getpid();
  this->process = fork();
  if (this->process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);  // The parent ended before the call above.
    }
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments[0], arguments.data(), variables.data());
    _exit(127);
  }
}

ChildProcess::~ChildProcess() {
  if (this->process > 0 && !this->HasEnded()) {
    this->Signal(SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
}

void ChildProcess::Signal(int signal) const {
  kill(this->process, signal);
}

bool ChildProcess::HasEnded() {
  this->has_ended =
      this->has_ended || waitpid(this->process, nullptr, WNOHANG) != 0;
  return this->has_ended;
}

Fleet::Fleet(const std::string& root, const std::string& work_folder)
    : root(root), work_folder(work_folder) {}

bool Fleet::StartStore() {
  this->store_address = FreeAddress();
  this->store = std::make_unique<ChildProcess>(
      std::vector<std::string>{this->root + "/" + kStore,
                               "--listen=" + this->store_address},
      "LANG=C", this->work_folder + "/store.log");
  return Await([&] {
    return Fetch(this->store_address,
                 Get("/api/log-newest?topic=keyed.op&part=0"))
               .Status() == 200;
  });
}

void Fleet::Configure(int version, const std::vector<std::string>& resources) {
  std::string text =
      R"({"version":)" + std::to_string(version) + R"(,"resources":[)";
  for (const std::string& resource : resources) {
    text += (text.back() == '[' ? "" : ",") + resource;
  }
  Fetch(this->store_address,
        Post("/control?put=keyed.op&key=config", text + "]}"));
}

void Fleet::ListServer(const std::string& id,
                       const std::string& service,
                       const std::string& address) {
  Fetch(this->store_address,
        Post("/control?put=keyed.servers&key=" + id,
             R"({"service":")" + service + R"(","address":")" + address +
                 R"(","zone":"akl-a","version":"v1","slots":3,)"
                 R"("state":"ready","cold_remaining":"0ms","born":1,"seq":)" +
                 std::to_string(this->next_sequence++) + "}"));
}

void Fleet::RemoveServer(const std::string& id) {
  Fetch(this->store_address, Post("/control?drop=keyed.servers&key=" + id, ""));
}

bool Fleet::StartInstances(int count) {
  for (int i = 0; i < count; ++i) {
    Instance& instance = this->instances.emplace_back();
    instance.name = "front-akl-a-" + std::to_string(i + 1);
    instance.request_address = FreeAddress();
    instance.readiness_address = FreeAddress();
    instance.settings_file = this->work_folder + "/" + instance.name + ".ini";
    std::ofstream(instance.settings_file) << this->Settings(instance);
    this->StartInstance(static_cast<std::size_t>(i));
  }
  return Await([&] {
    return std::ranges::all_of(this->instances, [](const Instance& instance) {
      return Fetch(instance.readiness_address, Get("/api/ready")).Status() ==
             200;
    });
  });
}

void Fleet::StartInstance(std::size_t index) {
  Instance& instance = this->instances.at(index);
  instance.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{this->root + "/" + kGateway},
      "PARSLEYQUAY_BOOT=" + instance.settings_file,
      this->work_folder + "/" + instance.name + ".log");
}

// Fills in the template of the deploy file. The bounds are those of the site.
std::string Fleet::Settings(Instance& instance) const {
  const std::vector<std::pair<std::string, std::string>> values = {
      {"node", instance.name},
      {"zone", "akl-a"},
      {"limits.cpu_share", "0.2"},
      {"limits.link_mbps", "1000.0"},
      {"listen.front", instance.request_address},
      {"listen.readiness", instance.readiness_address},
      {"listen.directory", FreeAddress()},
      {"{{ip}}:{{internal_ports.0}}", FreeAddress()},
      {"{{ip}}:{{internal_ports.1}}", FreeAddress()},
      {"platform.address", this->store_address},
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
  std::string text = ReadFile(this->root + "/" + kTemplate);
  for (const auto& [name, value] : values) {
    const std::string placeholder =
        name.starts_with("{{") ? name : "{{" + name + "}}";
    const auto found = text.find(placeholder);
    if (found != std::string::npos) {
      text.replace(found, placeholder.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("the settings template has an unknown field");
  }
  return text;
}

std::string RouteResource(const std::string& name,
                          const std::string& kind,
                          const std::string& service) {
  return Resource("routes", name,
                  R"("host":"a.example","path_prefix":"/)" + name +
                      R"(/","kind":")" + kind +
                      R"(","timeout":"3000ms","slo_latency":"800ms",)"
                      R"("priority":1,"service":")" +
                      service + R"(","max_attempts":2,"public":false)");
}

std::string ServiceResource(const std::string& name) {
  return Resource("services", name,
                  R"("health_path":"/health","max_conns":330,"protocol":"h1",)"
                  R"("tls":false,"cold_start":"3s","cold_per_s":7.3)");
}

std::string WorkspaceResource(const std::string& name, const std::string& key) {
  return Resource("tenants", name,
                  R"("api_keys":[")" + key +
                      R"("],"priority":1,"rate_per_s":50,"burst":50)");
}

std::string LimitsResource() {
  return Resource("limits", "",
                  R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
                  R"("header_timeout":"3000ms","idle_timeout":"15000ms")");
}

bool IsServed(const std::string& address,
              const std::string& route,
              const std::string& id,
              const std::string& key,
              Record& record) {
  const std::string authorization =
      key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
  const Message response =
      Fetch(address, "POST /" + route + "/" + id +
                         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                         "\r\nRequest-Deadline: 2500\r\n" + authorization +
                         "Content-Length: 4\r\n\r\nbody");
  record.Write("client sent " + id + ", a plain request, and got " +
               response.first_line);
  return response.is_complete && response.Status() == 200;
}

int RunCase(int argc,
            char** argv,
            const std::function<int(Fleet& fleet, Record& record)>& run) {
  if (argc != 4) {
    std::cerr << "usage: " << argv[0]
              << " REPOSITORY CASE_FOLDER WORK_FOLDER\n";
    return kCannotRun;
  }
  try {
    Record record(std::string(argv[2]) + "/record.txt");
    record.Write(HasTrouble() ? "with the disruption"
                              : "TROUBLE=0: without the disruption");
    Fleet fleet(argv[1], argv[3]);
    if (!fleet.StartStore()) {
      record.Write("cannot run: the store stand-in does not respond");
      return kCannotRun;
    }
    const int code = run(fleet, record);
    record.Write(code == kRuleHeld     ? "result: the rule held"
                 : code == kRuleBroken ? "result: the rule was broken"
                                       : "result: the case could not run");
    return code;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCannotRun;
  }
}

}  // namespace review
