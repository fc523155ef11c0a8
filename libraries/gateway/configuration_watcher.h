#ifndef PARSLEYQUAY_GATEWAY_CONFIGURATION_WATCHER_H_
#define PARSLEYQUAY_GATEWAY_CONFIGURATION_WATCHER_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// Keeps the newest configuration that operators have published. In one life of
// the process it never goes back to an older version.
class ConfigurationWatcher {
 public:
  using OnConfiguration = std::function<void()>;
  // Called with all failure domains that are taken out.
  using OnWithdrawals = std::function<void(const std::set<std::string>&)>;

  ConfigurationWatcher(GatewayContext& context,
                       OnConfiguration on_configuration,
                       OnWithdrawals on_withdrawals);

  void Start() { this->feed_reader.Start(); }
  void Stop() { this->feed_reader.Stop(); }

  // Another instance has read that far; what is missing here is read soon.
  void OnPeerFeedPosition(std::uint64_t position);

  // Reads in short turns, so that changes are noticed even when a connection
  // to the store has gone silent. For those on whom others rely.
  void SetFrequentReads(bool is_watchful);

  bool is_available() const { return this->feed_reader.is_available(); }
  std::uint64_t position() const {
    return this->feed_reader.position().value_or(0);
  }

 private:
  void ReadWhatWasTold();
  void NoteBehind();
  Duration behind() const;
  void OnChanges(std::vector<OperatorChange> changes, ChangeSetKind kind);
  void Accept(FleetConfiguration configuration);
  void Withdraw(const DomainWithdrawal& withdrawal);

  GatewayContext& context;
  OnConfiguration on_configuration;
  OnWithdrawals on_withdrawals;
  std::set<std::string> withdrawn_domains;
  ChangeFeedReader<OperatorChange> feed_reader;
  Timer patience_timer;
  bool is_patient = false;
  std::uint64_t told_position = 0;
  // Since when peers know more than this instance; nothing when they do not.
  std::optional<TimePoint> behind_since;
  Duration reported_behind = Duration(0);
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_CONFIGURATION_WATCHER_H_
