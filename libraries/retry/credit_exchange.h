#ifndef PARSLEYQUAY_RETRY_CREDIT_EXCHANGE_H_
#define PARSLEYQUAY_RETRY_CREDIT_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "retry/credit_message.h"
#include "retry/pooled_retry_budget.h"

namespace parsleyquay {

// The clock of another instance, as told in its newest message. The instance's
// clock showed `clock` at `heard_at` or earlier by the own clock.
struct HeardClock {
  std::string incarnation;
  TimePoint clock;
  TimePoint heard_at;

  bool operator==(const HeardClock&) const = default;
};

// The messages of one process that were accepted.
struct AcceptedMessages {
  std::uint64_t last_sequence = 0;
  TimePoint accepted_at;  // the last one

  bool operator==(const AcceptedMessages&) const = default;
};

struct ReportedNeed {
  RetryNeed reported;
  RetryNeed open;  // what has not been granted yet
  TimePoint reported_at;

  bool operator==(const ReportedNeed&) const = default;
};

// What an aggregator holds for one service.
struct CreditPool {
  RetryCredit credit;
  std::map<std::string, ReportedNeed> needs;  // by the member's name

  bool operator==(const CreditPool&) const = default;
};

struct HeardNews {
  CreditNews news;
  TimePoint heard_at;

  bool operator==(const HeardNews&) const = default;
};

// One instance's part in the exchange of retry credit: its budgets, and the
// pools that it holds while it is the aggregator of its failure domain.
struct CreditExchange {
  std::string name;         // of this instance
  std::string incarnation;  // of this process
  bool is_aggregator = false;
  std::map<std::string, PooledRetryBudget> budgets;  // by service
  std::map<std::string, CreditPool> pools;           // by service
  double lapsed_in_pools = 0;
  std::string aggregator;  // the newest one of this failure domain to be heard
  HeardNews aggregator_news;
  std::map<std::string, HeardNews> other_aggregators;  // by name
  std::map<std::string, HeardClock> clocks;            // by instance
  std::map<std::string, AcceptedMessages> accepted;    // by incarnation
  std::uint64_t last_sequence = 0;
  TimePoint reported_at;
  std::map<std::string, TimePoint> granted_at;  // by receiver

  bool operator==(const CreditExchange&) const = default;
};

struct OutgoingCreditMessage {
  std::string receiver;
  CreditMessage message;

  bool operator==(const OutgoingCreditMessage&) const = default;
};

// RunInterval() is called this often.
constexpr Duration kCreditInterval = milliseconds(250);

// An instance sends and is sent at most one message in this time, except that
// aggregators send one to each instance in need.
constexpr Duration kMessageInterval = milliseconds(500);

// Gives credit and reports needs, and, as the aggregator, grants credit.
// Returns the messages to be sent. Their credit is deducted already.
std::vector<OutgoingCreditMessage> RunInterval(CreditExchange& exchange,
                                               const FleetRetryLimit& limit,
                                               TimePoint now);

// Returns what the aggregator adds to its digests.
CreditNews MakeCreditNews(const CreditExchange& exchange, TimePoint now);

// Handles the news in a digest of an aggregator.
void OnCreditNews(CreditExchange& exchange,
                  const std::string& sender,
                  bool is_of_own_domain,
                  const CreditNews& news,
                  TimePoint now);

// Handles a message. Returns whether it was accepted: a duplicate, or one that
// was overtaken by a later one of the same sender, is not.
bool OnCreditMessage(CreditExchange& exchange,
                     const CreditMessage& message,
                     const FleetRetryLimit& limit,
                     TimePoint now);

// Returns whether the instance has needed foreign credit for the service in the
// last second.
bool NeedsForeignCredit(const PooledRetryBudget& budget, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_CREDIT_EXCHANGE_H_
