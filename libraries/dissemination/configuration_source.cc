#include "dissemination/configuration_source.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace parsleyquay {

namespace {

// How long a starting instance waits for an aggregator.
constexpr Duration kStartWait = milliseconds(300);

// By then an instance knows the members that the store lists, so it knows
// whether it is the aggregator. Others wait for it to read.
constexpr Duration kMembersKnownAfter = milliseconds(100);

// A member that has been asked gets this long, as one that is behind.
constexpr Duration kStartAnswerTime = milliseconds(150);

constexpr std::size_t kAskedMembers = 2;

constexpr std::array<std::pair<SourceReason, std::string_view>, 6>
    kReasonNames = {
        {{SourceReason::kStarting, "starting"},
         {SourceReason::kIsAggregator, "is_aggregator"},
         {SourceReason::kIsStandby, "is_standby"},
         {SourceReason::kNoAggregator, "no_aggregator"},
         {SourceReason::kAggregatorServesNone, "aggregator_serves_none"},
         {SourceReason::kFollowsAggregator, "follows_aggregator"}}};

}  // namespace

SourceDecision DecideSource(const AggregatorElection& election,
                            bool is_served,
                            TimePoint settle_until,
                            TimePoint now) {
  const AggregationRole& role = election.role;
  if (role.is_aggregator) {
    return {ConfigurationSource::kStore, SourceReason::kIsAggregator};
  }
  if (role.is_standby) {
    return {ConfigurationSource::kStore, SourceReason::kIsStandby};
  }
  const bool follows_one =
      !role.is_without_aggregator && !election.candidates.empty();
  if (follows_one && is_served) {
    return {ConfigurationSource::kAggregator, SourceReason::kFollowsAggregator};
  }
  if (now < settle_until) {
    return {ConfigurationSource::kAggregator, SourceReason::kStarting};
  }
  return {ConfigurationSource::kStore, follows_one
                                           ? SourceReason::kAggregatorServesNone
                                           : SourceReason::kNoAggregator};
}

std::string_view SourceReasonName(SourceReason reason) {
  return std::ranges::find(kReasonNames, reason,
                           &std::pair<SourceReason, std::string_view>::first)
      ->second;
}

std::optional<std::string> NextToAsk(RequestSchedule& schedule,
                                     const std::vector<std::string>& members,
                                     TimePoint progressed_at,
                                     TimePoint now) {
  if (schedule.begun_at && now - *schedule.begun_at >= kRequestRound) {
    schedule = {};
  }
  if (static_cast<std::size_t>(schedule.asked) >= members.size()) {
    return std::nullopt;
  }
  if (schedule.begun_at) {
    const TimePoint due =
        std::max(*schedule.begun_at + kAnswerTime * schedule.asked,
                 progressed_at + kAnswerTime);
    if (now < due) {
      return std::nullopt;
    }
  } else {
    schedule.begun_at = now;
  }
  return members[static_cast<std::size_t>(schedule.asked++)];
}

std::vector<std::string> MembersToAsk(const AggregatorElection& election,
                                      const std::string& first) {
  std::vector<std::string> members;
  std::ranges::copy_if(election.candidates, std::back_inserter(members),
                       [&](const std::string& name) {
                         return name != election.name && name != first;
                       });
  if (members.size() > kAskedMembers) {
    members.resize(kAskedMembers);
  }
  if (!first.empty()) {
    members.insert(members.begin(), first);
  }
  return members;
}

bool HasToReadAtStart(const AggregatorElection& election,
                      const RequestSchedule& schedule,
                      TimePoint started_at,
                      TimePoint now) {
  if (schedule.begun_at) {
    return now - *schedule.begun_at >= kStartAnswerTime;
  }
  const bool is_for_others =
      election.role.is_aggregator && now - started_at >= kMembersKnownAfter;
  return is_for_others || now - started_at >= kStartWait;
}

}  // namespace parsleyquay
