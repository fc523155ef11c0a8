#include "burn/burn_report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>

#include "base/escape_markup.h"

namespace parsleyquay {

namespace {

// A target of 100 % would allow no miss and divide by zero.
constexpr double kLeastBudgetPercent = 0.001;

Json::Value ToJson(const OutcomeCounts& counts) {
  Json::Value json = Json::arrayValue;
  json.append(Json::UInt64(counts.met));
  json.append(Json::UInt64(counts.slow));
  json.append(Json::UInt64(counts.failed));
  json.append(Json::UInt64(counts.shed));
  json.append(Json::UInt64(counts.over_limit));
  return json;
}

OutcomeCounts CountsFromJson(const Json::Value& json) {
  return {json[0].asUInt64(), json[1].asUInt64(), json[2].asUInt64(),
          json[3].asUInt64(), json[4].asUInt64()};
}

double MetPercent(const OutcomeCounts& counts) {
  if (counts.total() == 0) {
    return 100;
  }
  return 100 * static_cast<double>(counts.met) /
         static_cast<double>(counts.total());
}

double BurnRate(double met_percent, double target_percent) {
  const double budget = std::max(kLeastBudgetPercent, 100 - target_percent);
  return (100 - met_percent) / budget;
}

std::string MainCause(const OutcomeCounts& counts) {
  struct Cause {
    std::uint64_t count;
    const char* name;
  };
  const std::array<Cause, 3> causes = {{{counts.slow, "slow"},
                                        {counts.failed, "failed"},
                                        {counts.shed, "refused"}}};
  const auto main = std::ranges::max_element(causes, {}, &Cause::count);
  return main->count == 0 ? "-" : main->name;
}

BurnReportLine MakeLine(const BurnRow& row, double target_percent) {
  BurnReportLine line;
  line.row = row;
  line.target_percent = target_percent;
  line.fast_percent = MetPercent(row.fast);
  line.slow_percent = MetPercent(row.slow);
  line.fast_burn = BurnRate(line.fast_percent, target_percent);
  line.slow_burn = BurnRate(line.slow_percent, target_percent);
  line.budget_left_percent = std::max(0.0, 100 * (1 - line.slow_burn));
  line.main_cause = MainCause(row.slow);
  return line;
}

}  // namespace

Json::Value ToJson(const BurnRow& row) {
  Json::Value json;
  json["class"] = row.key.work_class;
  json["workspace"] = row.key.workspace;
  json["fast"] = ToJson(row.fast);
  json["slow"] = ToJson(row.slow);
  return json;
}

BurnRow BurnRowFromJson(const Json::Value& json) {
  return {{json["class"].asString(), json["workspace"].asString()},
          CountsFromJson(json["fast"]),
          CountsFromJson(json["slow"])};
}

std::vector<BurnRow> MergeRows(const std::vector<BurnRow>& rows) {
  std::map<BurnKey, BurnRow> merged;
  for (const BurnRow& row : rows) {
    BurnRow& sum =
        merged.try_emplace(row.key, BurnRow{row.key, {}, {}}).first->second;
    sum.fast = AddCounts(sum.fast, row.fast);
    sum.slow = AddCounts(sum.slow, row.slow);
  }
  std::vector<BurnRow> result;
  for (auto& [key, row] : merged) {
    result.push_back(std::move(row));
  }
  return result;
}

std::vector<BurnReportLine> MakeBurnReport(const std::vector<BurnRow>& rows,
                                           const Declaration& declaration) {
  std::vector<BurnReportLine> lines;
  for (const BurnRow& row : rows) {
    const auto found = declaration.request_classes.find(row.key.work_class);
    if (found != declaration.request_classes.end()) {
      lines.push_back(MakeLine(row, found->second.target_percent));
    }
  }
  std::ranges::stable_sort(lines, std::greater<>{}, &BurnReportLine::fast_burn);
  return lines;
}

std::string RenderText(const std::vector<BurnReportLine>& lines) {
  std::ostringstream text;
  text << std::left << std::setw(16) << "class" << std::setw(16) << "workspace"
       << std::right << std::setw(9) << "target%" << std::setw(9) << "5min%"
       << std::setw(9) << "1h%" << std::setw(10) << "burn5min" << std::setw(8)
       << "burn1h" << std::setw(8) << "left%"
       << "  cause\n"
       << std::fixed;
  for (const BurnReportLine& line : lines) {
    text << std::left << std::setw(16) << line.row.key.work_class
         << std::setw(16) << line.row.key.workspace << std::right
         << std::setprecision(2) << std::setw(9) << line.target_percent
         << std::setw(9) << line.fast_percent << std::setw(9)
         << line.slow_percent << std::setw(10) << line.fast_burn << std::setw(8)
         << line.slow_burn << std::setw(8) << line.budget_left_percent << "  "
         << line.main_cause << '\n';
  }
  return text.str();
}

Json::Value RenderJson(const std::vector<BurnReportLine>& lines) {
  Json::Value json = Json::arrayValue;
  for (const BurnReportLine& line : lines) {
    Json::Value item = ToJson(line.row);
    item["target_percent"] = line.target_percent;
    item["fast_percent"] = line.fast_percent;
    item["slow_percent"] = line.slow_percent;
    item["fast_burn"] = line.fast_burn;
    item["slow_burn"] = line.slow_burn;
    item["budget_left_percent"] = line.budget_left_percent;
    item["main_cause"] = line.main_cause;
    json.append(item);
  }
  return json;
}

std::string RenderHtml(const std::vector<BurnReportLine>& lines) {
  std::ostringstream html;
  html << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
          "<title>Service-level burn</title><style>body{font-family:"
          "sans-serif}td,th{padding:2px 10px;text-align:left}</style>"
          "<h1>Service-level burn</h1><table><tr><th>class<th>workspace"
          "<th>target %<th>met, 5 min %<th>met, 1 h %<th>burn 5 min"
          "<th>budget left<th>main cause</tr>\n"
       << std::fixed << std::setprecision(2);
  for (const BurnReportLine& line : lines) {
    html << "<tr><td>" << EscapeMarkup(line.row.key.work_class) << "<td>"
         << EscapeMarkup(line.row.key.workspace) << "<td>"
         << line.target_percent << "<td>" << line.fast_percent << "<td>"
         << line.slow_percent << "<td>" << line.fast_burn
         << "<td><svg width=\"104\" height=\"12\">"
         << "<rect width=\"102\" height=\"12\" fill=\"#ddd\"/><rect width=\""
         << line.budget_left_percent
         << "\" height=\"12\" fill=\"#286\"/></svg> "
         << line.budget_left_percent << " %<td>" << line.main_cause
         << "</tr>\n";
  }
  html << "</table></html>\n";
  return html.str();
}

}  // namespace parsleyquay
