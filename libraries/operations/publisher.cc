#include "operations/publisher.h"

#include "fleet/record_codec.h"
#include "operations/fleet_reader.h"
#include "platform/platform_client.h"

namespace parsleyquay {

namespace {

constexpr Duration kPublishPatience = seconds(15);
constexpr Duration kReadPause = milliseconds(200);
constexpr Duration kStatusTimeout = milliseconds(800);

// Whether an instance with this status has applied the record at `offset`.
bool Holds(const Json::Value& status, std::uint64_t offset) {
  const LostRange lost{status["lost_first"].asUInt64(),
                       status["lost_end"].asUInt64()};
  return status["offset"].asUInt64() > offset && !lost.Contains(offset);
}

void AppendOnce(BlockingHttpClient& http,
                const std::string& platform,
                const Record& record) {
  PlatformClient client(http.client(), platform);
  bool is_done = false;
  client.Append(record, [&](AppendOutcome) { is_done = true; });
  http.RunUntil([&] { return is_done; }, kPublishPatience);
}

}  // namespace

Result<PublishResult> Publish(BlockingHttpClient& http,
                              const std::string& platform,
                              FleetState fleet,
                              const Record& record) {
  PublishResult result;
  if (auto refusal = FindRejectionReason(fleet, record)) {
    result.status = PublishStatus::kRejected;
    result.reason = std::move(*refusal);
    result.fleet = std::move(fleet);
    return result;
  }
  const TimePoint give_up_at = http.Now() + kPublishPatience;
  while (http.Now() < give_up_at) {
    AppendOnce(http, platform, record);
    RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(fleet, ReadFleetStateFrom(http, platform, fleet));
          return {};
        },
        [&](const Error& error) { result.reason = ToString(error); });
    if (const auto outcome = FindOutcome(fleet, record.id)) {
      result.status = outcome->status == RecordStatus::kAccepted
                          ? PublishStatus::kAccepted
                          : PublishStatus::kRejected;
      result.offset = outcome->offset;
      result.reason = outcome->reason;
      break;
    }
    http.RunUntil([] { return false; }, kReadPause);
  }
  result.fleet = std::move(fleet);
  return result;
}

RolloutProgress QueryRolloutProgress(BlockingHttpClient& http,
                                     const FleetState& fleet,
                                     std::uint64_t offset) {
  RolloutProgress progress;
  progress.members = fleet.view.members.size();
  std::size_t answered = 0;
  for (const auto& [name, member] : fleet.view.members) {
    CallRequest request;
    request.address = member.http_address;
    request.target = "/.parsleyquay/status";
    request.total_timeout = kStatusTimeout;
    http.client().Fetch(request, "", [&](const BufferedResponse& response) {
      ++answered;
      const auto json = ParseJson(response.body);
      const bool is_held =
          response.is_ok() && json && json->isObject() && Holds(*json, offset);
      progress.applied += is_held ? 1 : 0;
    });
  }
  http.RunUntil([&] { return answered == progress.members; },
                kStatusTimeout + milliseconds(200));
  return progress;
}

}  // namespace parsleyquay
