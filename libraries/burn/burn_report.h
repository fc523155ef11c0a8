#ifndef PARSLEYQUAY_BURN_BURN_REPORT_H_
#define PARSLEYQUAY_BURN_BURN_REPORT_H_

#include <json/json.h>

#include <string>
#include <vector>

#include "burn/burn_counters.h"
#include "declaration/declaration.h"

namespace parsleyquay {

// Counts of one class and workspace, at one instance or over the fleet.
struct BurnRow {
  BurnKey key;
  OutcomeCounts fast;  // the last kFastWindow
  OutcomeCounts slow;  // the last kSlowWindow

  bool operator==(const BurnRow&) const = default;
};

Json::Value ToJson(const BurnRow& row);
BurnRow BurnRowFromJson(const Json::Value& json);

// Adds up the rows of several instances.
std::vector<BurnRow> MergeRows(const std::vector<BurnRow>& rows);

// One line of the report.
struct BurnReportLine {
  BurnRow row;
  double target_percent = 0;
  double fast_percent = 100;  // share of requests that met the target
  double slow_percent = 100;
  // Misses against those that the target allows: above 1 the budget shrinks.
  double fast_burn = 0;
  double slow_burn = 0;
  double budget_left_percent = 100;  // of the slow window
  std::string main_cause;            // "-" when nothing burned

  bool operator==(const BurnReportLine&) const = default;
};

// Compares outcomes with the declared targets, the fastest burn first.
std::vector<BurnReportLine> MakeBurnReport(const std::vector<BurnRow>& rows,
                                           const Declaration& declaration);

std::string RenderText(const std::vector<BurnReportLine>& lines);
Json::Value RenderJson(const std::vector<BurnReportLine>& lines);
std::string RenderHtml(const std::vector<BurnReportLine>& lines);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BURN_BURN_REPORT_H_
