#ifndef PARSLEYQUAY_ENTRY_REQUEST_QUEUE_H_
#define PARSLEYQUAY_ENTRY_REQUEST_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/fair_queue.h"
#include "entry/entry_context.h"
#include "entry/server_pool.h"
#include "event/timer.h"

namespace parsleyquay {

// A request that waits for a free server of a service.
struct ReservationRequest {
  std::string service;
  std::string workspace;
  double weight = 1;  // weight of the workspace
  TimePoint deadline;
  std::vector<std::string> failed_servers;  // servers at which it has failed
};

// Queues requests until one of their service's backend servers has capacity.
// Each service has a queue of its own, which is shared between workspaces by
// start-time fair queueing.
class RequestQueue {
 public:
  // Called with the reservation of a server, or with std::nullopt if the queue
  // is full or the deadline cannot be met.
  using Callback = std::function<void(std::optional<ServerReservation>)>;

  RequestQueue(EntryContext& context, ServerPool& pool);

  void Start();

  // Enqueues a request. Returns an id for Cancel(), 0 if the queue is full.
  //
  // NOTE: `callback` may run before this returns.
  std::uint64_t Enqueue(ReservationRequest request, Callback callback);
  void Cancel(const std::string& service, std::uint64_t id);

  // To be called when a server of the service may have got free capacity.
  void Dispatch(const std::string& service);

 private:
  struct WaitingEntry {
    Callback callback;
    std::vector<std::string> failed_servers;
  };

  struct ServiceState {
    FairQueue queue;
    std::map<std::uint64_t, WaitingEntry> waiting;
    bool is_dispatching = false;
  };

  void DispatchAll();
  bool DispatchNext(const std::string& service, ServiceState& state);

  EntryContext& context;
  ServerPool& pool;
  Timer timer;
  std::uint64_t next_id = 0;
  std::map<std::string, ServiceState> services;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_REQUEST_QUEUE_H_
