#ifndef PARSLEYQUAY_GATEWAY_SERVER_DESK_H_
#define PARSLEYQUAY_GATEWAY_SERVER_DESK_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/rate_meter.h"
#include "belief/server_belief.h"
#include "gateway/gateway_context.h"
#include "gateway/server_list.h"
#include "mesh/outcome_summary.h"
#include "placement/exploration.h"
#include "placement/placement.h"
#include "placement/start_pacer.h"

namespace parsleyquay {

// The assignment of one request to one backend server, from the choice of the
// server until the attempt has ended.
struct ServerLease {
  std::string server;
  std::string service;
  std::string address;
  TimePoint taken_at;
  // The estimates on which the choice was based.
  double failure_probability = 0;
  double load = 0;  // requests at the server

  bool operator==(const ServerLease&) const = default;
};

// The properties of a request that the choice of a server depends on.
struct ServerWish {
  std::string service;
  bool may_repeat = false;  // may be sent to another server after a failure
  bool is_bulk = false;     // has a large response
  Duration time_left = Duration(0);  // until its deadline
  std::set<std::string> tried;       // servers of earlier attempts

  bool operator==(const ServerWish&) const = default;
};

// Chooses a backend server for each request. Each server's probability of
// failure and load are estimated from the outcomes that all instances observe.
class ServerDesk {
 public:
  using OnReport = std::function<void(const OutcomeReport&)>;
  using OnUnserved = std::function<void(const std::string& service)>;

  ServerDesk(GatewayContext& context,
             const ServerList& list,
             OnReport on_report,
             OnUnserved on_unserved);

  // Chooses a server and counts the request as in flight there. Returns
  // std::nullopt if no server is available or likely to respond in time.
  std::optional<ServerLease> Take(const ServerWish& criteria);

  // Ends an assignment. `outcome` is unset if the attempt says nothing about
  // the server; `load` is unset if the server reported none.
  void Release(const ServerLease& reservation,
               std::optional<Outcome> outcome,
               std::optional<ReportedLoad> load);

  // Reports an outcome of a request that is still in flight, such as overdue.
  void Note(const ServerLease& reservation, Outcome outcome);

  // Reports that a request for the service was not served successfully.
  void NoteUnserved(const std::string& service) { this->on_unserved(service); }

  // Excludes the server for a short time, since another server responded at its
  // address.
  void NoteMisdirected(const ServerLease& reservation);

  // Updates the estimates with outcomes that any instance has observed.
  void Learn(const OutcomeSummary& outcomes);

  // Discards the estimates of a server that is new or has restarted.
  void Forget(const std::string& server);

  // Returns the typical time to process a request of the service, without
  // queueing at the server.
  Duration UsualWork(const std::string& service) const;

 private:
  // What is known about one server.
  struct ServerState {
    ServerBelief belief;
    // The probability that the network path from this instance to the server is
    // broken, independently of what other instances observe.
    double path_failure_probability = 0;
    TimePoint path_updated_at;
    double reported_load = 0;  // requests at the server
    TimePoint reported_at;
    long in_flight = 0;          // requests of this instance
    long sent_since_report = 0;  // requests of this instance
    RateMeter rate;              // of requests by all instances
    // When any instance last observed an outcome, or this one sent a request.
    TimePoint used_at;
    TimePoint misdirected_until;
  };

  ServerState& StateOf(const std::string& server);
  PlacementCandidate ToCandidate(const std::string& server,
                                 const ServerWish& criteria);
  double CurrentLoad(const ServerState& state) const;
  double BusyShare(const ServerState& state, const RosterEntry& entry) const;
  double CombinedFailureProbability(const ServerState& state) const;
  bool IsPermitted(const std::string& server,
                   const RosterEntry& entry,
                   const ServerWish& criteria);
  void UpdateBelief(const std::string& server,
                    Outcome outcome,
                    long count,
                    TimePoint at);
  void UpdatePath(ServerState& state, Outcome outcome);
  ColdBound ColdBoundOf(const std::string& service) const;
  void UpdateProcessingTime(const ServerLease& reservation);
  std::optional<std::size_t> Choose(
      const std::vector<PlacementCandidate>& candidates,
      const PlacementNeed& need,
      const std::string& service);
  ServiceTraffic TrafficOf(const std::string& service) const;

  GatewayContext& context;
  const ServerList& list;
  OnReport on_report;
  OnUnserved on_unserved;
  SpellModel model;
  StartPacer pacer;
  std::map<std::string, ServerState> states;                 // by server
  std::map<std::string, Duration> typical_processing_times;  // by service
  std::map<std::string, RateMeter> served_rates;             // by service
  std::map<std::string, RateMeter> unserved_rates;           // by service
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_SERVER_DESK_H_
