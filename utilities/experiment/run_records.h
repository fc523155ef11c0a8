#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_RUN_RECORDS_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_RUN_RECORDS_H_

#include <string>
#include <vector>

namespace parsleyquay {

// One run of a request at a backend server stand-in, by its own record.
struct RunRecord {
  int server = 0;
  std::string method;
  std::string path;
  std::string request_id;
  bool has_authorization = false;
  long finished_ms = 0;  // wall clock, when the run ended
  long received_ms = 0;  // when the request was there

  bool operator==(const RunRecord&) const = default;
};

std::vector<RunRecord> ParseRunRecords(const std::string& text);

// How often a path was run.
std::size_t CountRuns(const std::vector<RunRecord>& records,
                      const std::string& path);

// By how much the busiest window of any length holds more than
// rate x window + burst; 0 or less when the promise holds.
double MaxRateExcess(std::vector<long> times_ms,
                     double rate_per_second,
                     double burst);

// The same for the runs of one path, where no server is faulty: the spread of
// the time of work, by which runs are recorded late, is allowed for.
double RateExcessOfRuns(const std::vector<RunRecord>& records,
                        const std::string& path,
                        double rate_per_second,
                        double burst);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_RUN_RECORDS_H_
