#include "dissemination/rollout_news.h"

#include <utility>

namespace parsleyquay {

namespace {

// Indices of the fields in the encoded arrays.
enum NewsField {
  kService,
  kVersion,
  kNumber,
  kStep,
  kPhase,
  kShare,
  kDuration,
  kElapsed,
  kConfirmedAge,
  kInstances,
  kRequests,
  kExposed,
  kOldVersions,
  kDriver,
  kReason,
  kNewsFields
};
enum OutcomeField {
  kOutcomeService,
  kRoute,
  kServer,
  kFailed,
  kUnmeasured,
  kFirstBucket  // followed by pairs of a bucket and its count
};
enum ObservationField {
  kObservedService,
  kObservedRoute,
  kIsNew,
  kResult,
  kObservationFields
};

constexpr int kFailureResult = -2;
constexpr int kUnmeasuredResult = -1;

Json::Value EncodeOneNews(const RolloutNews& news) {
  const RolloutStatus& status = news.status;
  Json::Value row(Json::arrayValue);
  row.append(status.service);
  row.append(status.to_version);
  row.append(Json::UInt64(status.number));
  row.append(Json::UInt64(status.step));
  row.append(static_cast<int>(status.phase));
  row.append(status.share);
  row.append(Json::Int64(ToMilliseconds(status.duration)));
  row.append(Json::Int64(ToMilliseconds(status.elapsed)));
  row.append(Json::Int64(ToMilliseconds(news.confirmed_age)));
  row.append(Json::Int64(status.instances));
  row.append(Json::Int64(status.requests));
  row.append(Json::Int64(status.exposed));
  Json::Value old_versions(Json::arrayValue);
  for (const std::string& version : status.old_versions) {
    old_versions.append(version);
  }
  row.append(std::move(old_versions));
  row.append(status.driver);
  row.append(status.reason);
  return row;
}

RolloutNews DecodeOneNews(const Json::Value& row) {
  std::vector<std::string> old_versions;
  for (const Json::Value& version : row[kOldVersions]) {
    old_versions.push_back(version.asString());
  }
  return {.status = {.service = row[kService].asString(),
                     .to_version = row[kVersion].asString(),
                     .number = row[kNumber].asUInt64(),
                     .step = row[kStep].asUInt64(),
                     .phase = static_cast<RolloutPhase>(row[kPhase].asInt()),
                     .share = row[kShare].asDouble(),
                     .duration = milliseconds(row[kDuration].asInt64()),
                     .elapsed = milliseconds(row[kElapsed].asInt64()),
                     .instances = static_cast<long>(row[kInstances].asInt64()),
                     .requests = static_cast<long>(row[kRequests].asInt64()),
                     .exposed = static_cast<long>(row[kExposed].asInt64()),
                     .old_versions = std::move(old_versions),
                     .driver = row[kDriver].asString(),
                     .reason = row[kReason].asString()},
          .confirmed_age = milliseconds(row[kConfirmedAge].asInt64())};
}

bool IsNews(const Json::Value& row) {
  return row.isArray() && row.size() == kNewsFields && row[kPhase].isInt() &&
         row[kPhase].asInt() >= 0 &&
         row[kPhase].asInt() <= static_cast<int>(RolloutPhase::kRolledBack);
}

}  // namespace

void AddObservation(VersionOutcomes& outcomes,
                    const std::string& server,
                    const VersionObservation& observation) {
  OutcomeCounts& counts =
      outcomes[{observation.service, observation.route,
                observation.is_new_version ? server : std::string()}];
  if (observation.is_failure) {
    ++counts.failed;
  } else if (observation.latency_bucket) {
    ++counts.latencies[*observation.latency_bucket];
  } else {
    ++counts.unmeasured;
  }
}

void MergeOutcomes(VersionOutcomes& outcomes, const VersionOutcomes& added) {
  for (const auto& [key, counts] : added) {
    AddCounts(outcomes[key], counts);
  }
}

Json::Value EncodeRolloutNews(const std::vector<RolloutNews>& news) {
  Json::Value rows(Json::arrayValue);
  for (const RolloutNews& item : news) {
    rows.append(EncodeOneNews(item));
  }
  return rows;
}

std::vector<RolloutNews> DecodeRolloutNews(const Json::Value& rows) {
  std::vector<RolloutNews> news;
  for (const Json::Value& row : rows) {
    if (IsNews(row)) {
      news.push_back(DecodeOneNews(row));
    }
  }
  return news;
}

Json::Value EncodeVersionOutcomes(const VersionOutcomes& outcomes) {
  Json::Value rows(Json::arrayValue);
  for (const auto& [key, counts] : outcomes) {
    Json::Value row(Json::arrayValue);
    row.append(key.service);
    row.append(key.route);
    row.append(key.server);
    row.append(Json::Int64(counts.failed));
    row.append(Json::Int64(counts.unmeasured));
    for (const auto& [bucket, count] : counts.latencies) {
      row.append(bucket);
      row.append(Json::Int64(count));
    }
    rows.append(std::move(row));
  }
  return rows;
}

VersionOutcomes DecodeVersionOutcomes(const Json::Value& rows) {
  VersionOutcomes outcomes;
  for (const Json::Value& row : rows) {
    if (!row.isArray() || row.size() < kFirstBucket) {
      continue;
    }
    OutcomeCounts counts{
        .failed = static_cast<long>(row[kFailed].asInt64()),
        .unmeasured = static_cast<long>(row[kUnmeasured].asInt64())};
    for (Json::ArrayIndex i = kFirstBucket; i + 1 < row.size(); i += 2) {
      counts.latencies[row[i].asInt()] +=
          static_cast<long>(row[i + 1].asInt64());
    }
    AddCounts(outcomes[{row[kOutcomeService].asString(), row[kRoute].asString(),
                        row[kServer].asString()}],
              counts);
  }
  return outcomes;
}

Json::Value EncodeObservation(const VersionObservation& observation) {
  Json::Value row(Json::arrayValue);
  row.append(observation.service);
  row.append(observation.route);
  row.append(observation.is_new_version);
  row.append(observation.is_failure
                 ? kFailureResult
                 : observation.latency_bucket.value_or(kUnmeasuredResult));
  return row;
}

std::optional<VersionObservation> DecodeObservation(const Json::Value& row) {
  if (!row.isArray() || row.size() != kObservationFields) {
    return std::nullopt;
  }
  const int result = row[kResult].asInt();
  return VersionObservation{
      .service = row[kObservedService].asString(),
      .route = row[kObservedRoute].asString(),
      .is_new_version = row[kIsNew].asBool(),
      .is_failure = result == kFailureResult,
      .latency_bucket = result >= 0 ? std::optional(result) : std::nullopt};
}

}  // namespace parsleyquay
