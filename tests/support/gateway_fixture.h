#ifndef PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
#define PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event/timer.h"
#include "gateway/gateway.h"
#include "http/http_client.h"
#include "support/scripted_server.h"

namespace parsleyquay {

// A feed whose changes a test makes. Reads are answered on a later turn of the
// loop, as those of a real store are.
template <typename Change>
class FakeFeed {
 public:
  explicit FakeFeed(EventLoop& loop)
      : timer(loop, [this] { this->AnswerReads(); }) {
    this->timer.StartRepeating(milliseconds(2));
  }

  ChangeFeed<Change> feed() {
    return {.read_all =
                [this](const FeedReadOptions&,
                       typename ChangeFeed<Change>::OnRead on_read) {
                  return this->Add({std::nullopt, std::move(on_read)});
                },
            .read_from =
                [this](std::uint64_t position, const FeedReadOptions& options,
                       typename ChangeFeed<Change>::OnRead on_read) {
                  return this->Add({position, std::move(on_read),
                                    options.wait > Duration(0)});
                }};
  }

  void Append(Change change) { this->changes.push_back(std::move(change)); }
  void SetAvailable(bool available) { this->is_available = available; }

 private:
  struct Read {
    std::optional<std::uint64_t> position;
    typename ChangeFeed<Change>::OnRead on_read;
    bool waits = false;
    std::uint64_t id = 0;
  };

  CancelFeedRead Add(Read read) {
    const std::uint64_t id = ++this->last_id;
    read.id = id;
    this->reads.push_back(std::move(read));
    return [this, id] {
      std::erase_if(this->reads, [id](const Read& r) { return r.id == id; });
    };
  }

  void AnswerReads() {
    std::deque<Read> pending;
    std::swap(pending, this->reads);
    for (Read& read : pending) {
      const std::uint64_t from = read.position.value_or(0);
      if (!this->is_available) {
        read.on_read(
            {.status = FeedReadStatus::kUnavailable, .detail = "test"});
      } else if (read.waits && from >= this->changes.size()) {
        this->reads.push_back(std::move(read));
      } else {
        const auto begin =
            this->changes.begin() + static_cast<std::ptrdiff_t>(from);
        read.on_read({.status = FeedReadStatus::kRead,
                      .changes = {begin, this->changes.end()},
                      .next_position = this->changes.size()});
      }
    }
  }

  std::vector<Change> changes;
  std::deque<Read> reads;
  std::uint64_t last_id = 0;
  bool is_available = true;
  Timer timer;
};

// One gateway on loopback in this process, with feeds that the test fills and
// servers that it scripts.
class GatewayFixture {
 public:
  GatewayFixture();

  // Publishes a configuration with the usual routes: /safe/ and /bulk/ may
  // repeat, /once/ may not, all three of service "work"; /open/ is public.
  // Workspace "shop" has the key "shop-key".
  void Configure(std::uint64_t version = 1);

  // Starts a scripted server and lists it for "work".
  ScriptedServer& AddServer(const std::string& id,
                            ScriptedServer::Script script);
  void ListServer(const std::string& id,
                  const std::string& address,
                  bool is_draining = false);

  // Sends a request with id "r-1" and the key, and waits for its end.
  BufferedResponse Send(const std::string& method,
                        const std::string& target,
                        HeaderList headers = {},
                        const std::string& body = "");
  BufferedResponse Get(const std::string& address, const std::string& target);

  // Serves the loop until the condition holds; returns whether it does.
  bool Await(const std::function<bool()>& condition,
             Duration patience = seconds(5));
  void RunFor(Duration duration);
  bool AwaitReady();

  EventLoop loop;
  HttpClient gateway_client{loop};
  HttpClient caller{loop};
  FakeFeed<OperatorChange> operators{loop};
  FakeFeed<ServerChange> servers{loop};
  FakeFeed<MemberChange> members{loop};
  GatewaySettings settings;
  std::string secret;  // of the fleet; empty until the gateway asks for it
  std::unique_ptr<Gateway> gateway;
  std::vector<std::unique_ptr<ScriptedServer>> scripted;

 private:
  CoordinationStore MakePort();
  std::uint64_t next_sequence = 1;
};

// A whole answer of a server to a raw request, signed and with its id.
std::string SignedOkResponse(const RawRequest& request,
                             const std::string& body);

// The same with a status line and headers of the test's own.
std::string MakeResponse(const RawRequest& request,
                         const std::string& status,
                         const std::string& more_headers,
                         const std::string& body);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
