#ifndef PARSLEYQUAY_GATEWAY_LOAD_BALANCER_H_
#define PARSLEYQUAY_GATEWAY_LOAD_BALANCER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/rate_meter.h"
#include "dissemination/outcome_summary.h"
#include "gateway/gateway_context.h"
#include "gateway/server_discovery.h"
#include "placement/cold_start_limiter.h"
#include "placement/exploration.h"
#include "placement/placement.h"
#include "server_health/server_health_estimate.h"

namespace parsleyquay {

// A place for one request at one backend server.
struct ServerReservation {
  std::string server;
  std::string service;
  std::string address;
  TimePoint acquired_at;
  double failure_probability = 0;  // as believed when it was taken
  double load = 0;                 // as believed when it was taken

  bool operator==(const ServerReservation&) const = default;
};

// What a request brings to the choice of a server.
struct ServerSelectionCriteria {
  std::string service;
  bool is_retryable = false;
  bool is_bulk = false;
  Duration time_left = Duration(0);
  std::set<std::string> tried_servers;  // servers that it was sent to before

  bool operator==(const ServerSelectionCriteria&) const = default;
};

// Chooses a server for each request, by what all instances have seen of the
// servers and of their load.
class LoadBalancer {
 public:
  using OnReport = std::function<void(const OutcomeReport&)>;
  using OnFailedRequest = std::function<void(const std::string& service)>;

  LoadBalancer(GatewayContext& context,
               const ServerDiscovery& discovery,
               OnReport on_report,
               OnFailedRequest on_failed_request);

  // Takes a place; nothing when no server may be used or is likely to be done
  // in time.
  std::optional<ServerReservation> Acquire(
      const ServerSelectionCriteria& criteria);

  // Gives a place back. `load` is what the server said with its answer.
  void Release(const ServerReservation& reservation,
               std::optional<ServerOutcome> outcome,
               std::optional<ReportedLoad> load);

  // Notes an outcome of a request that still runs, such as one overdue.
  void ReportOutcome(const ServerReservation& reservation,
                     ServerOutcome outcome);

  // A request for the service ended without a success.
  void ReportFailedRequest(const std::string& service) {
    this->on_failed_request(service);
  }

  // Another server answered at the address of this one.
  void MarkMisdirected(const ServerReservation& reservation);

  // Takes in what other instances have seen.
  void ApplyOutcomes(const OutcomeSummary& outcomes);

  // Forgets what was seen in an earlier life of the server.
  void ResetServer(const std::string& server);

  // What a request of the service usually takes, without waiting.
  Duration ExpectedServiceTime(const std::string& service) const;

 private:
  struct ServerUse {
    ServerHealthEstimate estimate;
    // How probable it is that this instance cannot reach the server, whatever
    // others see.
    double path_fault = 0;
    TimePoint path_fault_at;
    double reported_load = 0;
    TimePoint reported_at;
    long in_flight = 0;
    long sent_since_report = 0;
    RateMeter rate;     // of requests by all instances
    TimePoint used_at;  // when any instance last saw an outcome, or took it
    TimePoint misdirected_until;
  };

  ServerUse& UseOf(const std::string& server);
  PlacementCandidate ToCandidate(const std::string& server,
                                 const ServerSelectionCriteria& criteria);
  double CurrentLoad(const ServerUse& use) const;
  double UtilizationOf(const ServerUse& use, const RosterEntry& entry) const;
  double FailureShare(const ServerUse& use) const;
  bool IsPermitted(const std::string& server,
                   const RosterEntry& entry,
                   const ServerSelectionCriteria& criteria);
  void LearnOutcomes(const std::string& server,
                     ServerOutcome outcome,
                     long count,
                     TimePoint at);
  void NotePath(ServerUse& use, ServerOutcome outcome);
  ColdStartLimit ColdStartLimitOf(const std::string& service) const;
  void NoteWork(const ServerReservation& reservation);
  std::optional<std::size_t> Choose(
      const std::vector<PlacementCandidate>& candidates,
      const PlacementRequest& request,
      const std::string& service);
  ServiceTraffic TrafficOf(const std::string& service) const;

  GatewayContext& context;
  const ServerDiscovery& discovery;
  OnReport on_report;
  OnFailedRequest on_failed_request;
  ServerFailureModel model;
  ColdStartLimiter cold_start_limiter;
  std::map<std::string, ServerUse> uses;
  std::map<std::string, Duration> expected_service_times;  // by service
  std::map<std::string, RateMeter> served_rates;           // by service
  std::map<std::string, RateMeter> failed_request_rates;   // by service
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_LOAD_BALANCER_H_
