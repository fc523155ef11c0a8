#ifndef PARSLEYQUAY_UTILITIES_STANDINS_STANDIN_SERVER_H_
#define PARSLEYQUAY_UTILITIES_STANDINS_STANDIN_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/http_server.h"

namespace parsleyquay {

using StandInHandler =
    std::function<void(std::size_t index,
                       const std::shared_ptr<ServerExchange>& exchange)>;

// Listens for HTTP on all `addresses` ("ip:port") and runs the event loop until
// SIGTERM. Passes each request to `handler`, with the index of the address at
// which it arrived. Returns the exit code of the process: 1, after a message on
// standard error, if an address cannot be listened on, otherwise 0.
int ServeUntilTerminated(EventLoop& loop,
                         const std::vector<std::string>& addresses,
                         const StandInHandler& handler);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_STANDINS_STANDIN_SERVER_H_
