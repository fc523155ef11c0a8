#ifndef PARSLEYQUAY_ENTRY_FORWARDING_H_
#define PARSLEYQUAY_ENTRY_FORWARDING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_call.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// Values that differ between a caller's request and the request that is
// forwarded to a backend server.
struct ForwardingOptions {
  std::string address;  // of the backend server, "ip:port"
  std::string request_id;
  Duration time_left = Duration(0);
  ConnectionUse connection_use = ConnectionUse::kReusable;
  // Set if the whole request body is buffered.
  std::optional<std::uint64_t> buffered_body_length;
  // If set, only the response body from this byte on is requested, provided
  // that it still has `entity_tag`.
  std::optional<std::uint64_t> resume_from;
  std::string entity_tag;

  bool operator==(const ForwardingOptions&) const = default;
};

// Returns the request to be sent to a backend server: the caller's request
// without its API key and hop-by-hop headers, with request id and deadline
// added.
CallRequest MakeForwardedCall(const ServerExchange& exchange,
                              const ForwardingOptions& forwarding);

// Returns the headers of a backend server's response that are forwarded to the
// caller, with `request_id` in X-Request-Id.
HeaderList MakeForwardedResponseHeaders(const HeaderList& headers,
                                        const std::string& request_id);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_FORWARDING_H_
