#include "entry/forwarding.h"

#include <algorithm>

#include "entry/entry_context.h"

namespace parsleyquay {

namespace {

constexpr Duration kConnectTimeout = milliseconds(500);

bool IsForwardedRequestHeader(const Header& header) {
  constexpr std::string_view kNotForwarded[] = {
      "Authorization", "Host",   "Content-Length", "X-Request-Id",
      "X-Deadline-Ms", "Expect", kFleetTokenHeader};
  return !IsHopByHopHeader(header.name) &&
         std::ranges::none_of(kNotForwarded, [&](std::string_view name) {
           return IsSameHeaderName(header.name, name);
         });
}

bool IsForwardedResponseHeader(const Header& header) {
  return !IsHopByHopHeader(header.name) &&
         !IsSameHeaderName(header.name, "Content-Length") &&
         !IsSameHeaderName(header.name, "X-Request-Id");
}

void AddRangeHeaders(CallRequest& call, const ForwardingOptions& forwarding) {
  std::erase_if(call.headers, [](const Header& header) {
    return IsSameHeaderName(header.name, "Range") ||
           IsSameHeaderName(header.name, "If-Range");
  });
  call.headers.push_back(
      {"Range", "bytes=" + std::to_string(*forwarding.resume_from) + "-"});
  call.headers.push_back({"If-Range", forwarding.entity_tag});
}

}  // namespace

CallRequest MakeForwardedCall(const ServerExchange& exchange,
                              const ForwardingOptions& forwarding) {
  CallRequest call;
  call.method = exchange.method();
  call.address = forwarding.address;
  call.target = exchange.target();
  std::ranges::copy_if(exchange.headers(), std::back_inserter(call.headers),
                       &IsForwardedRequestHeader);
  call.headers.push_back({"X-Request-Id", forwarding.request_id});
  call.headers.push_back(
      {"X-Deadline-Ms", std::to_string(ToMilliseconds(forwarding.time_left))});
  call.connection_use = forwarding.connection_use;
  call.connect_timeout = std::min(kConnectTimeout, forwarding.time_left);
  const auto length = ParseUnsignedHeader(exchange.headers(), "Content-Length");
  const bool is_chunked =
      FindHeader(exchange.headers(), "Transfer-Encoding") != nullptr;
  call.has_body = length.has_value() || is_chunked;
  call.body_length = forwarding.buffered_body_length
                         ? forwarding.buffered_body_length
                         : length;
  if (forwarding.resume_from) {
    AddRangeHeaders(call, forwarding);
  }
  return call;
}

HeaderList MakeForwardedResponseHeaders(const HeaderList& headers,
                                        const std::string& request_id) {
  HeaderList forwarded;
  std::ranges::copy_if(headers, std::back_inserter(forwarded),
                       &IsForwardedResponseHeader);
  forwarded.push_back({"X-Request-Id", request_id});
  return forwarded;
}

}  // namespace parsleyquay
