#include "retry/credit_exchange.h"

#include <algorithm>
#include <utility>

#include "retry/credit_division.h"

namespace parsleyquay {

namespace {

// A need counts for two reports, one of which may be lost.
constexpr Duration kNeedLifetime = milliseconds(1'100);

// News are sent with digests, every 500 ms at least.
constexpr Duration kNewsLifetime = milliseconds(1'600);

// Clocks of members that have left or are silent are removed after this.
constexpr Duration kClockLifetime = seconds(60);

// Credit that expires within this time would not reach another instance.
constexpr Duration kMinTransferValidity = milliseconds(100);

// Timers and messages come some milliseconds early or late. Without this, a
// message would wait for one more interval.
constexpr Duration kTimerTolerance = milliseconds(50);

bool IsDue(TimePoint last, TimePoint now) {
  return now - last >= kMessageInterval - kTimerTolerance;
}

bool IsFresh(const HeardNews& heard, TimePoint now) {
  return heard.heard_at != TimePoint() && now - heard.heard_at <= kNewsLifetime;
}

void RecordClock(CreditExchange& exchange,
                 const std::string& peer,
                 const std::string& incarnation,
                 TimePoint clock,
                 TimePoint now) {
  HeardClock& heard = exchange.clocks[peer];
  // A message that was overtaken would only give a shorter validity.
  if (heard.incarnation != incarnation || clock > heard.clock) {
    heard = {incarnation, clock, now};
  }
}

// Converts ends of validity to the clock of another instance. That clock shows
// the result at the same moment or earlier, since the time that its message
// took is counted as validity that has passed.
RetryCredit ToClock(const RetryCredit& credit, const HeardClock& heard) {
  RetryCredit converted;
  for (const auto& [expires_at, amount] : credit.lots) {
    converted.lots[heard.clock + (expires_at - heard.heard_at)] += amount;
  }
  return converted;
}

// Returns the credit of a message that is valid. No instance states a validity
// beyond that of credit that has just been earned.
RetryCredit ValidCredit(const RetryCredit& credit,
                        const FleetRetryLimit& limit,
                        TimePoint now) {
  RetryCredit valid = credit;
  std::erase_if(valid.lots, [&](const auto& lot) {
    return lot.first <= now || lot.first > now + CreditValidity(limit);
  });
  return valid;
}

void RemoveOutdated(CreditExchange& exchange,
                    const FleetRetryLimit& limit,
                    TimePoint now) {
  for (auto& [service, budget] : exchange.budgets) {
    RemoveExpired(budget, now);
  }
  for (auto& [service, pool] : exchange.pools) {
    exchange.lapsed_in_pools +=
        RemoveExpired(pool.credit, now + kMinTransferValidity);
    std::erase_if(pool.needs, [&](const auto& entry) {
      return now - entry.second.reported_at > kNeedLifetime;
    });
  }
  std::erase_if(exchange.other_aggregators,
                [&](const auto& entry) { return !IsFresh(entry.second, now); });
  std::erase_if(exchange.clocks, [&](const auto& entry) {
    return now - entry.second.heard_at > kClockLifetime;
  });
  std::erase_if(exchange.granted_at,
                [&](const auto& entry) { return IsDue(entry.second, now); });
  // The credit of a duplicate that comes later has expired.
  std::erase_if(exchange.accepted, [&](const auto& entry) {
    return now - entry.second.accepted_at > CreditValidity(limit);
  });
}

// Returns the services for which the failure domain of this aggregator, or
// another one, needs credit.
std::set<std::string> NeededServices(const CreditExchange& exchange,
                                     TimePoint now) {
  std::set<std::string> services;
  for (const auto& [service, pool] : exchange.pools) {
    if (!pool.needs.empty()) {
      services.insert(service);
    }
  }
  for (const auto& [name, heard] : exchange.other_aggregators) {
    if (IsFresh(heard, now)) {
      for (const auto& [service, need] : heard.news.open_needs) {
        services.insert(service);
      }
    }
  }
  return services;
}

CreditMessage MakeMessage(CreditExchange& exchange, TimePoint now) {
  return {.sender = exchange.name,
          .sender_incarnation = exchange.incarnation,
          .sequence = ++exchange.last_sequence,
          .sender_clock = now};
}

// Collects what this instance gives and needs.
std::map<std::string, ServiceCredit> TakeReport(
    CreditExchange& exchange,
    const std::set<std::string>& needed_services,
    const FleetRetryLimit& limit,
    TimePoint now) {
  std::map<std::string, ServiceCredit> report;
  for (auto& [service, budget] : exchange.budgets) {
    ServiceCredit part{.need = TakeNeed(budget, now)};
    if (needed_services.contains(service)) {
      part.credit = TakeSpareCredit(budget, limit, now);
    }
    if (part != ServiceCredit{}) {
      report[service] = std::move(part);
    }
  }
  return report;
}

void AddToPool(CreditPool& pool,
               const std::string& member,
               const ServiceCredit& part,
               TimePoint now) {
  AddCredit(pool.credit, part.credit);
  if (!part.need.empty()) {
    pool.needs[member] = {part.need, part.need, now};
  }
}

void Report(CreditExchange& exchange,
            const FleetRetryLimit& limit,
            std::vector<OutgoingCreditMessage>& outgoing,
            TimePoint now) {
  if (exchange.is_aggregator) {
    for (const auto& [service, part] :
         TakeReport(exchange, NeededServices(exchange, now), limit, now)) {
      AddToPool(exchange.pools[service], exchange.name, part, now);
    }
    return;
  }
  const auto clock = exchange.clocks.find(exchange.aggregator);
  if (!IsFresh(exchange.aggregator_news, now) ||
      clock == exchange.clocks.end()) {
    for (auto& [service, budget] : exchange.budgets) {
      TakeNeed(budget, now);
    }
    return;
  }
  auto report = TakeReport(
      exchange, exchange.aggregator_news.news.needed_services, limit, now);
  if (report.empty()) {
    return;
  }
  CreditMessage message = MakeMessage(exchange, now);
  message.receiver_incarnation = clock->second.incarnation;
  for (auto& [service, part] : report) {
    part.credit = ToClock(part.credit, clock->second);
  }
  message.services = std::move(report);
  outgoing.push_back({exchange.aggregator, std::move(message)});
}

// The needs that can be granted now, of members or of other aggregators.
using Needs = std::map<std::string, RetryNeed>;

bool MayGrant(const CreditExchange& exchange, const std::string& receiver) {
  return !exchange.granted_at.contains(receiver) &&
         (receiver == exchange.name || exchange.clocks.contains(receiver));
}

Needs MemberNeeds(const CreditExchange& exchange, const CreditPool& pool) {
  Needs needs;
  for (const auto& [member, need] : pool.needs) {
    if (MayGrant(exchange, member)) {
      needs[member] = need.open;
    }
  }
  return needs;
}

Needs OtherDomainNeeds(const CreditExchange& exchange,
                       const std::string& service) {
  Needs needs;
  for (const auto& [name, heard] : exchange.other_aggregators) {
    const auto need = heard.news.open_needs.find(service);
    if (need != heard.news.open_needs.end() && MayGrant(exchange, name)) {
      needs[name] = need->second;
    }
  }
  return needs;
}

// Takes the receivers' parts out of the pool and adds them to the messages by
// receiver.
void Grant(CreditExchange& exchange,
           const std::string& service,
           const Needs& needs,
           std::map<std::string, CreditMessage>& messages,
           bool is_grant,
           TimePoint now) {
  CreditPool& pool = exchange.pools[service];
  const long available = WholeRetries(ValidAmount(pool.credit, now));
  const auto parts = DivideRetries(available, needs, exchange.last_sequence);
  for (const auto& [receiver, retries] : parts) {
    const RetryCredit credit =
        TakeNewestCredit(pool.credit, static_cast<double>(retries), now);
    const auto need = pool.needs.find(receiver);
    if (need != pool.needs.end()) {
      ReduceNeed(need->second.open, retries);
    }
    if (receiver == exchange.name) {
      PooledRetryBudget& budget = exchange.budgets[service];
      AddCredit(budget.foreign, credit);
      budget.totals.received += static_cast<double>(retries);
      continue;
    }
    CreditMessage& message = messages[receiver];
    message.is_grant = is_grant;
    message.services[service].credit =
        ToClock(credit, exchange.clocks.at(receiver));
  }
}

void GrantAll(CreditExchange& exchange,
              std::vector<OutgoingCreditMessage>& outgoing,
              TimePoint now) {
  std::map<std::string, CreditMessage> messages;  // by receiver
  for (const auto& [service, pool] : exchange.pools) {
    Grant(exchange, service, MemberNeeds(exchange, pool), messages, true, now);
    Grant(exchange, service, OtherDomainNeeds(exchange, service), messages,
          false, now);
  }
  for (auto& [receiver, message] : messages) {
    CreditMessage complete = MakeMessage(exchange, now);
    complete.receiver_incarnation = exchange.clocks.at(receiver).incarnation;
    complete.is_grant = message.is_grant;
    complete.services = std::move(message.services);
    exchange.granted_at[receiver] = now;
    outgoing.push_back({receiver, std::move(complete)});
  }
}

void AcceptCredit(CreditExchange& exchange,
                  const CreditMessage& message,
                  const FleetRetryLimit& limit,
                  TimePoint now) {
  for (const auto& [service, part] : message.services) {
    const RetryCredit credit = ValidCredit(part.credit, limit, now);
    if (message.is_grant) {
      PooledRetryBudget& budget = exchange.budgets[service];
      AddCredit(budget.foreign, credit);
      budget.totals.received += ValidAmount(credit, now);
    } else if (exchange.is_aggregator) {
      AddCredit(exchange.pools[service].credit, credit);
    }
  }
}

}  // namespace

std::vector<OutgoingCreditMessage> RunInterval(CreditExchange& exchange,
                                               const FleetRetryLimit& limit,
                                               TimePoint now) {
  RemoveOutdated(exchange, limit, now);
  std::vector<OutgoingCreditMessage> outgoing;
  if (IsDue(exchange.reported_at, now)) {
    exchange.reported_at = now;
    Report(exchange, limit, outgoing, now);
  }
  if (exchange.is_aggregator) {
    GrantAll(exchange, outgoing, now);
  }
  return outgoing;
}

CreditNews MakeCreditNews(const CreditExchange& exchange, TimePoint now) {
  CreditNews news{.incarnation = exchange.incarnation,
                  .clock = now,
                  .needed_services = NeededServices(exchange, now)};
  for (const auto& [service, pool] : exchange.pools) {
    for (const auto& [member, need] : pool.needs) {
      for (const auto& [priority, count] : need.open) {
        news.open_needs[service][priority] += count;
      }
    }
  }
  return news;
}

void OnCreditNews(CreditExchange& exchange,
                  const std::string& sender,
                  bool is_of_own_domain,
                  const CreditNews& news,
                  TimePoint now) {
  RecordClock(exchange, sender, news.incarnation, news.clock, now);
  if (is_of_own_domain) {
    exchange.aggregator = sender;
    exchange.aggregator_news = {news, now};
  } else if (exchange.is_aggregator) {
    exchange.other_aggregators[sender] = {news, now};
  }
}

bool OnCreditMessage(CreditExchange& exchange,
                     const CreditMessage& message,
                     const FleetRetryLimit& limit,
                     TimePoint now) {
  AcceptedMessages& accepted = exchange.accepted[message.sender_incarnation];
  if (message.sequence <= accepted.last_sequence) {
    return false;
  }
  accepted = {message.sequence, now};
  RecordClock(exchange, message.sender, message.sender_incarnation,
              message.sender_clock, now);
  if (exchange.is_aggregator) {
    for (const auto& [service, part] : message.services) {
      AddToPool(exchange.pools[service], message.sender, {.need = part.need},
                now);
    }
  }
  if (message.receiver_incarnation == exchange.incarnation) {
    AcceptCredit(exchange, message, limit, now);
  }
  return true;
}

bool NeedsForeignCredit(const PooledRetryBudget& budget, TimePoint now) {
  return budget.needed_at != TimePoint() &&
         now - budget.needed_at <= seconds(1);
}

}  // namespace parsleyquay
