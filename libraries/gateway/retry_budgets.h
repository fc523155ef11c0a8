#ifndef PARSLEYQUAY_GATEWAY_RETRY_BUDGETS_H_
#define PARSLEYQUAY_GATEWAY_RETRY_BUDGETS_H_

#include <json/json.h>

#include <map>
#include <set>
#include <string>

#include "dissemination/aggregator_election.h"
#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "retry/credit_exchange.h"
#include "retry/fleet_retry_budget.h"

namespace parsleyquay {

// This instance's part of the fleet's retry limits, for all services. With
// `pooled_budget` in the settings, instances give each other the credit that
// they do not need, see docs/design/retry-pool.md.
class RetryBudgets {
 public:
  explicit RetryBudgets(GatewayContext& context);

  // To be called when `context.incarnation` is set.
  void Start();

  // Adds the credit for the first attempt of a request to the service.
  void Earn(const std::string& service);

  // Returns whether a retry may be sent to the service now.
  bool CanSpend(const std::string& service) const;

  // Spends one retry for a request of the priority. Without effect if none is
  // available.
  void Spend(const std::string& service, int priority);

  // Records that a retry was not sent because CanSpend() returned false.
  void RecordUnmet(const std::string& service, int priority);

  // The method of the messages that carry credit.
  static std::string MessageMethod();
  void OnMessage(const Json::Value& parameters);

  void OnDigest(const Digest& digest);
  void FillDigest(Digest& digest) const;
  void OnRoleChange(const AggregationRole& role) {
    this->exchange.is_aggregator = role.is_aggregator;
  }

  // Adds the amounts of credit given, received, spent and lapsed.
  void AddMetrics(GatewayMetrics& metrics) const;

 private:
  bool is_pooled() const { return this->context.settings.has_pooled_retries; }
  FleetRetryLimit limit() const;
  InstanceRank rank() const;
  SlackShare share() const;
  void OnInterval();
  void LogNeeds();

  GatewayContext& context;
  std::map<std::string, FleetRetryBudget> budgets;  // by service, if not pooled
  CreditExchange exchange;
  TimePoint started_at;
  std::set<std::string> needing_services;
  Timer timer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_RETRY_BUDGETS_H_
