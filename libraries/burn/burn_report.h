#ifndef PARSLEYQUAY_BURN_BURN_REPORT_H_
#define PARSLEYQUAY_BURN_BURN_REPORT_H_

#include <json/json.h>

#include <string>
#include <vector>

#include "burn/burn_counters.h"
#include "declaration/declaration.h"

namespace parsleyquay {

// Counts of one class and workspace, of one instance or of the whole fleet.
struct BurnRow {
  BurnKey key;
  OutcomeCounts short_window;  // the last kShortWindow
  OutcomeCounts long_window;   // the last kLongWindow

  bool operator==(const BurnRow&) const = default;
};

Json::Value ToJson(const BurnRow& row);

// Missing counts are read as 0.
BurnRow BurnRowFromJson(const Json::Value& json);

// Adds up the rows of several instances; the result has one row for each key.
std::vector<BurnRow> MergeRows(const std::vector<BurnRow>& rows);

// One line of the report.
struct BurnReportLine {
  BurnRow row;
  double target_percent = 0;  // declared percentage of requests
  // Percentages of requests that met the target, by window.
  double short_met_percent = 100;
  double long_met_percent = 100;
  // Burn rates by window: the requests that missed the target, relative to
  // those that the target allows. Above 1 the error budget is used up too fast.
  double short_burn_rate = 0;
  double long_burn_rate = 0;
  double budget_left_percent = 100;  // error budget left in the long window
  // Most frequent cause of misses in the long window, "-" if there were none.
  std::string main_cause;

  bool operator==(const BurnReportLine&) const = default;
};

// Compares the counts with the declared targets, in descending order of
// `short_burn_rate`. Omits classes that are not declared.
std::vector<BurnReportLine> MakeBurnReport(const std::vector<BurnRow>& rows,
                                           const Declaration& declaration);

// Render the report for a terminal, for programs and for a browser.
std::string RenderText(const std::vector<BurnReportLine>& lines);
Json::Value RenderJson(const std::vector<BurnReportLine>& lines);
std::string RenderHtml(const std::vector<BurnReportLine>& lines);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BURN_BURN_REPORT_H_
