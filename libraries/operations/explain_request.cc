#include "operations/explain_request.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace parsleyquay {

namespace {

// Returns the value, up to the first blank, of a key in a log line, or "" if
// the line has no such key.
std::string FieldValue(const std::string& line, const std::string& key) {
  const std::string pattern = " " + key + "=";
  const std::string padded = " " + line;
  const auto at = padded.find(pattern);
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + pattern.size();
  return padded.substr(begin, padded.find(' ', begin) - begin);
}

// Returns the time of a log line in milliseconds, or 0 if it has none.
long LineTime(const std::string& line) {
  const std::string text = FieldValue(line, "time_ms");
  long time = 0;
  std::from_chars(text.data(), text.data() + text.size(), time);
  return time;
}

// Returns the newest line of an event that an instance logged about a server up
// to a time in milliseconds, or std::nullopt if there is none.
std::optional<std::string> FindNewestBefore(
    const std::vector<std::string>& lines,
    const std::string& event,
    const std::string& origin,
    const std::string& server,
    long time) {
  std::optional<std::string> newest;
  for (const std::string& line : lines) {
    const bool is_match = FieldValue(line, "event") == event &&
                          FieldValue(line, "origin") == origin &&
                          FieldValue(line, "server") == server &&
                          LineTime(line) <= time;
    if (is_match && (!newest || LineTime(*newest) < LineTime(line))) {
      newest = line;
    }
  }
  return newest;
}

std::string DescribeAllowance(const std::string& request) {
  const std::string source = FieldValue(request, "allowance");
  const std::string workspace = FieldValue(request, "workspace");
  if (source == "spare") {
    return "No instance that owns the token buckets of workspace " + workspace +
           " could be reached, and this instance's fallback quota was used up.";
  }
  return "Workspace " + workspace +
         " had exceeded its rate and burst, as metered by " +
         (source == "own_home" ? "this instance."
                               : "the owner of its token buckets.");
}

std::string DescribeAttempt(const std::string& attempt) {
  return "Server " + FieldValue(attempt, "server") +
         " ended the last attempt as " + FieldValue(attempt, "outcome") +
         " with status " + FieldValue(attempt, "status") + " after " +
         FieldValue(attempt, "elapsed_ms") +
         " ms; its estimated failure probability was " +
         FieldValue(attempt, "failure_percent") + " %.";
}

std::string Summarize(const std::string& request,
                      const std::optional<std::string>& last_attempt) {
  const std::string outcome = FieldValue(request, "outcome");
  const std::string response =
      "The client received status " + FieldValue(request, "status") + " (" +
      outcome + ") after " + FieldValue(request, "elapsed_ms") +
      " ms from instance " + FieldValue(request, "origin") + ". ";
  if (outcome == "over_allowance") {
    return response + DescribeAllowance(request);
  }
  if (outcome == "no_route" || outcome == "no_key") {
    return response + "This follows from configuration version " +
           FieldValue(request, "version") + ".";
  }
  if (outcome == "no_server") {
    return response + "No server of service " + FieldValue(request, "service") +
           " became available in time.";
  }
  if (outcome == "overloaded") {
    return response + "Service " + FieldValue(request, "service") +
           " was overloaded, and the request would have waited too long.";
  }
  return response + (last_attempt ? DescribeAttempt(*last_attempt)
                                  : "It was not sent to any server.");
}

}  // namespace

RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id) {
  std::vector<std::string> request_lines;
  std::ranges::copy_if(log_lines, std::back_inserter(request_lines),
                       [&](const std::string& line) {
                         return FieldValue(line, "request") == request_id;
                       });
  std::ranges::stable_sort(request_lines, {}, &LineTime);
  RequestExplanation explanation;
  std::optional<std::string> last_attempt;
  std::set<std::string> shown;
  for (const std::string& line : request_lines) {
    if (FieldValue(line, "event") == "attempt") {
      last_attempt = line;
      for (const char* event : {"server_list", "belief"}) {
        const auto known =
            FindNewestBefore(log_lines, event, FieldValue(line, "origin"),
                             FieldValue(line, "server"), LineTime(line));
        if (known && shown.insert(*known).second) {
          explanation.lines.push_back(*known);
        }
      }
    }
    explanation.lines.push_back(line);
    if (FieldValue(line, "event") == "request") {
      explanation.summary += (explanation.summary.empty() ? "" : "\n") +
                             Summarize(line, last_attempt);
    }
  }
  return explanation;
}

}  // namespace parsleyquay
