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

// A stand-in for the users' store. It implements the part of the store's
// published protocol that the fleet uses: keyed topics of one partition each,
// conditional appends, long polling reads, the newest record of each key, and
// consumer groups. POST /control?KEY=VALUE sets faults and writes records.
// INDEX is the index of the address at which a call arrives, so that each
// instance can be given an address and faults of its own:
//   down=INDEX|all      responds with 503
//   silent=INDEX|all    does not respond
//   up=INDEX|all        ends the `down` and `silent` that had the same value
//   slow_ms=N           delays all responses by N ms, except successful ones to
//                       log-newest, log-join and log-leave
//   lose_replies=N      does not respond to the next N appends
//   late_ms=N           delays the effect of those appends by N ms
//   forget=1            drops the history of all topics, but keeps the newest
//                       record of each key
//   rewind_ms=N         returns with the data of N ms ago and an era that is
//                       one higher; reads that wait get a 503. `down=all`
//                       before and `up=all` after it make an outage of it. The
//                       era is stated in all responses, unless it is 0
//   regroup=1           assigns each partition of all groups to another member,
//                       if there is one
//   put=TOPIC&key=KEY   appends a record with the body as its value
//   drop=TOPIC&key=KEY  appends a record that deletes the key
//   reads=TOPIC         responds with the number of reads of the topic that
//                       have arrived, as a JSON object by address index
class StoreModel {
 public:
  explicit StoreModel(EventLoop& loop);

  // Reads a request that arrived at the address with the index `address_index`,
  // and responds to it.
  void Serve(std::size_t address_index,
             const std::shared_ptr<ServerExchange>& exchange);

  // Number of calls received so far, by path, control requests excluded.
  const std::map<std::string, int>& calls() const { return this->call_counts; }

 private:
  struct Record {
    std::string key;
    std::string value;
    TimePoint written_at;
    // The newest record of the key before this one, with its offset.
    std::optional<std::pair<std::uint64_t, std::string>> replaced;
  };
  struct Topic {
    std::uint64_t first = 0;  // oldest offset that is still stored
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
    std::vector<std::string> owners;  // by partition; "" if it has no owner
  };
  // The groups as of some time.
  struct GroupCopy {
    TimePoint made_at;
    std::map<std::string, Group> groups;
  };

  void Dispatch(std::size_t address_index,
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
  void Rewind(Duration age);
  void CopyGroups();
  HeaderList EraHeaders() const;
  void CompleteWaitingReads();
  void Respond(const std::shared_ptr<ServerExchange>& exchange,
               int status,
               std::string body);
  void RunAfter(Duration delay, std::function<void()> action);

  EventLoop& loop;
  Timer read_timer;
  std::map<std::string, Topic> topics;
  std::map<std::string, Group> groups;
  std::deque<GroupCopy> group_copies;  // one after each reassignment
  std::uint64_t era = 0;
  std::vector<WaitingRead> waiting_reads;
  std::vector<std::unique_ptr<Timer>> delayed_actions;
  std::set<std::string> unavailable_addresses;
  std::set<std::string> silent_addresses;
  Duration response_delay = Duration(0);
  Duration lost_append_delay = Duration(0);
  int lost_replies = 0;
  std::map<std::string, int> call_counts;
  std::map<std::string, std::map<std::size_t, int>> read_counts;  // by topic
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_STANDINS_STORE_MODEL_H_
