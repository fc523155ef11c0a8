#include "operations/explain_request.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr char kAttempt[] =
    "time_ms=500 level=info origin=g-1 event=attempt request=r-1 server=s-2 "
    "outcome=server_error status=500 elapsed_ms=3 failure_percent=4 load=0";
constexpr char kRequest[] =
    "time_ms=501 level=info origin=g-1 event=request request=r-1 "
    "outcome=server_answer status=500 elapsed_ms=9 route=a service=w "
    "workspace=shop allowance=peer_home servers=1 version=7";
constexpr char kBelief[] =
    "time_ms=400 level=info origin=g-1 event=belief server=s-2 doubtful=no";
constexpr char kBeliefElsewhere[] =
    "time_ms=450 level=info origin=g-2 event=belief server=s-2 doubtful=yes";
constexpr char kRefusal[] =
    "time_ms=700 level=info origin=g-2 event=request request=r-2 "
    "outcome=over_allowance status=429 elapsed_ms=2 route=a service=w "
    "workspace=shop allowance=spare servers=0 version=7";
constexpr char kOtherRequest[] =
    "time_ms=800 level=info origin=g-2 event=request request=r-22 "
    "outcome=no_key status=401 elapsed_ms=0 route=a version=7";

const std::vector<std::string> log_lines = {
    kAttempt, kRequest, kBelief, kBeliefElsewhere, kRefusal, kOtherRequest};

TEST_CASE("a failure is explained with the known state of the server") {
  const RequestExplanation found = ExplainRequest(log_lines, "r-1");
  REQUIRE(found.lines.size() == 3);
  CHECK(found.lines[0] == log_lines[2]);
  CHECK(found.lines[1] == log_lines[0]);
  CHECK(found.lines[2] == log_lines[1]);
  CHECK(
      found.summary.find("Server s-2 ended the last attempt as server_error") !=
      std::string::npos);
}

TEST_CASE("a rejection by the rate limit names what metered the request") {
  const RequestExplanation found = ExplainRequest(log_lines, "r-2");
  CHECK(found.lines.size() == 1);
  CHECK(found.summary.find("fallback quota was used up") != std::string::npos);
}

TEST_CASE("a request without log lines has no explanation") {
  CHECK(ExplainRequest(log_lines, "r-3") == RequestExplanation{});
}

}  // namespace
}  // namespace parsleyquay
