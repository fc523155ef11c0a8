#include "experiment/run_records.h"

#include <algorithm>
#include <sstream>

namespace parsleyquay {

namespace {

constexpr double kMillisecondsPerSecond = 1'000;

}  // namespace

std::vector<RunRecord> ParseRunRecords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<RunRecord> records;
  RunRecord record;
  while (stream >> record.server >> record.method >> record.path >>
         record.request_id >> record.has_authorization >> record.finished_ms >>
         record.received_ms) {
    records.push_back(record);
  }
  return records;
}

std::size_t CountRuns(const std::vector<RunRecord>& records,
                      const std::string& path) {
  return static_cast<std::size_t>(
      std::ranges::count(records, path, &RunRecord::path));
}

double MaxRateExcess(std::vector<long> times_ms,
                     double rate_per_second,
                     double burst) {
  std::ranges::sort(times_ms);
  // The largest sum over a run of "one more request, minus what has accrued".
  double excess = -burst;
  double worst = -burst;
  for (std::size_t i = 0; i < times_ms.size(); ++i) {
    if (i > 0) {
      const double accrued =
          static_cast<double>(times_ms[i] - times_ms[i - 1]) * rate_per_second /
          kMillisecondsPerSecond;
      excess = std::max(-burst, excess - accrued);
    }
    excess += 1;
    worst = std::max(worst, excess);
  }
  return worst;
}

double RateExcessOfRuns(const std::vector<RunRecord>& records,
                        const std::string& path,
                        double rate_per_second,
                        double burst) {
  std::vector<long> times;
  for (const RunRecord& record : records) {
    if (record.path == path) {
      times.push_back(record.received_ms);
    }
  }
  // Two requests that were let through apart may arrive closer together, by the
  // spread of the time on their way.
  constexpr double kArrivalSpreadSeconds = 0.05;
  return MaxRateExcess(times, rate_per_second, burst) -
         rate_per_second * kArrivalSpreadSeconds;
}

}  // namespace parsleyquay
