#ifndef PARSLEYQUAY_ENTRY_SYSTEM_ROUTES_H_
#define PARSLEYQUAY_ENTRY_SYSTEM_ROUTES_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/claim_desk.h"
#include "entry/entry_context.h"
#include "entry/log_follower.h"
#include "entry/server_pool.h"
#include "http/server_exchange.h"
#include "steering/address_answer.h"

namespace parsleyquay {

// The HTTP endpoints of the instance itself, all below /.parsleyquay/.
class SystemRoutes {
 public:
  SystemRoutes(EntryContext& context,
               LogFollower& log,
               ClaimDesk& claims,
               const ServerPool& pool);

  // Whether a request target is one of these endpoints.
  static bool IsSystemTarget(const std::string& target);

  void Serve(const std::shared_ptr<ServerExchange>& exchange);

  // Returns the HTTP addresses of the other instances that callers of a
  // workspace should use, the best first.
  std::vector<std::string> AddressesFor(const std::string& workspace);

 private:
  void ServeResolve(ServerExchange& exchange);
  void ServeOutcome(const std::shared_ptr<ServerExchange>& exchange);
  void ServeStatus(ServerExchange& exchange);
  void ServeMetrics(ServerExchange& exchange);
  void ServePeer(ServerExchange& exchange, const std::string& path);
  AddressAnswer Resolve(const std::string& workspace);

  EntryContext& context;
  LogFollower& log;
  ClaimDesk& claims;
  const ServerPool& pool;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_SYSTEM_ROUTES_H_
