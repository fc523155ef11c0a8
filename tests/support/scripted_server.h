#ifndef PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "event/io_watcher.h"

namespace parsleyquay {

// A request as its bytes came in.
struct RawRequest {
  std::string head;  // request line and headers, without the empty line
  std::string body;  // as on the wire: chunks are not taken apart
};

// The value of a header of a raw head, "" when it is absent.
std::string RawHeader(const std::string& head, const std::string& name);

// What a scripted server does with its connection after an answer.
enum class ConnectionAction { kKeep, kClose, kReset };

// What it sends, byte for byte.
struct RawResponse {
  std::string bytes;
  ConnectionAction connection_action = ConnectionAction::kKeep;
  // Follows again and again, until the caller closes the connection.
  std::string endless_body = "";
};

// A TCP server on loopback that answers each request with the bytes of a
// script, proper or not.
class ScriptedServer {
 public:
  using Script = std::function<RawResponse(const RawRequest&)>;

  ScriptedServer(EventLoop& loop, Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& address() const { return this->own_address; }
  const std::vector<RawRequest>& requests() const {
    return this->received_requests;
  }
  int connections() const { return this->accepted; }
  // Bytes sent of what follows without end, on all connections.
  std::size_t endless_bytes() const { return this->endless_sent; }
  int open_connections() const { return static_cast<int>(this->open.size()); }
  void SetScript(Script new_script) { this->script = std::move(new_script); }
  // Answers with the head alone, before the body has come.
  void RespondBeforeBody() { this->is_early = true; }

 private:
  struct Connection {
    std::string incoming;
    std::unique_ptr<IoWatcher> watcher;
    bool is_answered_early = false;
    std::string endless;
    std::unique_ptr<IoWatcher> writer;
  };

  void Accept();
  void Read(int descriptor);
  bool HandleNextRequest(int descriptor, Connection& connection);
  bool Answer(int descriptor, const RawRequest& request);
  void ContinueEndlessBody(int descriptor);
  void End(int descriptor, ConnectionAction action);

  EventLoop& loop;
  Script script;
  std::string own_address;
  int listener = -1;
  IoWatcher watcher;
  std::map<int, Connection> open;
  std::vector<std::unique_ptr<IoWatcher>> retired;
  std::vector<RawRequest> received_requests;
  int accepted = 0;
  std::size_t endless_sent = 0;
  bool is_early = false;
};

// A loopback address on which nothing listens now.
std::string FreeAddress();

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_SERVER_H_
