#ifndef PARSLEYQUAY_GATEWAY_DIALECT_H_
#define PARSLEYQUAY_GATEWAY_DIALECT_H_

#include <functional>
#include <optional>
#include <string>

#include "steering/address_answer.h"

namespace parsleyquay {

// What a backend server says of its load with an answer.
struct ReportedLoad {
  long running = 0;
  long waiting = 0;
  long slots = 0;

  bool operator==(const ReportedLoad&) const = default;
};

// What a caller wants to know when it asks where to connect.
struct AddressQuestion {
  std::string host;
  std::string failure_domain;  // the caller's, or one near it

  bool operator==(const AddressQuestion&) const = default;
};

// The names that callers and backend servers use on the wire.
struct Dialect {
  // Headers of a request.
  std::string request_id;
  std::string time_left;        // milliseconds that the sender will wait
  std::string workspace;        // set for the server
  std::string expected_server;  // any other server refuses unrun

  // Headers of an answer.
  std::string not_run;           // the server did not run the request
  std::string answer_signature;  // shows that a server made the answer
  std::string load;
  std::string server_id;
  std::string cold_remaining;

  std::function<std::optional<ReportedLoad>(const std::string&)> parse_load;
  std::function<bool(const std::string& target)> is_readiness_question;
  std::function<std::optional<AddressQuestion>(const std::string& target)>
      parse_address_question;
  std::function<std::string(const AddressAnswer&)> encode_address_answer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_DIALECT_H_
