#ifndef PARSLEYQUAY_GATEWAY_CONFIGURATION_WATCHER_H_
#define PARSLEYQUAY_GATEWAY_CONFIGURATION_WATCHER_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "dissemination/operator_state.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// Reads the operators' feed: keeps the newest published configuration in
// `GatewayContext::routing` and reports which failure domains are withdrawn.
// The configuration is never replaced by an older one while the process runs.
class ConfigurationWatcher {
 public:
  using OnConfiguration = std::function<void()>;
  // Called with all withdrawn failure domains when the set has changed.
  using OnWithdrawals = std::function<void(const std::set<std::string>&)>;
  // Called when the newest known position has grown, so that a digest can
  // announce it without delay.
  using OnNews = std::function<void()>;
  using OnRolloutRequest = std::function<void(const RolloutRequestChange&)>;
  // Called when the feed has been read.
  using OnFeedRead = std::function<void()>;

  ConfigurationWatcher(
      GatewayContext& context,
      OnConfiguration on_configuration,
      OnWithdrawals on_withdrawals,
      OnNews on_news = [] {},
      OnRolloutRequest on_rollout_request = [](const RolloutRequestChange&) {},
      OnFeedRead on_feed_read = [] {});

  void Start() { this->feed_reader.Start(); }
  void Stop() { this->feed_reader.Stop(); }

  // Ends the continuous reads of the feed; may be called in place of Start().
  // Changes then come from ApplyPeerState(). The feed is still read once if
  // that does not follow an announcement in time, and in a new era.
  void PauseReads() { this->feed_reader.Pause(); }
  void ResumeReads() { this->feed_reader.Resume(); }
  void ReadNow() { this->feed_reader.ReadNow(); }

  // Takes over the whole state that another instance has at `position`. Returns
  // false, without taking it over, if it is not newer than that of this
  // instance or of another era, see IsAcceptablePosition().
  bool ApplyPeerState(const FeedPosition& position,
                      std::vector<OperatorChange> changes);

  // Returns the whole state at position(), for ApplyPeerState() at another
  // instance.
  std::vector<OperatorChange> State(bool has_configuration) const;

  // Another instance has read the feed up to `position`, and knows that this
  // was its end `age` ago, if it states that. Schedules a read if this instance
  // has not read so far.
  void OnPeerFeedPosition(const FeedPosition& position,
                          std::optional<Duration> age = std::nullopt);

  // Returns how long ago the feed was last known to end at
  // newest_known_position(), or std::nullopt if it never was.
  std::optional<Duration> FeedAge() const;

  // Does not retry a failed read while reads are paused.
  void CancelRetry() { this->feed_reader.CancelRetry(); }

  // Shortens the long polls, so that a change is noticed in time even if the
  // connection to the store has silently stopped delivering data. For instances
  // that read the feed on behalf of others, and those that no one tells of it.
  void SetFrequentReads(bool are_frequent, bool are_for_others = true);

  // Whether the newest read of the feed succeeded.
  bool is_available() const { return this->feed_reader.is_available(); }

  // The position up to which this instance has read the feed, 0 at first.
  FeedPosition position() const {
    return this->feed_reader.position().value_or(FeedPosition());
  }

  // Whether the feed has been read, or a peer's state has been taken over.
  bool has_state() const { return this->feed_reader.position().has_value(); }

  // Whether a peer is known to have read further than this instance.
  bool is_behind() const { return this->peer_position > this->position(); }

  // The newest position that this instance or a peer has read, as far as known.
  FeedPosition newest_known_position() const {
    return std::max(this->position(), this->peer_position);
  }

 private:
  Duration NewEraDelay() const;
  void ReadMissingChanges();
  void UpdateLag();
  Duration lag() const;
  void OnRead(TimePoint known_at);
  void SetFeedKnownAt(TimePoint known_at);
  void OnChanges(std::vector<OperatorChange> changes, ChangeSetKind kind);
  void ApplyConfiguration(FleetConfiguration configuration);

  GatewayContext& context;
  OnConfiguration on_configuration;
  OnWithdrawals on_withdrawals;
  OnNews on_news;
  OnRolloutRequest on_rollout_request;
  OnFeedRead on_feed_read;
  OperatorState state;
  bool is_applying_peer_state = false;
  ChangeFeedReader<OperatorChange> feed_reader;
  Timer read_timer;
  bool is_read_scheduled = false;
  bool reads_for_others = false;
  std::uint64_t applied_era = 0;  // of the newest changes
  FeedPosition peer_position;     // the newest that a peer has announced
  // All changes before this time are up to the newest known position.
  std::optional<TimePoint> feed_known_at;
  // Since when a peer has read further than this instance; unset if none has.
  std::optional<TimePoint> lagging_since;
  Duration logged_lag = Duration(0);
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_CONFIGURATION_WATCHER_H_
