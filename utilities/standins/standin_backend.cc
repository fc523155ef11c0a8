// Stand-ins for backend servers. One process serves many servers, each on a
// port of its own.
//
// Requests to a server:
//   any method /work/...      simulates work of --work_ms and records the run;
//                             so does every other path not named here
//   GET /download/N           N bytes of deterministic content, with ETag and
//                             ranges
//   GET /health               always "ok"
// Control requests, on any port:
//   POST /control?server=K&KEY=VALUE   sets a fault of server K (or "all"):
//     slow=F          multiplies the time of work by F
//     fail_percent=P  responds with status 500 to P in 100 requests
//     hang=0|1        accepts requests and never responds
//     cut_after=N     aborts a download after N bytes; 0: off
//     die_after_read=0|1  runs the request and closes the connection without a
//                     response
//     cross=0|1       responds with a request id that is not the request's own
//     late=0|1        responds with the id and the body that belong to the
//                     previous request of the server
//     drain=0|1       states in each response that the server is draining
//     restart=1       resets the uptime, so that the server is cold again
//   GET /records              one line per run: "server method path request_id
//                             has_authorization finished_ms received_ms"
//   GET /stats                counters of each server as JSON

#include <gflags/gflags.h>

#include <charconv>
#include <list>
#include <random>
#include <sstream>

#include "event/timer.h"
#include "fleet/record_codec.h"
#include "http/request_target.h"
#include "standin_server.h"

DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(first_port, 7200, "port of the first server");
DEFINE_int32(count, 6, "number of servers");
DEFINE_double(work_ms, 5, "median time of work for one request, in ms");
DEFINE_double(noise, 0.3, "sigma of the log-normal distribution of that time");
DEFINE_int32(slots, 3, "requests that a server works on concurrently");
DEFINE_int32(cold_ms,
             3000,
             "time from a server's start to its full capacity, in ms; 0: none");
DEFINE_bool(warm_start,
            true,
            "servers have their full capacity when the process starts");
DEFINE_int32(seed, 1, "seed of the random times and failures");

namespace parsleyquay {
namespace {

constexpr std::size_t kDownloadBlockBytes = 16 * 1024;

std::uint64_t ToNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns the byte that every download has at an offset.
char ContentAt(std::uint64_t offset) {
  return static_cast<char>('a' + (offset * 7 + offset / 4096) % 26);
}

struct Faults {
  double slow = 1;
  double fail_percent = 0;
  bool hangs = false;
  std::uint64_t cut_after = 0;
  bool aborts_after_run = false;
  bool sends_wrong_id = false;
  bool sends_previous_id = false;
  bool is_draining = false;
};

struct RunRecord {
  std::string method;
  std::string path;
  std::string request_id;
  bool has_authorization = false;
  long finished_ms = 0;
  long received_ms = 0;
};

// State that all servers of the process share.
struct SharedState {
  EventLoop& loop;
  std::mt19937_64 random;
  std::string last_request_id;
};

class BackendServer {
 public:
  BackendServer(SharedState& shared, bool is_warm)
      : shared(shared), started_at(shared.loop.Now()) {
    if (is_warm) {
      this->started_at -= milliseconds(FLAGS_cold_ms) + seconds(60);
    }
  }

  void Serve(const std::shared_ptr<ServerExchange>& exchange) {
    ++this->in_flight;
    this->RecordLoad();
    const auto job = std::make_shared<Job>(*this, exchange);
    exchange->SetHandlers({[job] { job->OnBody(); },
                           [job] { job->WriteDownload(); },
                           [job] { job->End(); }});
  }

  void Control(const std::string& target) {
    const auto if_given = [&](const std::string& name, const auto& apply) {
      if (const std::string value = QueryValue(target, name); !value.empty()) {
        apply(value);
      }
    };
    if_given("slow", [&](const auto& v) { this->faults.slow = std::stod(v); });
    if_given("fail_percent",
             [&](const auto& v) { this->faults.fail_percent = std::stod(v); });
    if_given("hang", [&](const auto& v) { this->faults.hangs = v == "1"; });
    if_given("cut_after",
             [&](const auto& v) { this->faults.cut_after = ToNumber(v); });
    if_given("die_after_read",
             [&](const auto& v) { this->faults.aborts_after_run = v == "1"; });
    if_given("cross",
             [&](const auto& v) { this->faults.sends_wrong_id = v == "1"; });
    if_given("late",
             [&](const auto& v) { this->faults.sends_previous_id = v == "1"; });
    if_given("drain",
             [&](const auto& v) { this->faults.is_draining = v == "1"; });
    if_given("restart", [&](const auto&) {
      this->started_at = this->shared.loop.Now();
      this->max_cold_excess = 0;
      this->last_cold_excess_ms = -1;
    });
  }

  Json::Value Stats() const {
    Json::Value json;
    json["runs"] = Json::UInt64(this->records.size());
    json["in_flight"] = Json::Int64(this->in_flight);
    json["most_in_flight"] = Json::Int64(this->max_in_flight);
    json["most_over_cold"] = Json::Int64(this->max_cold_excess);
    json["last_over_cold_ms"] = Json::Int64(this->last_cold_excess_ms);
    json["last_run_ms"] = Json::Int64(
        this->records.empty() ? 0 : this->records.back().finished_ms);
    return json;
  }

  const std::vector<RunRecord>& Records() const { return this->records; }

 private:
  // One request to this server.
  struct Job : std::enable_shared_from_this<Job> {
    Job(BackendServer& server, std::shared_ptr<ServerExchange> exchange)
        : server(server),
          exchange(std::move(exchange)),
          timer(server.shared.loop, [this] { this->OnWorkDone(); }) {}

    void OnBody() {
      char buffer[16 * 1024];
      while (this->exchange->ReadBody(buffer, sizeof(buffer)) > 0) {
      }
      if (this->exchange->is_body_complete() && !this->is_queued) {
        this->is_queued = true;
        this->server.Enqueue(this->shared_from_this());
      }
    }

    void OnWorkDone() { this->server.FinishWork(*this); }

    void WriteDownload() {
      while (this->position < this->end && this->exchange->has_room()) {
        const std::uint64_t cut = this->server.faults.cut_after;
        if (cut > 0 && this->position - this->start >= cut) {
          this->exchange->Abort();
          this->End();
          return;
        }
        std::string block;
        const auto size = std::min<std::uint64_t>(kDownloadBlockBytes,
                                                  this->end - this->position);
        for (std::uint64_t i = 0; i < size; ++i) {
          block += ContentAt(this->position + i);
        }
        this->position += size;
        this->exchange->Write(block);
      }
      if (this->is_download && this->position == this->end) {
        this->exchange->Finish();
        this->End();
      }
    }

    void End() {
      if (!this->is_ended) {
        this->is_ended = true;
        this->timer.Stop();
        this->server.OnEnded(*this);
      }
    }

    BackendServer& server;
    std::shared_ptr<ServerExchange> exchange;
    Timer timer;
    long received_ms = 0;
    bool is_queued = false;
    bool is_working = false;
    bool is_ended = false;
    bool is_download = false;
    std::uint64_t start = 0;
    std::uint64_t position = 0;
    std::uint64_t end = 0;
  };

  // Returns how many requests the server can work on concurrently. The capacity
  // of a cold server grows linearly with its uptime.
  long ColdCapacity() const {
    if (FLAGS_cold_ms == 0) {
      return FLAGS_slots;
    }
    const long age = ToMilliseconds(this->shared.loop.Now() - this->started_at);
    const long capacity = 1 + age * FLAGS_slots / FLAGS_cold_ms;
    return std::min<long>(FLAGS_slots, capacity);
  }

  bool IsCold() const {
    return FLAGS_cold_ms > 0 &&
           ToMilliseconds(this->shared.loop.Now() - this->started_at) <
               FLAGS_cold_ms;
  }

  // Updates the maxima that Stats() reports.
  void RecordLoad() {
    this->max_in_flight = std::max(this->max_in_flight, this->in_flight);
    if (this->IsCold()) {
      const long excess = this->in_flight - this->ColdCapacity();
      if (excess > 0) {
        this->last_cold_excess_ms =
            ToMilliseconds(this->shared.loop.Now() - this->started_at);
      }
      this->max_cold_excess = std::max(this->max_cold_excess, excess);
    }
  }

  void Enqueue(const std::shared_ptr<Job>& job) {
    job->received_ms = WallClockMilliseconds();
    if (this->faults.hangs) {
      this->hanging.push_back(job);
      return;
    }
    this->queue.push_back(job);
    this->StartNext();
  }

  void StartNext() {
    while (this->working < this->ColdCapacity() && !this->queue.empty()) {
      const std::shared_ptr<Job> job = this->queue.front();
      this->queue.pop_front();
      if (job->is_ended) {
        continue;
      }
      ++this->working;
      job->is_working = true;
      this->active.push_back(job);
      job->timer.StartOnce(this->DrawWorkTime());
    }
  }

  Duration DrawWorkTime() {
    std::lognormal_distribution<double> spread(0, FLAGS_noise);
    const double ms =
        FLAGS_work_ms * spread(this->shared.random) * this->faults.slow;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  void Record(const Job& job, const std::string& request_id) {
    const HeaderList& headers = job.exchange->headers();
    this->records.push_back({job.exchange->method(), job.exchange->target(),
                             request_id,
                             FindHeader(headers, "Authorization") != nullptr,
                             WallClockMilliseconds(), job.received_ms});
  }

  HeaderList ResponseHeaders(const std::string& request_id) {
    const std::string echo = this->faults.sends_wrong_id
                                 ? this->shared.last_request_id + "-other"
                                 : request_id;
    this->shared.last_request_id = request_id;
    HeaderList headers = {
        {"X-Request-Id", echo},
        {"X-Load", std::to_string(this->in_flight)},
        {"X-Uptime-Ms", std::to_string(ToMilliseconds(this->shared.loop.Now() -
                                                      this->started_at))}};
    if (this->faults.is_draining) {
      headers.push_back({"X-Draining", "1"});
    }
    return headers;
  }

  void FinishWork(Job& job) {
    const std::string request_id =
        HeaderValueOrEmpty(job.exchange->headers(), "X-Request-Id");
    const double draw =
        std::uniform_real_distribution<double>(0, 100)(this->shared.random);
    if (draw < this->faults.fail_percent) {
      job.exchange->Respond(500, this->ResponseHeaders(request_id), "failed\n");
      job.End();
      return;
    }
    this->Record(job, request_id);
    if (this->faults.aborts_after_run) {
      job.exchange->Abort();
      job.End();
      return;
    }
    if (job.exchange->target().starts_with("/download/")) {
      this->StartDownload(job, request_id);
      return;
    }
    const std::string response_id =
        this->faults.sends_previous_id ? this->previous_request_id : request_id;
    this->previous_request_id = request_id;
    job.exchange->Respond(200, this->ResponseHeaders(response_id),
                          "done " + response_id + "\n");
    job.End();
  }

  void StartDownload(Job& job, const std::string& request_id) {
    const std::uint64_t size = ToNumber(
        job.exchange->target().substr(std::string("/download/").size()));
    HeaderList headers = this->ResponseHeaders(request_id);
    headers.push_back({"ETag", "\"content-1\""});
    const std::string range =
        HeaderValueOrEmpty(job.exchange->headers(), "Range");
    int status = 200;
    if (range.starts_with("bytes=")) {
      job.start = ToNumber(range.substr(6, range.find('-') - 6));
      status = 206;
      headers.push_back({"Content-Range", "bytes " + std::to_string(job.start) +
                                              "-" + std::to_string(size - 1) +
                                              "/" + std::to_string(size)});
    }
    job.is_download = true;
    job.position = job.start;
    job.end = size;
    job.exchange->BeginResponse(status, std::move(headers), size - job.start);
    job.WriteDownload();
  }

  void OnEnded(Job& job) {
    --this->in_flight;
    if (job.is_working) {
      --this->working;
      this->active.remove_if(
          [&](const auto& other) { return other.get() == &job; });
    }
    this->hanging.remove_if(
        [&](const auto& other) { return other.get() == &job; });
    this->StartNext();
  }

  SharedState& shared;
  TimePoint started_at;
  Faults faults;
  long in_flight = 0;
  long working = 0;
  long max_in_flight = 0;
  long max_cold_excess = 0;
  // Uptime when the load last exceeded the capacity of the cold server; -1:
  // never.
  long last_cold_excess_ms = -1;
  std::list<std::shared_ptr<Job>> queue;
  std::list<std::shared_ptr<Job>> active;
  std::list<std::shared_ptr<Job>> hanging;
  std::vector<RunRecord> records;
  std::string previous_request_id = "none";
};

class BackendProcess {
 public:
  explicit BackendProcess(EventLoop& loop)
      : shared{loop, std::mt19937_64(static_cast<unsigned>(FLAGS_seed)), ""} {
    for (int i = 0; i < FLAGS_count; ++i) {
      this->servers.push_back(
          std::make_unique<BackendServer>(this->shared, FLAGS_warm_start));
    }
  }

  void Serve(std::size_t index,
             const std::shared_ptr<ServerExchange>& exchange) {
    const std::string& target = exchange->target();
    if (target.starts_with("/control")) {
      this->Control(target);
      exchange->Respond(200, {}, "{}");
    } else if (target.starts_with("/records")) {
      exchange->Respond(200, {}, this->RenderRecords());
    } else if (target.starts_with("/stats")) {
      exchange->Respond(200, {}, this->RenderStats());
    } else if (target.starts_with("/health")) {
      exchange->Respond(200, {}, "ok\n");
    } else {
      this->servers[index]->Serve(exchange);
    }
  }

 private:
  void Control(const std::string& target) {
    const std::string server = QueryValue(target, "server");
    if (server != "all") {
      const std::size_t index = ToNumber(server);
      if (index < this->servers.size()) {
        this->servers[index]->Control(target);
      }
      return;
    }
    for (const auto& each : this->servers) {
      each->Control(target);
    }
  }

  std::string RenderRecords() const {
    std::ostringstream text;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      for (const RunRecord& record : this->servers[i]->Records()) {
        text << i << ' ' << record.method << ' ' << record.path << ' '
             << record.request_id << ' ' << (record.has_authorization ? 1 : 0)
             << ' ' << record.finished_ms << ' ' << record.received_ms << '\n';
      }
    }
    return text.str();
  }

  std::string RenderStats() const {
    Json::Value json = Json::arrayValue;
    for (const auto& server : this->servers) {
      json.append(server->Stats());
    }
    return ToCompactText(json);
  }

  SharedState shared;
  std::vector<std::unique_ptr<BackendServer>> servers;
};

int Run() {
  EventLoop loop;
  BackendProcess process(loop);
  std::vector<std::string> addresses;
  for (int i = 0; i < FLAGS_count; ++i) {
    addresses.push_back(FLAGS_host + ":" +
                        std::to_string(FLAGS_first_port + i));
  }
  return ServeUntilTerminated(
      loop, addresses,
      [&](std::size_t index, const std::shared_ptr<ServerExchange>& exchange) {
        process.Serve(index, exchange);
      });
}

}  // namespace
}  // namespace parsleyquay

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyquay::Run();
}
