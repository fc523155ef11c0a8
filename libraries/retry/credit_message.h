#ifndef PARSLEYQUAY_RETRY_CREDIT_MESSAGE_H_
#define PARSLEYQUAY_RETRY_CREDIT_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "retry/pooled_retry_budget.h"
#include "retry/retry_credit.h"

namespace parsleyquay {

// What a message says of one service.
struct ServiceCredit {
  RetryCredit credit;  // its ends of validity are by the receiver's clock
  RetryNeed need;      // of the sender

  bool operator==(const ServiceCredit&) const = default;
};

// The message by which an instance gives credit to its aggregator and reports
// its need, by which an aggregator grants credit to a member, and by which it
// passes credit on to the aggregator of another failure domain.
struct CreditMessage {
  std::string sender;
  std::string sender_incarnation;
  std::uint64_t sequence = 0;  // increases with each message of an incarnation
  TimePoint sender_clock;      // at the time of sending
  // The incarnation whose clock the ends of validity refer to, or "" if the
  // sender has not heard the receiver yet. No other process of the receiver may
  // accept the credit.
  std::string receiver_incarnation;
  bool is_grant = false;  // to be spent by the receiver itself
  std::map<std::string, ServiceCredit> services;  // by name

  bool operator==(const CreditMessage&) const = default;
};

// What an aggregator tells in its digests.
struct CreditNews {
  std::string incarnation;  // of the aggregator
  TimePoint clock;          // of the aggregator, at the time of sending
  // The needs of its failure domain, by service, that it could not meet.
  std::map<std::string, RetryNeed> open_needs;
  // The services for which any failure domain needs credit.
  std::set<std::string> needed_services;

  bool operator==(const CreditNews&) const = default;
};

// These encode messages as the parameters of notifications, and decode them.
// Decoding returns std::nullopt if the parameters are malformed.
Json::Value EncodeCreditMessage(const CreditMessage& message);
std::optional<CreditMessage> DecodeCreditMessage(const Json::Value& parameters);
Json::Value EncodeCreditNews(const CreditNews& news);
std::optional<CreditNews> DecodeCreditNews(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_CREDIT_MESSAGE_H_
