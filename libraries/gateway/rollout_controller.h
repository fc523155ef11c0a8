#ifndef PARSLEYQUAY_GATEWAY_ROLLOUT_CONTROLLER_H_
#define PARSLEYQUAY_GATEWAY_ROLLOUT_CONTROLLER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "gateway/server_discovery.h"
#include "rollout/rollout_driver.h"

namespace parsleyquay {

// Which servers of a service a request may be sent to.
struct VersionFilter {
  std::set<std::string> excluded_versions;
  std::optional<std::string> only_version;
  std::optional<std::string> only_server;
  // Servers that are more likely to fail are excluded.
  double max_failure_probability = 1;

  bool Permits(const std::string& server,
               const std::string& version,
               double failure_probability) const;
  bool operator==(const VersionFilter&) const = default;
};

// Takes part in the rollouts of all services: decides which version a request
// is sent to and limits this instance's part of the exposure, collects
// outcomes, and drives the rollouts of those services whose shard this instance
// owns. See docs/design/rollout.md.
class RolloutController {
 public:
  struct Handlers {
    // Returns whether this instance owns the shard of the service's name.
    std::function<bool(const std::string& service)> owns_shard_of;
    // Called when there is something to forward in a digest without delay.
    std::function<void()> on_news;
  };

  RolloutController(GatewayContext& context,
                    const ServerDiscovery& discovery,
                    Handlers handlers);

  void Start();

  // Drives the rollouts of the services whose shard this instance owns. Start()
  // lets it be called regularly.
  void Tick();

  // The method of the messages by which the driver tells the aggregators.
  static std::string MessageMethod();
  void OnMessage(const Json::Value& parameters);

  void OnRequestChange(const RolloutRequestChange& change);
  void OnOutcomes(const OutcomeSummary& outcomes);
  void OnNews(const std::vector<RolloutNews>& news);
  std::vector<RolloutNews> News() const;

  // The store has returned with older data: the statuses that this instance
  // drives are read again, and written again where they are missing.
  void OnStoreRestored();

  // Returns the servers for an attempt at the service, in the order in which
  // they are to be tried, and counts the request.
  std::vector<VersionFilter> FiltersFor(const std::string& service,
                                        bool is_second_attempt);

  // Counts an attempt at a server of the version.
  void CountAttempt(const std::string& service, const std::string& version);

  // Returns whether a request that is not sent yet may still be sent to a
  // server of the version.
  bool MayReceive(const std::string& service, const std::string& version) const;

  // Returns the observation of an attempt to be shared, or std::nullopt if the
  // service has no rollout in progress.
  std::optional<VersionObservation> Observe(
      const std::string& service,
      const std::string& version,
      const std::string& route,
      bool is_failure,
      std::optional<Duration> latency) const;

  // Returns all rollouts as JSON, for operators.
  Json::Value Describe() const;

  // Adds gauges of the rollouts' shares and phases.
  void AddMetrics(GatewayMetrics& metrics) const;

 private:
  // What this instance knows of the rollout of one service.
  struct Rollout {
    std::optional<RolloutRequest> request;
    // The request has come after the known status and names another version.
    bool is_request_newer = false;
    std::optional<RolloutStatus> status;
    TimePoint started_at;    // when the operator's request was written
    TimePoint confirmed_at;  // when the driver has confirmed the status
    TimePoint changed_at;    // when the share or phase last changed
    ExposureAccount account;
    VersionEvidence evidence;
    VersionComparison comparison;
    // The rest is used by the driver only.
    bool is_driving = false;
    bool has_read_store = false;  // since it became the driver
    bool has_failed_to_read = false;
    bool is_store_call_pending = false;
    TimePoint next_store_call;
    std::optional<FeedPosition> position;  // for the next conditional write
    std::optional<RolloutStatus> stored;   // the status that the store has
    std::optional<RolloutStatus> wanted;   // the status to be written
  };

  bool is_enabled() const;
  ExposureBound bound() const;
  void Begin(Rollout& rollout, Duration elapsed, long instances);
  bool Adopt(Rollout& rollout, const RolloutStatus& status);
  bool is_pending(const Rollout& rollout) const;
  const std::string& VersionOf(const Rollout& rollout) const;
  RolloutStatus CurrentStatus(const Rollout& rollout) const;
  std::vector<std::string> NewServers(const std::string& service,
                                      const std::string& version) const;
  std::vector<std::string> OtherVersions(const std::string& service,
                                         const std::string& version) const;
  bool IsStandIn(const std::string& service, const Rollout& rollout) const;
  void Drive(const std::string& service, Rollout& rollout);
  void TakeOver(Rollout& rollout);
  void Advance(Rollout& rollout);
  void Store(Rollout& rollout);
  void Read(const std::string& service);
  void OnRead(const std::string& service,
              const std::optional<RolloutStatusPage>& page);
  void Write(Rollout& rollout);
  void OnWritten(const RolloutStatus& status, PublishOutcome outcome);
  void SendNews(const Rollout& rollout);

  GatewayContext& context;
  const ServerDiscovery& discovery;
  Handlers handlers;
  Timer timer;
  std::map<std::string, Rollout> rollouts;  // by service
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ROLLOUT_CONTROLLER_H_
