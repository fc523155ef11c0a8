#include "store_model.h"

#include <json/json.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/duration_text.h"
#include "http/request_target.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kPartitions = 12;
constexpr Duration kReadPollInterval = milliseconds(5);
constexpr std::size_t kNewestPageSize = 500;

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text += static_cast<char>(number >> shift & 0xff);
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  std::string text(
      sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

Json::Value ParseBody(const std::string& body) {
  Json::Value value;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  reader->parse(body.data(), body.data() + body.size(), &value, nullptr);
  return value;
}

std::string Render(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool HasAddress(const std::set<std::string>& addresses,
                std::size_t address_index) {
  return addresses.contains("all") ||
         addresses.contains(std::to_string(address_index));
}

}  // namespace

StoreModel::StoreModel(EventLoop& loop)
    : loop(loop), read_timer(loop, [this] { this->CompleteWaitingReads(); }) {
  this->read_timer.StartRepeating(kReadPollInterval);
}

void StoreModel::Serve(std::size_t address_index,
                       const std::shared_ptr<ServerExchange>& exchange) {
  const auto body = std::make_shared<std::string>();
  const std::weak_ptr<ServerExchange> weak = exchange;
  exchange->SetHandlers({.on_body = [this, address_index, body, weak] {
    const auto open = weak.lock();
    if (!open) {
      return;
    }
    std::array<char, 16'384> buffer;
    while (const std::size_t size =
               open->ReadBody(buffer.data(), buffer.size())) {
      body->append(buffer.data(), size);
    }
    if (open->is_body_complete()) {
      this->Dispatch(address_index, open, *body);
    }
  }});
}

void StoreModel::Dispatch(std::size_t address_index,
                          const std::shared_ptr<ServerExchange>& exchange,
                          const std::string& body) {
  const std::string path = PathFromTarget(exchange->target());
  if (path == "/control") {
    this->Control(*exchange, body);
    return;
  }
  ++this->call_counts[path];
  if (path == "/api/log-read" || path == "/api/log-newest") {
    ++this->read_counts[QueryValue(exchange->target(), "topic")][address_index];
  }
  if (HasAddress(this->silent_addresses, address_index)) {
    return;
  }
  if (HasAddress(this->unavailable_addresses, address_index)) {
    this->Respond(exchange, 503, "{}");
  } else if (path == "/api/log-append") {
    this->Append(exchange, body);
  } else if (path == "/api/log-read") {
    this->Read(exchange);
  } else if (path == "/api/log-newest") {
    this->ReadNewest(*exchange);
  } else if (path == "/api/log-join") {
    this->Join(*exchange, body);
  } else if (path == "/api/log-leave") {
    this->Leave(*exchange, body);
  } else {
    this->Respond(exchange, 404, "{}");
  }
}

void StoreModel::Control(ServerExchange& exchange, const std::string& body) {
  const std::string& target = exchange.target();
  if (const auto topic = QueryValue(target, "reads"); !topic.empty()) {
    Json::Value counts(Json::objectValue);
    for (const auto& [address_index, count] : this->read_counts[topic]) {
      counts[std::to_string(address_index)] = count;
    }
    exchange.Respond(200, {}, Render(counts));
    return;
  }
  const std::string key = QueryValue(target, "key");
  const std::string content = static_cast<char>(key.size()) + key;
  if (const auto address_index = QueryValue(target, "down");
      !address_index.empty()) {
    this->unavailable_addresses.insert(address_index);
  } else if (const auto address_index = QueryValue(target, "silent");
             !address_index.empty()) {
    this->silent_addresses.insert(address_index);
  } else if (const auto address_index = QueryValue(target, "up");
             !address_index.empty()) {
    this->unavailable_addresses.erase(address_index);
    this->silent_addresses.erase(address_index);
  } else if (const auto topic = QueryValue(target, "put"); !topic.empty()) {
    this->Put(topic, content + body);
  } else if (const auto topic = QueryValue(target, "drop"); !topic.empty()) {
    this->Put(topic, content);
  } else if (!QueryValue(target, "forget").empty()) {
    for (auto& [name, topic] : this->topics) {
      topic.first = topic.end();
      topic.records.clear();
    }
  } else if (!QueryValue(target, "rewind_ms").empty()) {
    this->Rewind(milliseconds(ParseQueryNumber(target, "rewind_ms")));
  } else if (!QueryValue(target, "regroup").empty()) {
    for (auto& [name, group] : this->groups) {
      if (group.members.empty()) {
        continue;
      }
      for (std::string& owner : group.owners) {
        const auto next = group.members.upper_bound(owner);
        owner = next == group.members.end() ? group.members.begin()->first
                                            : next->first;
      }
      ++group.generation;
    }
    this->CopyGroups();
  }
  if (const auto text = QueryValue(target, "slow_ms"); !text.empty()) {
    this->response_delay = milliseconds(ParseQueryNumber(target, "slow_ms"));
  }
  if (const auto text = QueryValue(target, "late_ms"); !text.empty()) {
    this->lost_append_delay = milliseconds(ParseQueryNumber(target, "late_ms"));
  }
  this->lost_replies +=
      static_cast<int>(ParseQueryNumber(target, "lose_replies"));
  exchange.Respond(200, {}, "{}");
}

void StoreModel::Append(const std::shared_ptr<ServerExchange>& exchange,
                        const std::string& body) {
  const std::string& target = exchange->target();
  const std::string name = QueryValue(target, "topic");
  Topic& topic = this->topics[name];
  if (!QueryValue(target, "at").empty() &&
      ParseQueryNumber(target, "at") != topic.end()) {
    this->Respond(exchange, 412,
                  "{\"end\":" + std::to_string(topic.end()) + "}");
    return;
  }
  constexpr std::size_t kLengthBytes = 4;
  const std::string content = body.substr(std::min(kLengthBytes, body.size()));
  if (this->lost_replies > 0) {
    --this->lost_replies;
    this->RunAfter(this->lost_append_delay,
                   [this, name, content] { this->Put(name, content); });
    return;
  }
  const std::uint64_t offset = topic.end();
  this->Put(name, content);
  this->Respond(exchange, 200,
                "{\"offset\":" + std::to_string(offset) +
                    ",\"end\":" + std::to_string(offset + 1) + "}");
}

void StoreModel::Put(const std::string& topic, const std::string& content) {
  const std::size_t key_size = static_cast<unsigned char>(content.at(0));
  Record record{.key = content.substr(1, key_size),
                .value = content.substr(1 + key_size),
                .written_at = this->loop.Now()};
  Topic& kept = this->topics[topic];
  if (const auto replaced = kept.newest.find(record.key);
      replaced != kept.newest.end()) {
    record.replaced = replaced->second;
  }
  if (record.value.empty()) {
    kept.newest.erase(record.key);
  } else {
    kept.newest[record.key] = {kept.end(), record.value};
  }
  kept.records.push_back(std::move(record));
}

void StoreModel::Read(const std::shared_ptr<ServerExchange>& exchange) {
  const std::string& target = exchange->target();
  this->waiting_reads.push_back(
      {exchange, QueryValue(target, "topic"), ParseQueryNumber(target, "from"),
       this->loop.Now() + milliseconds(ParseQueryNumber(target, "wait_ms"))});
}

void StoreModel::CompleteWaitingReads() {
  std::vector<WaitingRead> reads = std::move(this->waiting_reads);
  this->waiting_reads.clear();
  for (WaitingRead& read : reads) {
    const auto exchange = read.exchange.lock();
    if (!exchange || exchange->is_closed()) {
      continue;
    }
    const Topic& topic = this->topics[read.topic];
    if (read.from < topic.first || read.from > topic.end()) {
      this->Respond(exchange, 410,
                    "{\"first\":" + std::to_string(topic.first) + "}");
    } else if (read.from >= topic.end() && this->loop.Now() < read.until) {
      this->waiting_reads.push_back(std::move(read));
    } else {
      std::string body = BigEndian(topic.end(), 8) + BigEndian(topic.first, 8);
      for (std::uint64_t i = read.from; i < topic.end(); ++i) {
        const Record& record = topic.records[i - topic.first];
        body += BigEndian(1 + record.key.size() + record.value.size(), 4) +
                static_cast<char>(record.key.size()) + record.key +
                record.value;
      }
      this->Respond(exchange, 200, body);
    }
  }
}

void StoreModel::ReadNewest(ServerExchange& exchange) {
  const Topic& topic = this->topics[QueryValue(exchange.target(), "topic")];
  const std::string after = QueryValue(exchange.target(), "after");
  Json::Value page;
  page["items"] = Json::arrayValue;
  page["has_more"] = false;
  page["end"] = Json::UInt64(topic.end());
  for (auto item = topic.newest.upper_bound(after); item != topic.newest.end();
       ++item) {
    if (page["items"].size() == kNewestPageSize) {
      page["has_more"] = true;
      break;
    }
    Json::Value row;
    row["key"] = item->first;
    row["value"] = Base64(item->second.second);
    row["offset"] = Json::UInt64(item->second.first);
    page["items"].append(std::move(row));
  }
  exchange.Respond(200, this->EraHeaders(), Render(page));
}

// Takes partitions from members that have left and from those that own more
// than an even part, then assigns each free one to the member that owns fewest.
void StoreModel::AssignPartitions(Group& group) {
  if (group.members.empty()) {
    return;
  }
  group.owners.resize(kPartitions);
  const std::size_t max_per_member =
      (kPartitions + group.members.size() - 1) / group.members.size();
  std::map<std::string, std::size_t> owned_counts;
  for (std::string& owner : group.owners) {
    const bool keeps_partition =
        group.members.contains(owner) && owned_counts[owner] < max_per_member;
    if (keeps_partition) {
      ++owned_counts[owner];
    } else {
      owner.clear();
    }
  }
  for (std::string& owner : group.owners) {
    if (owner.empty()) {
      const auto next = std::ranges::min_element(
          group.members, {},
          [&](const auto& member) { return owned_counts[member.first]; });
      owner = next->first;
      ++owned_counts[owner];
    }
  }
  ++group.generation;
  this->CopyGroups();
}

void StoreModel::ExpireMembers(Group& group) {
  const auto expired_count =
      std::erase_if(group.members, [&](const auto& member) {
        return member.second.expires_at <= this->loop.Now();
      });
  if (expired_count > 0) {
    this->AssignPartitions(group);
  }
}

void StoreModel::Join(ServerExchange& exchange, const std::string& body) {
  const Json::Value call = ParseBody(body);
  Group& group = this->groups[call["group"].asString()];
  this->ExpireMembers(group);
  const std::string member = call["member"].asString();
  const bool is_new = !group.members.contains(member);
  group.members[member].expires_at =
      this->loop.Now() +
      ParseDuration(call["ttl_time"].asString()).value_or(seconds(1));
  if (is_new) {
    this->AssignPartitions(group);
  }
  Json::Value response;
  response["generation"] = Json::UInt64(group.generation);
  response["ttl_time"] = call["ttl_time"];
  response["parts"] = Json::arrayValue;
  for (std::size_t part = 0; part < group.owners.size(); ++part) {
    if (group.owners[part] == member) {
      Json::Value row;
      row.append(call["topics"][0]);
      row.append(Json::UInt64(part));
      row.append(0);
      response["parts"].append(std::move(row));
    }
  }
  exchange.Respond(200, this->EraHeaders(), Render(response));
}

void StoreModel::Leave(ServerExchange& exchange, const std::string& body) {
  const Json::Value call = ParseBody(body);
  Group& group = this->groups[call["group"].asString()];
  if (group.members.erase(call["member"].asString()) > 0) {
    this->AssignPartitions(group);
  }
  exchange.Respond(200, this->EraHeaders(), "{}");
}

void StoreModel::Respond(const std::shared_ptr<ServerExchange>& exchange,
                         int status,
                         std::string body) {
  if (this->response_delay == Duration(0)) {
    exchange->Respond(status, this->EraHeaders(), std::move(body));
    return;
  }
  const std::weak_ptr<ServerExchange> weak = exchange;
  this->RunAfter(this->response_delay, [weak, status, body = std::move(body),
                                        headers = this->EraHeaders()] {
    const auto open = weak.lock();
    if (open && !open->is_closed()) {
      open->Respond(status, headers, body);
    }
  });
}

HeaderList StoreModel::EraHeaders() const {
  return this->era == 0 ? HeaderList()
                        : HeaderList{{"Store-Era", std::to_string(this->era)}};
}

// Undoes the appends and the group changes since then. Records that `forget`
// has dropped cannot be undone.
void StoreModel::Rewind(Duration age) {
  const TimePoint then = this->loop.Now() - age;
  for (auto& [name, topic] : this->topics) {
    while (!topic.records.empty() && topic.records.back().written_at > then) {
      const Record& undone = topic.records.back();
      if (undone.replaced) {
        topic.newest[undone.key] = *undone.replaced;
      } else {
        topic.newest.erase(undone.key);
      }
      topic.records.pop_back();
    }
  }
  while (!this->group_copies.empty() &&
         this->group_copies.back().made_at > then) {
    this->group_copies.pop_back();
  }
  this->groups = this->group_copies.empty() ? std::map<std::string, Group>()
                                            : this->group_copies.back().groups;
  // Members that renew soon stay in their group.
  constexpr Duration kShortestLease = seconds(1);
  for (auto& [name, group] : this->groups) {
    for (auto& [member, lease] : group.members) {
      lease.expires_at = this->loop.Now() + kShortestLease;
    }
  }
  for (const WaitingRead& read : std::exchange(this->waiting_reads, {})) {
    const auto exchange = read.exchange.lock();
    if (exchange && !exchange->is_closed()) {
      this->Respond(exchange, 503, "{}");
    }
  }
  ++this->era;
}

void StoreModel::CopyGroups() {
  constexpr std::size_t kMaxCopies = 100;
  this->group_copies.push_back({this->loop.Now(), this->groups});
  if (this->group_copies.size() > kMaxCopies) {
    this->group_copies.pop_front();
  }
}

void StoreModel::RunAfter(Duration delay, std::function<void()> action) {
  this->delayed_actions.push_back(
      std::make_unique<Timer>(this->loop, std::move(action)));
  this->delayed_actions.back()->StartOnce(delay);
}

}  // namespace parsleyquay
