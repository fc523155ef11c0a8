#ifndef PARSLEYQUAY_DISSEMINATION_ROLLOUT_NEWS_H_
#define PARSLEYQUAY_DISSEMINATION_ROLLOUT_NEWS_H_

#include <json/json.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/rollout_status.h"
#include "rollout/version_evidence.h"

namespace parsleyquay {

// The status of a rollout as one instance tells it to others. `status.elapsed`
// is as of the time of sending.
struct RolloutNews {
  RolloutStatus status;
  Duration confirmed_age = Duration(0);  // since the driver confirmed it

  bool operator==(const RolloutNews&) const = default;
};

// The outcome of one request of a service with a rollout.
struct VersionObservation {
  std::string service;
  std::string route;
  bool is_new_version = false;
  bool is_failure = false;
  std::optional<int> latency_bucket;  // of a good response, if it was measured

  bool operator==(const VersionObservation&) const = default;
};

struct VersionOutcomeKey {
  std::string service;
  std::string route;
  std::string server;  // "" for all servers of the old version

  auto operator<=>(const VersionOutcomeKey&) const = default;
};

using VersionOutcomes = std::map<VersionOutcomeKey, OutcomeCounts>;

// Adds the observation of a request at `server`.
void AddObservation(VersionOutcomes& outcomes,
                    const std::string& server,
                    const VersionObservation& observation);
void MergeOutcomes(VersionOutcomes& outcomes, const VersionOutcomes& added);

// These encode parts of messages as arrays without field names. Decoding leaves
// out malformed elements.
Json::Value EncodeRolloutNews(const std::vector<RolloutNews>& news);
std::vector<RolloutNews> DecodeRolloutNews(const Json::Value& rows);
Json::Value EncodeVersionOutcomes(const VersionOutcomes& outcomes);
VersionOutcomes DecodeVersionOutcomes(const Json::Value& rows);
Json::Value EncodeObservation(const VersionObservation& observation);
std::optional<VersionObservation> DecodeObservation(const Json::Value& row);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_ROLLOUT_NEWS_H_
