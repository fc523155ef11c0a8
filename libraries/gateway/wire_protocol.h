#ifndef PARSLEYQUAY_GATEWAY_WIRE_PROTOCOL_H_
#define PARSLEYQUAY_GATEWAY_WIRE_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>

#include "steering/address_list.h"

namespace parsleyquay {

// What a backend server says of its load with an answer.
struct ReportedLoad {
  long running = 0;
  long waiting = 0;
  long slots = 0;

  bool operator==(const ReportedLoad&) const = default;
};

// What a caller wants to know when it asks where to connect.
struct AddressQuery {
  std::string host;
  std::string failure_domain;  // the caller's, or one near it

  bool operator==(const AddressQuery&) const = default;
};

// The names that callers and backend servers use on the wire.
struct WireProtocol {
  // Headers of a request.
  std::string request_id_header;
  std::string time_left_header;        // milliseconds that the sender will wait
  std::string workspace_header;        // set for the server
  std::string expected_server_header;  // any other server refuses unrun

  // Headers of an answer.
  std::string not_executed_header;        // the server did not run the request
  std::string response_signature_header;  // shows that a server made the answer
  std::string load_header;
  std::string server_id_header;
  std::string cold_remaining_header;

  std::function<std::optional<ReportedLoad>(const std::string&)> parse_load;
  std::function<bool(const std::string& target)> is_readiness_probe;
  std::function<std::optional<AddressQuery>(const std::string& target)>
      parse_address_query;
  std::function<std::string(const AddressList&)> encode_address_response;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_WIRE_PROTOCOL_H_
