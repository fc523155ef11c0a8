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

// A request that needs a place at one of a service's servers.
struct ReservationRequest {
  std::string service;
  std::string workspace;
  double weight = 1;
  TimePoint deadline;
  std::vector<std::string> failed_servers;  // servers that have failed it
};

// Gives places at backend servers to waiting requests, fairly between
// workspaces.
class RequestQueue {
 public:
  // Called with a place, or with nothing when the deadline cannot be met.
  using Callback = std::function<void(std::optional<ServerReservation>)>;

  RequestQueue(EntryContext& context, ServerPool& pool);

  void Start();

  // Returns an id to cancel with.
  std::uint64_t Enqueue(ReservationRequest request, Callback callback);
  void Cancel(const std::string& service, std::uint64_t id);

  // To be called when a place may have become free.
  void Dispatch(const std::string& service);

 private:
  struct Waiting {
    Callback callback;
    std::vector<std::string> avoid;
  };

  struct ServiceState {
    FairQueue queue;
    std::map<std::uint64_t, Waiting> waiting;
    bool is_pumping = false;
  };

  void PumpAll();
  bool PlaceNext(const std::string& service, ServiceState& state);

  EntryContext& context;
  ServerPool& pool;
  Timer timer;
  std::uint64_t next_id = 0;
  std::map<std::string, ServiceState> services;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_REQUEST_QUEUE_H_
