#ifndef PARSLEYQUAY_ENTRY_FORWARDING_H_
#define PARSLEYQUAY_ENTRY_FORWARDING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_call.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// What of a request changes on its way to a backend server.
struct ForwardingOptions {
  std::string address;  // of the server
  std::string request_id;
  Duration time_left = Duration(0);
  ConnectionUse connection_use = ConnectionUse::kReusable;
  std::optional<std::uint64_t> buffered_body_length;  // when it is held whole
  // The rest of an answer from this byte on, if it still has this tag.
  std::optional<std::uint64_t> resume_from;
  std::string entity_tag;

  bool operator==(const ForwardingOptions&) const = default;
};

// The call that carries a caller's request to a server: without the caller's
// key and the headers of its connection, with request id and deadline.
CallRequest MakeForwardedCall(const ServerExchange& exchange,
                              const ForwardingOptions& forwarding);

// Headers of a server's answer that go on to the caller.
HeaderList MakeForwardedResponseHeaders(const HeaderList& headers,
                                        const std::string& request_id);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_FORWARDING_H_
