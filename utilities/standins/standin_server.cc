#include "standin_server.h"

#include <csignal>
#include <iostream>

#include "event/signal_watcher.h"

namespace parsleyquay {

int ServeUntilTerminated(EventLoop& loop,
                         const std::vector<std::string>& addresses,
                         const StandInHandler& handler) {
  std::vector<std::unique_ptr<HttpServer>> servers;
  const auto start = [&]() -> Result<void> {
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      BOOST_LEAF_AUTO(
          server, HttpServer::Create(
                      loop, addresses[i],
                      [&handler, i](const std::shared_ptr<ServerExchange>& e) {
                        handler(i, e);
                      }));
      servers.push_back(std::move(server));
    }
    return {};
  };
  const bool is_listening = RunOrReport(
      start, [](const Error& error) { std::cerr << ToString(error) << '\n'; });
  if (!is_listening) {
    return 1;
  }
  const SignalWatcher terminate(loop, SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace parsleyquay
