// Stand-ins for backend servers: one process serves many ports.
//
// Requests to a server itself:
//   any method /work/...      does work of --work_ms and records it
//   GET /download/N           N bytes of known content, with ETag and ranges
//   GET /health               always says "ok"
// Control, on any port:
//   POST /control?server=K&KEY=VALUE   switches a fault of server K (or "all"):
//     slow=F          works F times as long
//     fail_percent=P  answers 500 to P in 100
//     hang=0|1        accepts and never answers
//     cut_after=N     ends the connection after N bytes of a download; 0: off
//     die_after_read=0|1  reads the request, runs it, and closes
//     cross=0|1       answers with another request's id
//     late=0|1        answers with what the request before should have got
//     drain=0|1       says that it is draining
//     restart=1       forgets its uptime: it is cold again
//   GET /records              what ran: one line per run,
//                             "server method path request_id key_seen time_ms
//                             received_ms"
//   GET /stats                per server: runs, most in flight while cold, ...

#include <gflags/gflags.h>

#include <charconv>
#include <list>
#include <random>
#include <sstream>

#include "event/timer.h"
#include "fleet/record_codec.h"
#include "http/request_target.h"
#include "standin_server.h"

DEFINE_string(host, "127.0.0.1", "ip to serve on");
DEFINE_int32(first_port, 7200, "port of the first server");
DEFINE_int32(count, 6, "number of servers");
DEFINE_double(work_ms, 5, "usual time of one request");
DEFINE_double(noise, 0.3, "spread of that time: standard deviation / mean");
DEFINE_int32(slots, 3, "requests worked on at once");
DEFINE_int32(cold_ms, 3000, "time from a start to full strength; 0: none");
DEFINE_bool(warm_start, true, "the first start is not cold");
DEFINE_int32(seed, 1, "seed of the times and of failures");

namespace parsleyquay {
namespace {

constexpr std::size_t kDownloadBlock = 16 * 1024;

std::uint64_t ToNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The byte that every download holds at a place.
char ContentAt(std::uint64_t place) {
  return static_cast<char>('a' + (place * 7 + place / 4096) % 26);
}

struct Faults {
  double slow = 1;
  double fail_percent = 0;
  bool hangs = false;
  std::uint64_t cut_after = 0;
  bool dies_after_read = false;
  bool crosses = false;
  bool answers_late = false;
  bool drains = false;
};

struct RunRecord {
  std::string method;
  std::string path;
  std::string request_id;
  bool saw_key = false;
  long time_ms = 0;
  long received_ms = 0;
};

// What all servers of the process share.
struct Shared {
  EventLoop& loop;
  std::mt19937_64 random;
  std::string last_request_id;
};

class BackendServer {
 public:
  BackendServer(Shared& shared, bool is_warm)
      : shared(shared), started_at(shared.loop.Now()) {
    if (is_warm) {
      this->started_at -= milliseconds(FLAGS_cold_ms) + seconds(60);
    }
  }

  void Serve(const std::shared_ptr<ServerExchange>& exchange) {
    ++this->in_flight;
    this->NoteColdLoad();
    const auto job = std::make_shared<Job>(*this, exchange);
    exchange->SetHandlers({[job] { job->OnBody(); }, [job] { job->Pour(); },
                           [job] { job->End(); }});
  }

  void Control(const std::string& target) {
    const auto with = [&](const std::string& name, const auto& use) {
      if (const std::string value = QueryValue(target, name); !value.empty()) {
        use(value);
      }
    };
    with("slow", [&](const auto& v) { this->faults.slow = std::stod(v); });
    with("fail_percent",
         [&](const auto& v) { this->faults.fail_percent = std::stod(v); });
    with("hang", [&](const auto& v) { this->faults.hangs = v == "1"; });
    with("cut_after",
         [&](const auto& v) { this->faults.cut_after = ToNumber(v); });
    with("die_after_read",
         [&](const auto& v) { this->faults.dies_after_read = v == "1"; });
    with("cross", [&](const auto& v) { this->faults.crosses = v == "1"; });
    with("late", [&](const auto& v) { this->faults.answers_late = v == "1"; });
    with("drain", [&](const auto& v) { this->faults.drains = v == "1"; });
    with("restart", [&](const auto&) {
      this->started_at = this->shared.loop.Now();
      this->most_over_cold = 0;
      this->last_over_cold_ms = -1;
    });
  }

  Json::Value Stats() const {
    Json::Value json;
    json["runs"] = Json::UInt64(this->records.size());
    json["in_flight"] = Json::Int64(this->in_flight);
    json["most_in_flight"] = Json::Int64(this->most_in_flight);
    json["most_over_cold"] = Json::Int64(this->most_over_cold);
    json["last_over_cold_ms"] = Json::Int64(this->last_over_cold_ms);
    json["last_run_ms"] =
        Json::Int64(this->records.empty() ? 0 : this->records.back().time_ms);
    return json;
  }

  const std::vector<RunRecord>& Records() const { return this->records; }

 private:
  // One request at this server.
  struct Job : std::enable_shared_from_this<Job> {
    Job(BackendServer& server, std::shared_ptr<ServerExchange> exchange)
        : server(server),
          exchange(std::move(exchange)),
          timer(server.shared.loop, [this] { this->Finish(); }) {}

    void OnBody() {
      char buffer[16 * 1024];
      while (this->exchange->ReadBody(buffer, sizeof(buffer)) > 0) {
      }
      if (this->exchange->is_body_complete() && !this->is_queued) {
        this->is_queued = true;
        this->server.Enqueue(this->shared_from_this());
      }
    }

    void Finish() { this->server.FinishWork(*this); }

    void Pour() {
      while (this->place < this->end && this->exchange->has_room()) {
        const std::uint64_t cut = this->server.faults.cut_after;
        if (cut > 0 && this->place - this->start >= cut) {
          this->exchange->Abort();
          this->End();
          return;
        }
        std::string block;
        const auto size =
            std::min<std::uint64_t>(kDownloadBlock, this->end - this->place);
        for (std::uint64_t i = 0; i < size; ++i) {
          block += ContentAt(this->place + i);
        }
        this->place += size;
        this->exchange->Write(block);
      }
      if (this->is_download && this->place == this->end) {
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
    std::uint64_t place = 0;
    std::uint64_t end = 0;
  };

  // How many requests the server bears at present.
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

  void NoteColdLoad() {
    this->most_in_flight = std::max(this->most_in_flight, this->in_flight);
    if (this->IsCold()) {
      const long over = this->in_flight - this->ColdCapacity();
      if (over > 0) {
        this->last_over_cold_ms =
            ToMilliseconds(this->shared.loop.Now() - this->started_at);
      }
      this->most_over_cold = std::max(this->most_over_cold, over);
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
      job->timer.StartOnce(this->WorkTime());
    }
  }

  Duration WorkTime() {
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

  HeaderList AnswerHeaders(const std::string& request_id) {
    const std::string echo = this->faults.crosses
                                 ? this->shared.last_request_id + "-other"
                                 : request_id;
    this->shared.last_request_id = request_id;
    HeaderList headers = {
        {"X-Request-Id", echo},
        {"X-Load", std::to_string(this->in_flight)},
        {"X-Uptime-Ms", std::to_string(ToMilliseconds(this->shared.loop.Now() -
                                                      this->started_at))}};
    if (this->faults.drains) {
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
      job.exchange->Respond(500, this->AnswerHeaders(request_id), "failed\n");
      job.End();
      return;
    }
    this->Record(job, request_id);
    if (this->faults.dies_after_read) {
      job.exchange->Abort();
      job.End();
      return;
    }
    if (job.exchange->target().starts_with("/download/")) {
      this->StartDownload(job, request_id);
      return;
    }
    const std::string answered_id =
        this->faults.answers_late ? this->previous_request_id : request_id;
    this->previous_request_id = request_id;
    job.exchange->Respond(200, this->AnswerHeaders(answered_id),
                          "done " + answered_id + "\n");
    job.End();
  }

  void StartDownload(Job& job, const std::string& request_id) {
    const std::uint64_t size = ToNumber(
        job.exchange->target().substr(std::string("/download/").size()));
    HeaderList headers = this->AnswerHeaders(request_id);
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
    job.place = job.start;
    job.end = size;
    job.exchange->BeginResponse(status, std::move(headers), size - job.start);
    job.Pour();
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

  Shared& shared;
  TimePoint started_at;
  Faults faults;
  long in_flight = 0;
  long working = 0;
  long most_in_flight = 0;
  long most_over_cold = 0;
  long last_over_cold_ms = -1;  // after the start
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
             << record.request_id << ' ' << (record.saw_key ? 1 : 0) << ' '
             << record.time_ms << ' ' << record.received_ms << '\n';
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

  Shared shared;
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
