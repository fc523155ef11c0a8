#ifndef PARSLEYQUAY_ENTRY_SERVER_POOL_H_
#define PARSLEYQUAY_ENTRY_SERVER_POOL_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "balancing/concurrency_limit.h"
#include "balancing/server_choice.h"
#include "detection/evidence.h"
#include "detection/report_schedule.h"
#include "detection/service_health.h"
#include "entry/entry_context.h"
#include "event/timer.h"
#include "platform/platform_client.h"

namespace parsleyquay {

// The capacity for one request at one backend server, reserved until Release().
struct ServerReservation {
  std::uint64_t id = 0;
  std::string server;
  std::string service;
  std::string address;
};

// What a finished attempt shows about its server.
enum class AttemptEvidence {
  // A complete response with a status below 500.
  kResponseReceived,
  // A 5xx status, a response to another request, a failed, incomplete or
  // stalled transfer, a passed deadline, or no connection.
  kError,
  // Rejected by the server because of its load.
  kShed,
  // Cancelled by the caller, or not sent.
  kNone,
};

// The backend servers that the platform lists, with what this instance knows of
// each: its own requests in progress, latency, concurrency limit, and the
// evidence of faults that HealthCoordinator reports. Chooses the server for
// each request.
class ServerPool {
 public:
  explicit ServerPool(EntryContext& context);

  void Start();

  // Chooses a server of the service and reserves capacity for one request at
  // it. A server in `failed_servers` is chosen only if no other server is
  // usable; a server without free capacity counts as usable. Returns
  // std::nullopt if no remaining server has free capacity.
  std::optional<ServerReservation> Acquire(
      const std::string& service,
      const std::vector<std::string>& failed_servers);

  // To be called when the head of the response has arrived. Updates the
  // server's latency, concurrency limit, reported load, uptime and draining
  // state.
  void OnResponseHead(const ServerReservation& reservation,
                      const HeaderList& headers);

  // To be called once for each reservation, when its attempt has ended.
  void Release(const ServerReservation& reservation, AttemptEvidence evidence);

  // Sets the verdict by which servers of the service are ejected or limited.
  void SetVerdict(const std::string& service, const ServiceVerdict& verdict);

  // Returns and clears the evidence gathered on a service since the last call.
  ServiceEvidence TakeEvidence(const std::string& service);

  // Summarizes the unreported evidence on a service, to decide when to report
  // it.
  ReportCandidate PendingReport(const std::string& service) const;

  // Returns the services used since TakeEvidence() was last called for them.
  std::vector<std::string> ActiveServices() const;

  // Returns the listed servers of a service.
  std::vector<RosterServer> Roster(const std::string& service) const;

  // Returns the number of servers that verdicts eject or limit.
  long CountRestrictedServers() const;

  // Returns the median over the service's servers of their smoothed latencies,
  // 0 if none is known.
  Duration MedianLatency(const std::string& service) const;

  // To be called after the fleet's state has changed.
  void OnFleetChanged() { this->subsets.clear(); }

 private:
  struct Attempt {
    TimePoint started_at;
    std::string server;
    bool has_head = false;
    int slow_marks = 0;
  };

  struct ServerState {
    ListedServer listing;
    // If false, the entry exists only until its requests have ended.
    bool is_listed = false;
    // Added or moved to another address since the first list was read, and no
    // verdict on its service has arrived since.
    bool is_new = false;
    long in_flight = 0;
    ConcurrencyLimit limit;
    Duration latency = Duration(0);
    TimePoint latency_at;
    double reported_load = 0;
    TimePoint reported_at;
    TimePoint limited_until;  // until then one request at a time
    ServerEvidence evidence;
    long uptime_ms = -1;       // -1 until the server has reported it
    TimePoint draining_until;  // after its last X-Draining header
  };

  struct ServiceState {
    ServiceVerdict verdict;
    bool has_unreported_use = false;
  };

  void PollServerList();
  void OnServerList(const std::vector<ListedServer>& list);
  void GroupByService();
  std::span<ServerState* const> ServersOf(const std::string& service) const;
  void MarkSlowAttempts();
  void RecordUptime(ServerState& state, const HeaderList& headers);
  bool IsOutOfService(const ServerState& state) const;
  bool IsPermitted(const ServerState& state,
                   const ServiceVerdict& verdict) const;
  ServerCandidate ToCandidate(const ServerState& state,
                              const ServiceVerdict& verdict,
                              Duration usual_latency) const;
  const std::vector<std::string>& SubsetOf(const std::string& service);

  EntryContext& context;
  Timer poll_timer;
  Timer slow_timer;
  bool is_polling = false;
  bool has_read_list = false;
  std::uint64_t next_reservation_id = 0;
  std::vector<ListedServer> last_list;
  std::map<std::string, ServerState> servers;  // by server name
  // Pointers into `servers`, so that a request examines only the servers of its
  // own service.
  std::map<std::string, std::vector<ServerState*>> servers_by_service;
  std::map<std::string, ServiceState> services;
  std::map<std::string, std::vector<std::string>> subsets;  // by service
  std::map<std::uint64_t, Attempt> attempts;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_SERVER_POOL_H_
