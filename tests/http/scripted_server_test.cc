// Tests the scripted server that other tests use.

#include <catch2/catch.hpp>

#include "event/event_loop.h"
#include "http/http_server.h"
#include "support/await.h"
#include "support/raw_connection.h"
#include "support/scripted_server.h"

namespace parsleyquay {
namespace {

// Guards against processes that cannot listen for a minute because a scripted
// server has closed connections on their port: a later test may get the same
// range of ports.
TEST_CASE("a port can be listened on after a scripted server has used it") {
  EventLoop loop;
  std::string address;
  {
    ScriptedServer scripted(loop, [](const RawRequest&) {
      return RawResponse{.bytes = "HTTP/1.1 200 OK\r\n\r\n",
                         .connection_action = ConnectionAction::kClose};
    });
    address = scripted.address();
    RawConnection client(address);
    REQUIRE(client.Send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"));
    REQUIRE(RunLoopUntil(
        loop, [&] { return client.HasEnded(); }, seconds(5)));
  }
  std::string failure;
  const bool is_listening = RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(HttpServer::Create(
            loop, address, [](const std::shared_ptr<ServerExchange>&) {}));
        return {};
      },
      [&](const Error& error) { failure = ToString(error); });
  INFO(failure);
  CHECK(is_listening);
}

}  // namespace
}  // namespace parsleyquay
