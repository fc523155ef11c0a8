#ifndef PARSLEYQUAY_DETECTION_REPORT_SCHEDULE_H_
#define PARSLEYQUAY_DETECTION_REPORT_SCHEDULE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// A service that an instance uses, with its unreported evidence.
struct ReportCandidate {
  std::string service;
  // Time of the last report to the service's present owner, if any.
  std::optional<TimePoint> reported_at;
  long unreported_bad = 0;   // unreported errors and slow marks
  bool has_restart = false;  // a server's restart is unreported

  bool operator==(const ReportCandidate&) const = default;
};

// Token bucket that limits the reports of one instance.
struct ReportBudget {
  double tokens = 0;
  TimePoint refilled_at;  // the epoch at first, so that the first use fills it

  bool operator==(const ReportBudget&) const = default;
};

struct ReportSchedule {
  ReportBudget budget;
  std::vector<std::string> services;  // services to report on now
};

// Returns the interval between reports on a service without bad requests. It is
// proportional to the number of services in use, so that the instance's rate of
// reports does not depend on that number. Evidence accumulates between reports,
// so that a longer interval does not change the reported rates.
Duration RegularReportInterval(std::size_t service_count);

// Whether a report on the service is due, regardless of the budget.
bool IsReportDue(const ReportCandidate& candidate,
                 Duration regular_interval,
                 TimePoint now);

// Chooses the services to report on now and takes one token for each.
// `candidates` are all services in use; those with bad requests go first.
ReportSchedule ChooseReports(ReportBudget budget,
                             std::vector<ReportCandidate> candidates,
                             TimePoint now);

// Chooses the service if a restart or several errors or slow marks are
// unreported and the budget allows a report. Called after each attempt to send
// a request.
ReportSchedule ChooseUrgentReport(ReportBudget budget,
                                  const ReportCandidate& candidate,
                                  TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_REPORT_SCHEDULE_H_
