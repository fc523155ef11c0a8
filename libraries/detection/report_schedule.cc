#include "detection/report_schedule.h"

#include <algorithm>

namespace parsleyquay {

namespace {

constexpr Duration kMinInterval = milliseconds(500);
constexpr Duration kIntervalPerService = milliseconds(667);
constexpr double kReportsPerSecond = 2.5;
constexpr double kMaxTokens = 8;
// Number of unreported errors and slow marks that makes a report urgent,
// counted over all servers of the service: when a service fails as a whole, its
// owner needs evidence on every server before it judges the first one.
constexpr long kUrgentBadCount = 2;

enum class Priority { kNone, kRegular, kNeverReported, kBad, kUrgent };

bool IsUrgent(const ReportCandidate& candidate) {
  return candidate.has_restart || candidate.unreported_bad >= kUrgentBadCount;
}

Priority PriorityOf(const ReportCandidate& candidate,
                    Duration interval,
                    TimePoint now) {
  if (IsUrgent(candidate)) {
    return Priority::kUrgent;
  }
  if (!candidate.reported_at) {
    return Priority::kNeverReported;
  }
  const Duration age = now - *candidate.reported_at;
  if (candidate.unreported_bad > 0 && age >= kMinInterval) {
    return Priority::kBad;
  }
  return age >= interval ? Priority::kRegular : Priority::kNone;
}

ReportBudget Refill(ReportBudget budget, TimePoint now) {
  const Duration elapsed = now - budget.refilled_at;
  const double earned = kReportsPerSecond *
                        static_cast<double>(elapsed.count()) /
                        static_cast<double>(Duration(seconds(1)).count());
  return {std::min(kMaxTokens, budget.tokens + earned), now};
}

struct RankedCandidate {
  Priority priority = Priority::kNone;
  ReportCandidate candidate;
};

// Orders by priority, then by the time since the last report.
bool HasPrecedence(const RankedCandidate& one, const RankedCandidate& other) {
  if (one.priority != other.priority) {
    return one.priority > other.priority;
  }
  return one.candidate.reported_at < other.candidate.reported_at;
}

}  // namespace

Duration RegularReportInterval(std::size_t service_count) {
  return std::max(kMinInterval,
                  kIntervalPerService * static_cast<long>(service_count));
}

bool IsReportDue(const ReportCandidate& candidate,
                 Duration regular_interval,
                 TimePoint now) {
  return PriorityOf(candidate, regular_interval, now) != Priority::kNone;
}

ReportSchedule ChooseReports(ReportBudget budget,
                             std::vector<ReportCandidate> candidates,
                             TimePoint now) {
  const Duration interval = RegularReportInterval(candidates.size());
  std::vector<RankedCandidate> ranked;
  for (ReportCandidate& candidate : candidates) {
    const Priority priority = PriorityOf(candidate, interval, now);
    if (priority != Priority::kNone) {
      ranked.push_back({priority, std::move(candidate)});
    }
  }
  std::ranges::stable_sort(ranked, HasPrecedence);
  ReportSchedule schedule{Refill(budget, now), {}};
  for (const RankedCandidate& next : ranked) {
    if (schedule.budget.tokens < 1) {
      break;
    }
    schedule.budget.tokens -= 1;
    schedule.services.push_back(next.candidate.service);
  }
  return schedule;
}

ReportSchedule ChooseUrgentReport(ReportBudget budget,
                                  const ReportCandidate& candidate,
                                  TimePoint now) {
  if (!IsUrgent(candidate)) {
    return {budget, {}};
  }
  return ChooseReports(budget, {candidate}, now);
}

}  // namespace parsleyquay
