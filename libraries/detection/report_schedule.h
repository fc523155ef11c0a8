#ifndef PARSLEYQUAY_DETECTION_REPORT_SCHEDULE_H_
#define PARSLEYQUAY_DETECTION_REPORT_SCHEDULE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// A service that an instance uses, and what it has not reported on it.
struct ReportCandidate {
  std::string service;
  // The last report to the service's present home.
  std::optional<TimePoint> reported_at;
  long unreported_bad = 0;  // bad requests not reported
  bool has_restart = false;

  bool operator==(const ReportCandidate&) const = default;
};

// Reports that an instance may still send. Refills with time.
struct ReportBudget {
  double tokens = 0;
  TimePoint refilled_at;  // the first use finds the budget full

  bool operator==(const ReportBudget&) const = default;
};

struct ReportSchedule {
  ReportBudget budget;
  std::vector<std::string> services;  // to report on now
};

// Time between reports on a service that shows nothing bad. It grows with the
// number of services in use, so that an instance's reports do not; counts keep
// adding up between reports, so that rates stay right.
Duration RegularReportInterval(std::size_t service_count);

// Whether a service is to be reported on now, if the budget allows.
bool IsReportDue(const ReportCandidate& candidate,
                 Duration regular_interval,
                 TimePoint now);

// Chooses the services to report on. Bad requests go first, and as soon as the
// budget allows; `candidates` are all services in use.
ReportSchedule ChooseReports(ReportBudget budget,
                             std::vector<ReportCandidate> candidates,
                             TimePoint now);

// Whether a service's bad requests are to be reported before the next tick,
// and the budget allows it; the budget then pays for it.
ReportSchedule ChooseUrgentReport(ReportBudget budget,
                                  const ReportCandidate& candidate,
                                  TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_REPORT_SCHEDULE_H_
