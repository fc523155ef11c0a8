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

// A place for one request at one backend server.
struct ServerReservation {
  std::uint64_t id = 0;
  std::string server;
  std::string service;
  std::string address;
};

// What a finished attempt showed about its server.
enum class AttemptEvidence {
  kResponseReceived,
  kError,  // failed, cut short, crossed, 5xx, or never connected
  kShed,   // refused by the server for load
  kNone,   // cancelled by the caller: shows nothing
};

// The backend servers as this instance uses them.
class ServerPool {
 public:
  explicit ServerPool(EntryContext& context);

  void Start();

  // Takes a place at a server of the service, or nothing when all that may be
  // used are busy. `avoid` names servers that have just failed the request.
  std::optional<ServerReservation> Acquire(
      const std::string& service,
      const std::vector<std::string>& avoid);

  // Notes that the answer's head has come.
  void OnResponseHead(const ServerReservation& reservation,
                      const HeaderList& headers);

  void Release(const ServerReservation& reservation, AttemptEvidence evidence);

  void SetVerdict(const std::string& service, const ServiceVerdict& verdict);

  // The evidence gathered on a service since the last call.
  ServiceEvidence TakeEvidence(const std::string& service);

  // What of the evidence on a service matters to when it is reported.
  ReportCandidate PendingReport(const std::string& service) const;

  // Services that were used since their evidence was last taken.
  std::vector<std::string> ActiveServices() const;

  std::vector<RosterServer> Roster(const std::string& service) const;

  // Servers that verdicts keep out of full use: ejected or limited.
  long CountRestrictedServers() const;

  // Latency that is usual in the service, 0 when not known.
  Duration MedianLatency(const std::string& service) const;

  // To be called when the log has changed the fleet's state.
  void OnFleetChanged() { this->subsets.clear(); }

 private:
  struct Attempt {
    TimePoint started_at;
    std::string server;
    bool has_head = false;
    int slow_marks = 0;
  };

  struct ServerUse {
    ListedServer listing;
    bool is_listed = false;  // else it is kept for the requests under way
    bool is_new = false;
    long in_flight = 0;
    ConcurrencyLimit limit;
    Duration latency = Duration(0);
    TimePoint latency_at;
    double reported_load = 0;
    TimePoint reported_at;
    TimePoint careful_until;  // one request at a time until then
    ServerEvidence evidence;
    long uptime_ms = -1;
    TimePoint draining_until;  // the server said that it is draining
  };

  struct ServiceUse {
    ServiceVerdict verdict;
    bool was_used = false;
  };

  void Poll();
  void OnList(const std::vector<ListedServer>& list);
  void GroupByService();
  std::span<ServerUse* const> UsesOf(const std::string& service) const;
  void MarkSlowAttempts();
  void NoteUptime(ServerUse& use, const HeaderList& headers);
  bool IsOut(const ServerUse& use) const;
  bool IsPermitted(const ServerUse& use, const ServiceVerdict& verdict) const;
  ServerCandidate ToCandidate(const ServerUse& use,
                              const ServiceVerdict& verdict,
                              Duration usual_latency) const;
  const std::vector<std::string>& SubsetOf(const std::string& service);

  EntryContext& context;
  Timer poll_timer;
  Timer slow_timer;
  bool is_polling = false;
  bool has_read_list = false;
  std::uint64_t next_reservation = 0;
  std::vector<ListedServer> listed;
  std::map<std::string, ServerUse> uses;  // by server name
  // Into `uses`, so that a request looks at its own service's servers only.
  std::map<std::string, std::vector<ServerUse*>> uses_by_service;
  std::map<std::string, ServiceUse> services;
  std::map<std::string, std::vector<std::string>> subsets;  // by service
  std::map<std::uint64_t, Attempt> attempts;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_SERVER_POOL_H_
