#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_RUN_RECORDS_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_RUN_RECORDS_H_

#include <string>
#include <vector>

namespace parsleyquay {

// One run of a request, as recorded by the backend server stand-in that ran it.
struct RunRecord {
  int server = 0;
  std::string method;
  std::string path;
  std::string request_id;
  bool has_authorization = false;  // the request had an Authorization header
  long finished_ms = 0;            // wall clock time at the end of the run
  long received_ms = 0;  // wall clock time when the whole request had arrived

  bool operator==(const RunRecord&) const = default;
};

// Parses the records that the stand-in serves at /records, one per line. Stops
// at the first malformed record.
std::vector<RunRecord> ParseRunRecords(const std::string& text);

// Returns how often a path was run.
std::size_t CountRuns(const std::vector<RunRecord>& records,
                      const std::string& path);

// Returns by how many requests the busiest window, of any length, exceeds
// rate x window + burst. A result of 0 or less means that the limit held.
double MaxRateExcess(std::vector<long> times_ms,
                     double rate_per_second,
                     double burst);

// Returns the same for the arrival times of the runs of one path, less the
// requests that the rate allows in 50 ms, because transit times differ. Valid
// only while no server is faulty.
double RateExcessOfRuns(const std::vector<RunRecord>& records,
                        const std::string& path,
                        double rate_per_second,
                        double burst);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_RUN_RECORDS_H_
