#ifndef PARSLEYQUAY_GATEWAY_CONFIGURATION_SHARING_H_
#define PARSLEYQUAY_GATEWAY_CONFIGURATION_SHARING_H_

#include <json/json.h>

#include <functional>
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
#include "gateway/list_age_limit.h"

namespace parsleyquay {

// Gets the operators' changes from the aggregator that this instance follows,
// so that it need not read them from the store, and tells them to instances
// that ask for them. Reads from the store where there is no such aggregator,
// and when nobody has told for too long that there is no further change: the
// aggregator may be turned away by the store, slow, or heard only one way.
// Only connects the decisions in configuration_source.h, transfer_queue.h and
// configuration_transfer.h to the network and to `ConfigurationWatcher`.
class ConfigurationSharing {
 public:
  struct Handlers {
    // Returns whether this instance's other reads of the store succeed.
    std::function<bool()> is_store_available;
    // Called when the feed has been read since nobody had told that it has no
    // further change.
    std::function<void()> on_old_feed_read;
  };

  // The references must outlive this object.
  ConfigurationSharing(GatewayContext& context,
                       ConfigurationWatcher& watcher,
                       const AggregatorElection& election,
                       Handlers handlers);

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
  // To be called when the watcher has read the feed.
  void OnFeedRead();
  void SetReadOrder(const ListReadOrder& order);
  // Leaves reads for others to an instance that does so too.
  void StopReadingForOthers() { this->age_reads.read_for_others_at.reset(); }

  bool is_enabled() const {
    return this->context.settings.has_configuration_from_aggregators;
  }

 private:
  void Update();
  void UpdateSource();
  void ScheduleAgeRead();
  void OnOldFeed();
  Duration FeedAge() const;
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
  Handlers handlers;
  Timer update_timer;
  Timer age_timer;
  Timer send_timer;
  TimePoint started_at;
  // Whether the watcher waits for other instances.
  SourceDecision decision;
  // The newest aggregator that this instance has followed, if its newest digest
  // states that it answers requests.
  std::string serving_aggregator;
  // The member that states that it has the newest known state, or empty.
  std::string state_holder;
  FeedPosition held_position;  // of the state that it has
  AgeReads age_reads;
  RequestSchedule request_schedule;
  TransferAssembly assembly;
  TransferQueue queue;
  // The own state with the configuration (true) and without it, as text. Made
  // when it is first requested, and kept until the state changes.
  std::map<bool, std::shared_ptr<const ConfigurationTransfer>> own_transfers;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_CONFIGURATION_SHARING_H_
