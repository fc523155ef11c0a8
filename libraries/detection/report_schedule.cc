#include "detection/report_schedule.h"

#include <algorithm>

namespace parsleyquay {

namespace {

constexpr Duration kLeastInterval = milliseconds(500);
constexpr Duration kIntervalPerService = milliseconds(667);
constexpr double kReportsPerSecond = 2.5;
constexpr double kMostTokens = 8;
// So many bad requests of a service are reported at once. All its servers
// count together: when a whole service turns bad, its home must hear of every
// server before it judges the first.
constexpr long kUrgentBadCount = 2;

enum class Priority { kNone, kRegular, kFirst, kBad, kUrgent };

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
    return Priority::kFirst;
  }
  const Duration age = now - *candidate.reported_at;
  if (candidate.unreported_bad > 0 && age >= kLeastInterval) {
    return Priority::kBad;
  }
  return age >= interval ? Priority::kRegular : Priority::kNone;
}

ReportBudget Refill(ReportBudget budget, TimePoint now) {
  const Duration elapsed = now - budget.refilled_at;
  const double earned = kReportsPerSecond *
                        static_cast<double>(elapsed.count()) /
                        static_cast<double>(Duration(seconds(1)).count());
  return {std::min(kMostTokens, budget.tokens + earned), now};
}

struct RankedCandidate {
  Priority priority = Priority::kNone;
  ReportCandidate candidate;
};

// What is worse goes first, then what has waited longer.
bool GoesBefore(const RankedCandidate& one, const RankedCandidate& other) {
  if (one.priority != other.priority) {
    return one.priority > other.priority;
  }
  return one.candidate.reported_at < other.candidate.reported_at;
}

}  // namespace

Duration RegularReportInterval(std::size_t service_count) {
  return std::max(kLeastInterval,
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
  std::ranges::stable_sort(ranked, GoesBefore);
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
