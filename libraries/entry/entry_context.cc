#include "entry/entry_context.h"

#include <algorithm>

#include "base/random_id.h"
#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kIncarnationBytes = 6;

}  // namespace

EntryContext::EntryContext(EventLoop& loop, EntrySettings entry_settings)
    : loop(loop),
      settings(std::move(entry_settings)),
      http(loop),
      platform(this->http, this->settings.platform_address),
      random(std::random_device{}()),
      incarnation(RandomHex(kIncarnationBytes)),
      membership(MakeMembership(this->settings.name,
                                this->incarnation,
                                this->settings.advertised_peer_address)) {}

std::string EntryContext::PeerAddressOf(const std::string& name) const {
  const auto member = this->fleet.view.members.find(name);
  return member == this->fleet.view.members.end() ? ""
                                                  : member->second.peer_address;
}

long EntryContext::RankAmongMembers(const std::string& hash_key) const {
  const std::vector<std::string> order =
      RankByRendezvous(hash_key, this->membership.names);
  return std::ranges::find(order, this->settings.name) - order.begin();
}

std::string MakeFleetToken(const std::string& fleet_key) {
  return SecretDigest("parsleyquay instance over http " + fleet_key);
}

}  // namespace parsleyquay
