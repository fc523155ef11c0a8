// A stand-in for the platform: an append-only log and a list of instances.
//
//   POST /log                      appends the body, answers {"offset": N}
//   GET  /log?from=N               entries from N on, with the log's bounds
//   GET  /instances                the list, as old as the lag makes it
//   POST /control?KEY=VALUE        switches faults:
//     down=0|1          refuses everything
//     lose_replies=0|1  appends take effect, their replies do not come
//     keep=N            drops all but the newest N entries
//     list_lag_ms=N     how old the list is
//   POST /instances                replaces the list by the body

#include <gflags/gflags.h>

#include <algorithm>
#include <deque>

#include "event/timer.h"
#include "fleet/record_codec.h"
#include "http/request_target.h"
#include "standin_server.h"

DEFINE_string(listen, "127.0.0.1:7100", "ip:port to serve on");

namespace parsleyquay {
namespace {

constexpr std::size_t kPageBytes = 1024 * 1024;
constexpr long kFirstTimeMs = 1;

struct KeptEntry {
  std::uint64_t offset = 0;
  long time_ms = kFirstTimeMs;
  std::string data;
};

struct ListVersion {
  TimePoint since;
  std::string text;
};

class PlatformStandIn {
 public:
  explicit PlatformStandIn(EventLoop& loop) : loop(loop) {
    this->lists.push_back({loop.Now(), "{\"instances\":[]}"});
  }

  void Serve(const std::shared_ptr<ServerExchange>& exchange) {
    if (exchange->target().starts_with("/control")) {
      this->Control(*exchange);
      return;
    }
    const auto body = std::make_shared<std::string>();
    const auto collect = [this, body, raw = exchange.get()] {
      char buffer[16 * 1024];
      while (const std::size_t size = raw->ReadBody(buffer, sizeof(buffer))) {
        body->append(buffer, size);
      }
      if (raw->is_body_complete()) {
        this->Answer(*raw, *body);
      }
    };
    exchange->SetHandlers({collect, {}, {}});
  }

 private:
  void Answer(ServerExchange& exchange, const std::string& body) {
    const bool is_append = exchange.method() == "POST";
    const bool is_list = exchange.target().starts_with("/instances");
    if (is_list && is_append) {
      this->lists.push_back({this->loop.Now(), body});
      exchange.Respond(200, {}, "{}");
      return;
    }
    if (this->is_down) {
      exchange.Respond(503, {}, "{}");
      return;
    }
    if (is_list) {
      exchange.Respond(200, {}, this->CurrentList());
    } else if (is_append) {
      this->Append(exchange, body);
    } else {
      exchange.Respond(200, {}, this->Page(exchange.target()));
    }
  }

  void Append(ServerExchange& exchange, const std::string& body) {
    const std::uint64_t offset = this->next_offset++;
    this->entries.push_back({offset, WallClockMilliseconds(), body});
    if (this->loses_replies) {
      exchange.Abort();
      return;
    }
    exchange.Respond(200, {}, "{\"offset\":" + std::to_string(offset) + "}");
  }

  std::string Page(const std::string& target) const {
    const std::uint64_t from = ParseQueryNumber(target, "from");
    Json::Value json;
    json["first"] = Json::UInt64(this->next_offset - this->entries.size());
    json["next"] = Json::UInt64(this->next_offset);
    json["records"] = Json::arrayValue;
    std::size_t bytes = 0;
    const auto start =
        std::ranges::lower_bound(this->entries, from, {}, &KeptEntry::offset);
    for (auto entry = start; entry != this->entries.end(); ++entry) {
      if (bytes > kPageBytes) {
        break;
      }
      bytes += entry->data.size();
      Json::Value item;
      item["offset"] = Json::UInt64(entry->offset);
      item["time_ms"] = Json::Int64(entry->time_ms);
      item["data"] = entry->data;
      json["records"].append(item);
    }
    return ToCompactText(json);
  }

  std::string CurrentList() {
    const TimePoint as_of = this->loop.Now() - this->list_lag;
    while (this->lists.size() > 1 && this->lists[1].since <= as_of) {
      this->lists.pop_front();
    }
    return this->lists.front().text;
  }

  void Control(ServerExchange& exchange) {
    const std::string& target = exchange.target();
    if (const std::string down = QueryValue(target, "down"); !down.empty()) {
      this->is_down = down == "1";
    }
    if (const std::string lose = QueryValue(target, "lose_replies");
        !lose.empty()) {
      this->loses_replies = lose == "1";
    }
    if (const std::string keep = QueryValue(target, "keep"); !keep.empty()) {
      while (this->entries.size() > ParseQueryNumber(target, "keep")) {
        this->entries.pop_front();
      }
    }
    if (const std::string lag = QueryValue(target, "list_lag_ms");
        !lag.empty()) {
      this->list_lag = milliseconds(ParseQueryNumber(target, "list_lag_ms"));
    }
    exchange.Respond(200, {}, "{}");
  }

  EventLoop& loop;
  bool is_down = false;
  bool loses_replies = false;
  Duration list_lag = Duration(0);
  std::uint64_t next_offset = 0;
  std::deque<KeptEntry> entries;
  std::deque<ListVersion> lists;
};

int Run() {
  EventLoop loop;
  PlatformStandIn platform(loop);
  return ServeUntilTerminated(
      loop, {FLAGS_listen},
      [&](std::size_t, const std::shared_ptr<ServerExchange>& exchange) {
        platform.Serve(exchange);
      });
}

}  // namespace
}  // namespace parsleyquay

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyquay::Run();
}
