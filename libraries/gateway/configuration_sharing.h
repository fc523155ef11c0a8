#ifndef PARSLEYQUAY_GATEWAY_CONFIGURATION_SHARING_H_
#define PARSLEYQUAY_GATEWAY_CONFIGURATION_SHARING_H_

#include <json/json.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dissemination/configuration_source.h"
#include "dissemination/configuration_transfer.h"
#include "dissemination/digest.h"
#include "dissemination/transfer_queue.h"
#include "event/timer.h"
#include "gateway/configuration_watcher.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// Gets the operators' changes from the aggregator that this instance follows,
// so that it need not read them from the store, and tells them to instances
// that ask for them. Reads from the store where there is no such aggregator.
// Only connects the decisions in configuration_source.h, transfer_queue.h and
// configuration_transfer.h to the network and to `ConfigurationWatcher`.
class ConfigurationSharing {
 public:
  // The references must outlive this object.
  ConfigurationSharing(GatewayContext& context,
                       ConfigurationWatcher& watcher,
                       const AggregatorElection& election);

  // The methods of the messages that OnMessage() handles.
  static std::vector<std::string> MessageMethods();

  // Starts the watcher. If the settings do not enable this, nothing else is
  // done here or in the other functions.
  void Start();

  // To be called after the watcher has learned of the announced position.
  void OnDigest(const Digest& digest);
  void OnMessage(const std::string& method, const Json::Value& parameters);
  void OnRoleChange();
  // To be called when the watcher knows more than before.
  void OnNewState();

  bool is_enabled() const {
    return this->context.settings.has_configuration_from_aggregators;
  }

 private:
  void Update();
  void UpdateSource();
  void AskIfNeeded();
  void Ask(const std::string& member);
  void OnRequest(const Json::Value& parameters);
  void OnFragment(const Json::Value& parameters);
  void SendFragments();
  std::shared_ptr<const ConfigurationTransfer> MakeOwnTransfer(
      std::uint64_t configuration_version);

  GatewayContext& context;
  ConfigurationWatcher& watcher;
  const AggregatorElection& election;
  Timer update_timer;
  Timer send_timer;
  TimePoint started_at;
  // Whether the watcher waits for other instances.
  SourceDecision decision;
  // The newest aggregator that this instance has followed, if its newest digest
  // states that it answers requests.
  std::string serving_aggregator;
  RequestSchedule request_schedule;
  TransferAssembly assembly;
  TransferQueue queue;
  // The own state with the configuration (true) and without it, as text. Made
  // when it is first requested, and kept until the state changes.
  std::map<bool, std::shared_ptr<const ConfigurationTransfer>> own_transfers;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_CONFIGURATION_SHARING_H_
