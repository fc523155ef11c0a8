#ifndef PARSLEYQUAY_ENTRY_SYSTEM_ENDPOINTS_H_
#define PARSLEYQUAY_ENTRY_SYSTEM_ENDPOINTS_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/claim_coordinator.h"
#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "entry/server_pool.h"
#include "http/server_exchange.h"
#include "steering/address_list.h"

namespace parsleyquay {

// The HTTP endpoints of the instance itself, all below /.parsleyquay/.
class SystemEndpoints {
 public:
  SystemEndpoints(EntryContext& context,
                  FleetLogReplica& log,
                  ClaimCoordinator& claims,
                  const ServerPool& pool);

  // Whether a request target is one of these endpoints.
  static bool IsSystemTarget(const std::string& target);

  void Serve(const std::shared_ptr<ServerExchange>& exchange);

  // Returns the HTTP addresses of the other instances that callers of a
  // workspace should use, the best first.
  std::vector<std::string> AlternativeAddresses(const std::string& workspace);

 private:
  void ServeResolve(ServerExchange& exchange);
  void ServeOutcome(const std::shared_ptr<ServerExchange>& exchange);
  void ServeStatus(ServerExchange& exchange);
  void ServeMetrics(ServerExchange& exchange);
  void ServePeer(ServerExchange& exchange, const std::string& path);
  AddressList Resolve(const std::string& workspace);

  EntryContext& context;
  FleetLogReplica& log;
  ClaimCoordinator& claims;
  const ServerPool& pool;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_SYSTEM_ENDPOINTS_H_
