#ifndef PARSLEYQUAY_GATEWAY_SERVER_LIST_SHARING_H_
#define PARSLEYQUAY_GATEWAY_SERVER_LIST_SHARING_H_

#include <json/json.h>

#include <functional>
#include <set>
#include <string>

#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// Requests the full list of servers from other members, and sends it to those
// that request it.
class ServerListSharing {
 public:
  // `add_full_list` adds the list to a digest; returns whether it did.
  ServerListSharing(GatewayContext& context,
                    std::function<bool(Digest&)> add_full_list);

  // The method of messages that request the list.
  static const char* RequestMethod();

  // Requests the list from a member, which sends it in a digest.
  void Request(const std::string& member);

  // Handles a request. The response is sent with a delay, so that responses to
  // several members are spaced.
  void OnRequest(const Json::Value& parameters);

 private:
  void SendNextList();

  GatewayContext& context;
  std::function<bool(Digest&)> add_full_list;
  Timer response_timer;
  std::set<std::string> requesters;  // names of members
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_SERVER_LIST_SHARING_H_
