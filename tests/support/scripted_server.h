#ifndef PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "event/io_watcher.h"
#include "event/timer.h"

namespace parsleyquay {

// A request as it was received.
struct RawRequest {
  std::string head;  // request line and headers, without the empty line
  std::string body;  // as on the wire; a chunked body is not decoded
};

// Returns the value of a header, or an empty string if it is absent.
std::string RawHeader(const std::string& head, const std::string& name);

// What a scripted server does with the connection after a response.
enum class ConnectionAction { kKeep, kClose, kReset };

// The bytes that a scripted server sends as a response.
struct RawResponse {
  std::string bytes;
  ConnectionAction connection_action = ConnectionAction::kKeep;
  // Sent repeatedly after `bytes` until the client closes the connection.
  std::string endless_body = "";
  // Time from the request to the response.
  Duration delay = Duration(0);
  // Sent on the kept connection once `stray_delay` has passed since `bytes`, or
  // as soon as the next request has arrived, whichever comes first. With a
  // delay of 0, sent together with `bytes`.
  std::string stray_bytes = "";
  Duration stray_delay = Duration(0);
};

// A TCP server on loopback that responds to each request with the bytes that a
// script returns, whether or not they are valid HTTP.
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
  // Returns how many bytes of `RawResponse::endless_body` were sent on all
  // connections.
  std::size_t endless_bytes() const { return this->endless_sent; }
  int open_connections() const { return static_cast<int>(this->open.size()); }
  void SetScript(Script new_script) { this->script = std::move(new_script); }
  // Makes the server respond as soon as it has received the headers of a
  // request, before the body has arrived.
  void RespondBeforeBody() { this->is_responding_early = true; }
  // Accepts no connections until ResumeAccepting() is called. At most two wait
  // meanwhile, and the kernel drops the attempts to connect beyond these.
  void PauseAccepting();
  void ResumeAccepting();

 private:
  struct Connection {
    std::string incoming;
    std::unique_ptr<IoWatcher> watcher;
    bool has_early_response = false;
    std::string endless;
    std::unique_ptr<IoWatcher> writer;
    std::unique_ptr<Timer> delayed_response;
    std::string outgoing;  // not yet sent
    ConnectionAction action_when_sent = ConnectionAction::kKeep;
    std::string stray_bytes;
    std::unique_ptr<Timer> stray_timer;
  };

  void Accept();
  void Read(int descriptor);
  bool HandleNextRequest(int descriptor, Connection& connection);
  bool Respond(int descriptor, const RawRequest& request);
  bool SendResponse(int descriptor, const RawResponse& response);
  // Sends what is outgoing. Returns whether the connection is still open.
  bool Flush(int descriptor);
  bool SendStrayBytes(int descriptor);  // likewise
  void ContinueEndlessBody(int descriptor);
  void End(int descriptor, ConnectionAction action);

  EventLoop& loop;
  Script script;
  std::string own_address;
  int listener = -1;
  IoWatcher watcher;
  std::map<int, Connection> open;
  std::vector<std::unique_ptr<IoWatcher>> stopped_watchers;
  std::vector<std::unique_ptr<Timer>> stopped_timers;
  std::vector<RawRequest> received_requests;
  int accepted = 0;
  std::size_t endless_sent = 0;
  bool is_responding_early = false;
};

// Returns a loopback address of a port range reserved for this process, on
// which nothing listens now.
std::string FreeAddress();

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_SCRIPTED_SERVER_H_
