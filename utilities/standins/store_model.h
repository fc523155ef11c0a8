#ifndef PARSLEYQUAY_UTILITIES_STANDINS_STORE_MODEL_H_
#define PARSLEYQUAY_UTILITIES_STANDINS_STORE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "event/timer.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// A stand-in for the users' store, of its published protocol as much as the
// fleet uses: keyed topics of one partition, conditional appends, reads that
// wait, the newest record of each key, and groups. POST /control?KEY=VALUE
// switches faults; `port` is the index of the address that a call came to, so
// that each instance can be given an address and faults of its own:
//   down=PORT|all    up=PORT|all    answers 503, or serves again
//   silent=PORT|all                 answers nothing any more, until up
//   slow_ms=N                       answers that much later
//   lose_replies=N                  the next N writes are done, not answered
//   late_ms=N                       writes without answer are done later
//   forget=1                        drops the history; the newest stay
//   regroup=1                       deals all partitions anew
//   put=TOPIC&key=KEY               appends the body as the key's value
//   drop=TOPIC&key=KEY              appends a record that drops the key
class StoreModel {
 public:
  explicit StoreModel(EventLoop& loop);

  void Serve(std::size_t port, const std::shared_ptr<ServerExchange>& exchange);

  // Calls that were answered or refused, by path.
  const std::map<std::string, int>& calls() const { return this->call_counts; }

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::uint64_t first = 0;  // the oldest offset that is kept
    std::deque<Record> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t end() const { return this->first + this->records.size(); }
  };
  struct WaitingRead {
    std::weak_ptr<ServerExchange> exchange;
    std::string topic;
    std::uint64_t from = 0;
    TimePoint until;
  };
  struct Member {
    TimePoint expires_at;
    std::uint64_t known_generation = 0;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::map<std::string, Member> members;
    std::vector<std::string> owners;  // by partition, "" when free
  };

  void Dispatch(std::size_t port,
                const std::shared_ptr<ServerExchange>& exchange,
                const std::string& body);
  void Control(ServerExchange& exchange, const std::string& body);
  void Append(const std::shared_ptr<ServerExchange>& exchange,
              const std::string& body);
  void Read(const std::shared_ptr<ServerExchange>& exchange);
  void ReadNewest(ServerExchange& exchange);
  void Join(ServerExchange& exchange, const std::string& body);
  void Leave(ServerExchange& exchange, const std::string& body);
  void AssignPartitions(Group& group);
  void ExpireMembers(Group& group);
  void Put(const std::string& topic, const std::string& content);
  void AnswerWaitingReads();
  void Respond(const std::shared_ptr<ServerExchange>& exchange,
               int status,
               std::string body);
  void RunAfter(Duration delay, std::function<void()> action);

  EventLoop& loop;
  Timer read_timer;
  std::map<std::string, Topic> topics;
  std::map<std::string, Group> groups;
  std::vector<WaitingRead> waiting_reads;
  std::vector<std::unique_ptr<Timer>> delayed_actions;
  std::set<std::string> unavailable_ports;
  std::set<std::string> silent_ports;
  Duration response_delay = Duration(0);
  Duration unanswered_write_delay = Duration(0);
  int lost_replies = 0;
  std::map<std::string, int> call_counts;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_STANDINS_STORE_MODEL_H_
