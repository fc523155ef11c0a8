#ifndef PARSLEYQUAY_GATEWAY_LOAD_BALANCER_H_
#define PARSLEYQUAY_GATEWAY_LOAD_BALANCER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/service_capacity.h"
#include "base/rate_meter.h"
#include "dissemination/outcome_summary.h"
#include "gateway/gateway_context.h"
#include "gateway/rollout_controller.h"
#include "gateway/server_discovery.h"
#include "placement/cold_start_limiter.h"
#include "placement/exploration.h"
#include "placement/placement.h"
#include "server_health/server_health_estimate.h"

namespace parsleyquay {

// The reservation of a backend server for one attempt of a request, from the
// choice of the server until the attempt has ended.
struct ServerReservation {
  std::string server;
  std::string service;
  std::string address;
  std::uint64_t incarnation = 0;  // of the server
  std::string version;            // of the server
  std::string route;              // name of the request's route
  bool is_cold = false;           // the server, when it was chosen
  TimePoint acquired_at;
  // The estimates on which the choice was based.
  double failure_probability = 0;
  double load = 0;  // requests at the server

  bool operator==(const ServerReservation&) const = default;
};

// The properties of a request that the choice of a server depends on.
struct ServerSelectionCriteria {
  std::string service;
  std::string route;          // name of the request's route
  bool is_retryable = false;  // may be sent to another server after a failure
  bool is_bulk = false;       // has a large request or response body
  Duration time_left = Duration(0);     // until its deadline
  std::set<std::string> tried_servers;  // servers of earlier attempts

  bool operator==(const ServerSelectionCriteria&) const = default;
};

// Chooses a backend server for each request. Each server's probability of
// failure and load are estimated from the outcomes that all instances observe.
class LoadBalancer {
 public:
  using OnReport = std::function<void(const OutcomeReport&)>;
  using OnFailedRequest = std::function<void(const std::string& service)>;

  LoadBalancer(GatewayContext& context,
               ServerDiscovery& discovery,
               RolloutController& rollouts,
               OnReport on_report,
               OnFailedRequest on_failed_request);

  // Chooses a server and counts the request as in flight there. Returns
  // std::nullopt if no server is available or likely to respond in time.
  std::optional<ServerReservation> Acquire(
      const ServerSelectionCriteria& criteria);

  // Returns whether a request may still be sent to the reserved server: it has
  // not left, begun to leave or restarted since.
  bool MayReceive(const ServerReservation& reservation) const;

  // Ends a reservation. `outcome` is unset if the attempt says nothing about
  // the server; `load` is unset if the server reported none.
  void Release(const ServerReservation& reservation,
               std::optional<ServerOutcome> outcome,
               std::optional<ReportedLoad> load);

  // Reports an outcome of a request that is still in flight, such as overdue.
  void ReportOutcome(const ServerReservation& reservation,
                     ServerOutcome outcome);

  // Reports that a request of the route, for which `service` was chosen, was
  // not served successfully. The failure counts for all services of the route:
  // the minimum server coverage of each applies while the route's requests
  // fail.
  void ReportFailedRequest(const std::string& service, const HostRoute& route);

  // Excludes the server for a short time, since another server responded at its
  // address.
  void MarkMisdirected(const ServerReservation& reservation);

  // Excludes the server for the time that it asked for when it shed a request.
  void PauseServer(const ServerReservation& reservation, Duration pause);

  // Excludes the server for good, since it has stated that it leaves.
  void MarkLeaving(const ServerReservation& reservation) {
    this->discovery.MarkLeaving(reservation.server, reservation.address);
  }

  // Updates the estimates with outcomes that any instance has observed.
  void ApplyOutcomes(const OutcomeSummary& outcomes);

  // Discards the estimates of a server that is new or has restarted.
  void ResetServer(const std::string& server);

  // Returns what the servers of the service can take now.
  ServiceCapacity EstimateCapacity(const std::string& service) const;

  // Returns the expected time in which a server processes a request of the
  // service, without queueing.
  Duration ExpectedServiceTime(const std::string& service) const;

  // Returns a time that requests of the service rarely exceed, unless they wait
  // in a queue or their server has failed.
  Duration LongServiceTime(const std::string& service) const;

 private:
  // What is known about one server.
  struct ServerState {
    ServerHealthEstimate estimate;
    // The probability that the network path from this instance to the server is
    // broken, independently of what other instances observe.
    double path_failure_probability = 0;
    TimePoint path_updated_at;
    double reported_load = 0;  // requests at the server
    TimePoint reported_at;
    long in_flight = 0;          // requests of this instance
    long sent_since_report = 0;  // requests of this instance
    RateMeter rate;  // of served and overdue requests of all instances
    // When any instance last observed an outcome, or this one sent a request.
    TimePoint used_at;
    TimePoint misdirected_until;
    TimePoint paused_until;  // as the server asked for
  };

  ServerState& StateOf(const std::string& server);
  bool IsPaused(const std::string& server) const;
  PlacementCandidate ToCandidate(const std::string& server,
                                 const ServerSelectionCriteria& criteria);
  double CurrentLoad(const ServerState& state) const;
  double ReportedLoadOf(const ServerState& state) const;
  double UtilizationOf(const ServerState& state,
                       const RosterEntry& entry) const;
  double CombinedFailureProbability(const ServerState& state) const;
  bool IsPermitted(const std::string& server,
                   const RosterEntry& entry,
                   const ServerSelectionCriteria& criteria);
  void UpdateHealthEstimate(const std::string& server,
                            ServerOutcome outcome,
                            long count,
                            TimePoint at);
  void UpdatePath(ServerState& state, ServerOutcome outcome);
  ColdStartLimit ColdStartLimitOf(const std::string& service) const;
  void UpdateServiceTime(const ServerReservation& reservation);
  std::optional<std::size_t> ChooseByVersion(
      const std::vector<std::string>& names,
      const std::vector<PlacementCandidate>& candidates,
      const PlacementRequest& request,
      const ServerSelectionCriteria& criteria);
  std::optional<VersionObservation> Observe(
      const ServerReservation& reservation,
      std::optional<ServerOutcome> outcome) const;
  std::optional<std::size_t> Choose(
      const std::vector<PlacementCandidate>& candidates,
      const PlacementRequest& request,
      const std::string& service);
  ServiceTraffic TrafficOf(const std::string& service) const;

  GatewayContext& context;
  ServerDiscovery& discovery;
  RolloutController& rollouts;
  OnReport on_report;
  OnFailedRequest on_failed_request;
  ServerFailureModel model;
  ColdStartLimiter cold_start_limiter;
  std::map<std::string, ServerState> states;               // by server
  std::map<std::string, Duration> expected_service_times;  // by service
  std::map<std::string, RateMeter> attempt_rates;          // by service
  std::map<std::string, RateMeter> served_rates;           // by service
  std::map<std::string, RateMeter> failed_request_rates;   // by service
  std::map<std::string, RateMeter> shed_rates;             // by service
  // Requests of this instance that were completed or failed, by service.
  std::map<std::string, RateMeter> own_rates;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_LOAD_BALANCER_H_
