#include "gateway/retry_budgets.h"

#include <cmath>

#include "gateway/membership_sync.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kRetryCredit[] = "retry_credit";

}  // namespace

RetryBudgets::RetryBudgets(GatewayContext& context)
    : context(context), timer(context.loop, [this] { this->OnInterval(); }) {}

void RetryBudgets::Start() {
  this->exchange.name = this->context.settings.name;
  this->exchange.incarnation = this->context.incarnation;
  this->started_at = this->context.Now();
  if (this->is_pooled()) {
    this->timer.StartRepeating(kCreditInterval);
  }
}

FleetRetryLimit RetryBudgets::limit() const {
  const FleetBounds& bounds = this->context.settings.bounds;
  return {bounds.retry_ratio, bounds.retry_slack, bounds.retry_window};
}

// Returns this instance's rank among the members, which determines its share of
// the slack.
InstanceRank RetryBudgets::rank() const {
  return {RankOfMember(this->context.members, this->context.settings.name),
          this->context.member_count()};
}

SlackShare RetryBudgets::share() const {
  return {.rank = this->rank(),
          .is_usable = this->context.Now() - this->started_at >
                       this->context.settings.bounds.retry_window};
}

void RetryBudgets::Earn(const std::string& service) {
  if (this->is_pooled()) {
    EarnRetry(this->exchange.budgets[service], this->limit(), this->share(),
              this->context.Now());
    return;
  }
  EarnRetry(this->budgets[service], this->limit());
}

bool RetryBudgets::CanSpend(const std::string& service) const {
  const TimePoint now = this->context.Now();
  if (this->is_pooled()) {
    const auto budget = this->exchange.budgets.find(service);
    return CanSpendRetry(budget == this->exchange.budgets.end()
                             ? PooledRetryBudget{}
                             : budget->second,
                         this->limit(), this->share(), now);
  }
  const auto budget = this->budgets.find(service);
  return CanSpendRetry(
      budget == this->budgets.end() ? FleetRetryBudget{} : budget->second,
      this->limit(), this->rank(), now);
}

void RetryBudgets::Spend(const std::string& service, int priority) {
  const TimePoint now = this->context.Now();
  if (this->is_pooled()) {
    SpendRetry(this->exchange.budgets[service], this->limit(), this->share(),
               priority, now);
    return;
  }
  SpendRetry(this->budgets[service], this->limit(), this->rank(), now);
}

void RetryBudgets::RecordUnmet(const std::string& service, int priority) {
  if (this->is_pooled()) {
    RecordUnmetRetry(this->exchange.budgets[service], priority,
                     this->context.Now());
  }
}

std::string RetryBudgets::MessageMethod() {
  return kRetryCredit;
}

void RetryBudgets::OnMessage(const Json::Value& parameters) {
  const auto message = DecodeCreditMessage(parameters);
  if (!message) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  if (this->is_pooled() &&
      !OnCreditMessage(this->exchange, *message, this->limit(),
                       this->context.Now())) {
    IncrementCounter(this->context.metrics, "retry_credit_messages_refused");
  }
}

void RetryBudgets::OnDigest(const Digest& digest) {
  if (this->is_pooled() && digest.retry_credit &&
      digest.sender != this->context.settings.name) {
    OnCreditNews(this->exchange, digest.sender,
                 !IsOfAnotherDomain(this->context.members, digest.sender,
                                    this->context.settings.failure_domain),
                 *digest.retry_credit, this->context.Now());
  }
}

void RetryBudgets::FillDigest(Digest& digest) const {
  if (this->is_pooled() && this->exchange.is_aggregator) {
    digest.retry_credit = MakeCreditNews(this->exchange, this->context.Now());
  }
}

void RetryBudgets::OnInterval() {
  const auto outgoing =
      RunInterval(this->exchange, this->limit(), this->context.Now());
  if (this->context.peer_transport) {
    for (const auto& [receiver, message] : outgoing) {
      this->context.peer_transport->Send(
          PeerAddressOf(this->context.members, receiver), kRetryCredit,
          EncodeCreditMessage(message));
    }
  }
  this->LogNeeds();
}

void RetryBudgets::LogNeeds() {
  for (const auto& [service, budget] : this->exchange.budgets) {
    const bool is_needed = NeedsForeignCredit(budget, this->context.Now());
    const bool has_changed = is_needed
                                 ? this->needing_services.insert(service).second
                                 : this->needing_services.erase(service) > 0;
    if (has_changed) {
      LogEvent(
          LogLevel::kInfo, "retry_need",
          {{"service", service},
           {"state", is_needed ? "begun" : "ended"},
           {"aggregator", this->exchange.is_aggregator
                              ? this->exchange.name
                              : this->exchange.aggregator},
           {"received", std::to_string(std::lround(budget.totals.received))},
           {"spent", std::to_string(std::lround(budget.totals.spent))}});
    }
  }
}

void RetryBudgets::AddMetrics(GatewayMetrics& metrics) const {
  if (!this->is_pooled()) {
    return;
  }
  RetryCreditTotals totals{.lapsed = this->exchange.lapsed_in_pools};
  for (const auto& [service, budget] : this->exchange.budgets) {
    totals.given += budget.totals.given;
    totals.received += budget.totals.received;
    totals.spent += budget.totals.spent;
    totals.lapsed += budget.totals.lapsed;
  }
  for (const auto& [name, amount] :
       {std::pair("given", totals.given),
        std::pair("received", totals.received),
        std::pair("spent", totals.spent), std::pair("lapsed", totals.lapsed)}) {
    IncrementCounter(metrics, std::string("retry_credit_") + name,
                     static_cast<std::uint64_t>(std::llround(amount)));
  }
}

}  // namespace parsleyquay
