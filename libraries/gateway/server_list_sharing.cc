#include "gateway/server_list_sharing.h"

#include <utility>

#include "gateway/membership_sync.h"

namespace parsleyquay {

namespace {

constexpr char kServerListRequest[] = "servers_wanted";

// A list of servers takes up to 50 KB. The gap limits the responses to 8
// Mbit/s, and those to a few members with short lists to much less.
constexpr Duration kServerListGap = milliseconds(50);

}  // namespace

ServerListSharing::ServerListSharing(GatewayContext& context,
                                     std::function<bool(Digest&)> add_full_list)
    : context(context),
      add_full_list(std::move(add_full_list)),
      response_timer(context.loop, [this] { this->SendNextList(); }) {}

const char* ServerListSharing::RequestMethod() {
  return kServerListRequest;
}

void ServerListSharing::Request(const std::string& member) {
  const std::string address = PeerAddressOf(this->context.members, member);
  if (this->context.peer_transport && !address.empty()) {
    IncrementCounter(this->context.metrics, "server_lists_wanted");
    this->context.peer_transport->Send(
        address, kServerListRequest,
        EncodeServerListRequest({this->context.settings.name}));
  }
}

void ServerListSharing::OnRequest(const Json::Value& parameters) {
  const auto request = DecodeServerListRequest(parameters);
  if (!request) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  if (this->requesters.empty()) {
    this->response_timer.StartOnce(kServerListGap);
  }
  this->requesters.insert(request->sender);
}

void ServerListSharing::SendNextList() {
  const auto requester = this->requesters.extract(this->requesters.begin());
  const std::string address =
      PeerAddressOf(this->context.members, requester.value());
  Digest digest{.sender = this->context.settings.name};
  if (!address.empty() && this->add_full_list(digest)) {
    IncrementCounter(this->context.metrics, "server_lists_sent");
    SendDigestInParts(this->context, {address}, std::move(digest));
  }
  if (!this->requesters.empty()) {
    this->response_timer.StartOnce(kServerListGap);
  }
}

}  // namespace parsleyquay
