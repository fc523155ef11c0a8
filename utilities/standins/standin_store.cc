// A stand-in for the users' store. It listens on several addresses, so that
// each instance can be given an address, and thereby faults, of its own.
// store_model.h lists the faults.

#include <gflags/gflags.h>
#include <sodium.h>

#include <sstream>

#include "standin_server.h"
#include "store_model.h"

DEFINE_string(listen,
              "127.0.0.1:7100",
              "comma-separated list of ip:port to listen on");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in for the users' store");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (sodium_init() < 0) {
    return 1;
  }
  std::vector<std::string> addresses;
  std::istringstream list(FLAGS_listen);
  for (std::string address; std::getline(list, address, ',');) {
    addresses.push_back(address);
  }
  parsleyquay::EventLoop loop;
  parsleyquay::StoreModel store(loop);
  return parsleyquay::ServeUntilTerminated(
      loop, addresses,
      [&](std::size_t address_index,
          const std::shared_ptr<parsleyquay::ServerExchange>& exchange) {
        store.Serve(address_index, exchange);
      });
}
