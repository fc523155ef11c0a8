#ifndef PARSLEYQUAY_GATEWAY_WIRE_PROTOCOL_H_
#define PARSLEYQUAY_GATEWAY_WIRE_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>

#include "steering/address_list.h"

namespace parsleyquay {

// The load that a backend server reports in a response header.
struct ReportedLoad {
  long running = 0;  // requests that the server is processing
  long waiting = 0;  // requests in the server's queue
  long slots = 0;    // requests that the server processes concurrently

  bool operator==(const ReportedLoad&) const = default;
};

// A client's query for addresses of instances that it can connect to.
struct AddressQuery {
  std::string host;            // that the client wants to send requests to
  std::string failure_domain;  // the client's own, or one close to it

  bool operator==(const AddressQuery&) const = default;
};

// The header names and endpoint formats that a platform's clients and backend
// servers use. The strings are names of HTTP headers.
struct WireProtocol {
  // Request headers.
  std::string request_id_header;
  std::string time_left_header;  // time that the sender will still wait, in ms
  std::string workspace_header;  // added by the instance for the backend server
  // Id of the server that the request is meant for. Any other server rejects
  // the request without executing it.
  std::string expected_server_header;

  // Response headers.
  std::string
      not_executed_header;  // present if the server did not execute the request
  // Its presence marks a response that a backend server generated. The value is
  // not verified.
  std::string response_signature_header;
  std::string load_header;            // see parse_load
  std::string server_id_header;       // id of the backend server that responded
  std::string leaving_header;         // its value is "1" if the server leaves
  std::string cold_remaining_header;  // time until the server is no longer cold

  // Parses the value of `load_header`. Returns std::nullopt if it is
  // malformed.
  std::function<std::optional<ReportedLoad>(const std::string&)> parse_load;
  // Returns whether the request target is the readiness endpoint.
  std::function<bool(const std::string& target)> is_readiness_probe;
  // Returns std::nullopt if the request target is not the address endpoint.
  std::function<std::optional<AddressQuery>(const std::string& target)>
      parse_address_query;
  // Returns the JSON body of the response to an address query.
  std::function<std::string(const AddressList&)> encode_address_response;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_WIRE_PROTOCOL_H_
