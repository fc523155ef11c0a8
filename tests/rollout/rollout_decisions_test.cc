#include <catch2/catch.hpp>

#include "rollout/exposure_account.h"
#include "rollout/rollout_driver.h"

namespace parsleyquay {
namespace {

constexpr ExposureBound kBound = {.share = 0.1, .slack = 50};

RolloutStatus StatusOf(RolloutPhase phase, std::uint64_t step = 1) {
  return {.service = "s",
          .to_version = "v2",
          .number = 1,
          .step = step,
          .phase = phase,
          .share = 1,
          .duration = seconds(12)};
}

VersionChoice Choose(const std::optional<RolloutStatus>& status,
                     Duration age,
                     const ExposureAccount& account = {.requests = 100,
                                                       .slack_part = 1}) {
  return ChooseVersion(status, age, account, kBound, 0.5);
}

// Guards against a rollout that is finished twice, or resumed after its end.
TEST_CASE("a terminal status is final, and a stopped rollout stays stopped") {
  const RolloutStatus done = StatusOf(RolloutPhase::kCompleted, 3);
  const RolloutStatus stopping = StatusOf(RolloutPhase::kStopping, 4);
  CHECK(MergeStatuses(done, StatusOf(RolloutPhase::kRolledBack, 9)) == done);
  CHECK(MergeStatuses(done, StatusOf(RolloutPhase::kTrial, 9)) == done);
  CHECK(MergeStatuses(stopping, StatusOf(RolloutPhase::kSwitching, 9)) ==
        stopping);
  CHECK(MergeStatuses(StatusOf(RolloutPhase::kTrial, 9), stopping) == stopping);
  CHECK(MergeStatuses(stopping, done) == done);
  RolloutStatus next = StatusOf(RolloutPhase::kTrial);
  next.number = 2;
  CHECK(MergeStatuses(done, next) == next);
  CHECK(MergeStatuses(next, done) == next);
}

TEST_CASE("a request begins a rollout once") {
  const RolloutRequest request{"s", "v2", seconds(12)};
  const auto begun = BeginRollout(request, std::nullopt, 36);
  REQUIRE(begun);
  CHECK(begun->number == 1);
  CHECK(begun->share == 0);
  CHECK_FALSE(BeginRollout(request, *begun, 36));
  CHECK(BeginRollout({"s", "v3", seconds(9)}, *begun, 36)->number == 2);
}

// Guards against an exposure over the bound when no message arrives: each
// instance sends whatever its own account permits.
TEST_CASE("the accounts of all instances together keep the bound") {
  for (const long instances : {1L, 7L, 36L, 120L}) {
    for (const long requests : {0L, 4L, 40L}) {
      long exposed = 0;
      for (long rank = 0; rank < instances; ++rank) {
        ExposureAccount account = OpenExposureAccount(
            static_cast<std::uint64_t>(rank), instances, false);
        for (account.requests = 0; account.requests < requests;) {
          ++account.requests;
          while (MayExpose(account, kBound, kSwitchPart)) {
            ++account.exposed;
          }
        }
        exposed += account.exposed;
      }
      INFO(instances << " instances with " << requests << " requests each");
      CHECK(static_cast<double>(exposed) <=
            kBound.share * static_cast<double>(requests * instances) +
                kBound.slack);
    }
  }
  // It may have restarted and lost its count.
  CHECK_FALSE(MayExpose(OpenExposureAccount(0, 1, true), kBound));
}

TEST_CASE("without the current share nothing is sent to the new version") {
  CHECK(Choose(std::nullopt, Duration(0)) == VersionChoice::kOld);
  CHECK(Choose(StatusOf(RolloutPhase::kTrial), seconds(1)) ==
        VersionChoice::kNew);
  CHECK(Choose(StatusOf(RolloutPhase::kTrial), seconds(3)) ==
        VersionChoice::kOld);
  CHECK(Choose(StatusOf(RolloutPhase::kTrial), seconds(1), {}) ==
        VersionChoice::kOld);
}

TEST_CASE("the phase decides which servers are gone") {
  CHECK(Choose(StatusOf(RolloutPhase::kSwitching), seconds(1)) ==
        VersionChoice::kNew);
  CHECK(Choose(StatusOf(RolloutPhase::kSwitching), seconds(3)) ==
        VersionChoice::kOldOrNew);
  CHECK(Choose(StatusOf(RolloutPhase::kStopping), seconds(0)) ==
        VersionChoice::kOld);
  CHECK(Choose(StatusOf(RolloutPhase::kRolledBack), seconds(9)) ==
        VersionChoice::kOld);
  CHECK(Choose(StatusOf(RolloutPhase::kCompleted), seconds(9)) ==
        VersionChoice::kNew);
}

// Adds `count` outcomes of a server in each window of three seconds.
void Add(VersionEvidence& evidence,
         const std::string& server,
         const std::string& domain,
         const OutcomeCounts& counts) {
  for (int window = 0; window < 6; ++window) {
    AddEvidence(evidence, "r", server, domain, counts,
                kEvidenceWindow * window);
  }
}

double WorstOf(const VersionEvidence& evidence) {
  return CompareVersions(evidence, seconds(3)).worst();
}

// Guards against the rollback of a good version: servers that fail together, or
// one server in a spell, are one observation.
TEST_CASE("failures of one server or one failure domain are one observation") {
  const OutcomeCounts good{.latencies = {{12, 5}}};
  const OutcomeCounts failing{.failed = 5};
  VersionEvidence evidence;
  Add(evidence, "", "", {.failed = 1, .latencies = {{12, 60}}});
  Add(evidence, "new-1", "a", failing);
  Add(evidence, "new-2", "a", good);
  Add(evidence, "new-3", "b", good);
  CHECK(WorstOf(evidence) < 3);

  VersionEvidence one_domain;
  Add(one_domain, "", "", {.failed = 1, .latencies = {{12, 60}}});
  for (const char* server : {"new-1", "new-2", "new-3"}) {
    Add(one_domain, server, "a", failing);
  }
  Add(one_domain, "new-4", "b", good);
  CHECK(WorstOf(one_domain) < 8);

  Add(evidence, "new-4", "b", failing);
  VersionEvidence all_failing;
  Add(all_failing, "", "", {.failed = 1, .latencies = {{12, 60}}});
  Add(all_failing, "new-1", "a", failing);
  Add(all_failing, "new-2", "b", failing);
  CHECK(WorstOf(all_failing) >= 8);
}

TEST_CASE("responses that take several times longer are bad") {
  VersionEvidence evidence;
  Add(evidence, "", "", {.latencies = {{10, 10}, {12, 40}, {13, 10}}});
  for (const char* server : {"new-1", "new-2"}) {
    Add(evidence, server, "a", {.latencies = {{12, 3}, {16, 2}}});
  }
  CHECK(WorstOf(evidence) >= 8);
  CHECK(CompareVersions(evidence, seconds(3)).bad == 24);
}

TEST_CASE("a version without enough outcomes is rolled back at the limit") {
  RolloutStatus status = StatusOf(RolloutPhase::kTrial);
  RolloutSituation situation{.elapsed = seconds(10),
                             .new_servers = 3,
                             .comparison = {.exposed = 2, .compared = 500},
                             .bound = kBound};
  CHECK(NextStatus(status, situation).phase == RolloutPhase::kTrial);
  situation.elapsed = milliseconds(11'500);
  CHECK(NextStatus(status, situation).phase == RolloutPhase::kStopping);
}

}  // namespace
}  // namespace parsleyquay
